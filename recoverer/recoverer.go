package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// PanicError is a panic in one piece of work.
type PanicError struct {
	// Work names the piece of work.
	Work  string
	Value any
	Stack []byte
}

var _ error = (*PanicError)(nil)

// Error formats the panic with its work.
func (failure *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v", failure.Work, failure.Value)
}

// Run performs the work and returns a panic in it as a *PanicError, after logging it with its stack.
func Run(logger *zerolog.Logger, work string, perform func()) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		failure := &PanicError{Work: work, Value: value, Stack: debug.Stack()}
		logger.Error().Str("event", "panic").Str("work", work).Str("error", fmt.Sprint(value)).Bytes("stack", failure.Stack).
			Msg("unexpected error; only this piece of work ends")
		err = failure
	}()
	perform()
	return nil
}
