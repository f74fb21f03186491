package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"carobthread"
)

// Headers of an error response: whether the request may have run, the reason, and the delay before a retry.
const (
	headerState      = "Carobthread-State"
	headerReason     = "Carobthread-Reason"
	headerRetryAfter = "Retry-After"
)

// connectError maps a failure to a connect error whose metadata carries state, reason and retry-after in seconds.
func connectError(failure *carobthread.RequestError) error {
	mapped := connect.NewError(codeOf(failure), failure)
	mapped.Meta().Set(headerState, string(failure.State))
	mapped.Meta().Set(headerReason, string(failure.Reason))
	if failure.RetryAfter > 0 {
		mapped.Meta().Set(headerRetryAfter, strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return mapped
}

// codeOf returns a code whose HTTP status, such as 503 and 429, may state that the request has not run only if that is so.
func codeOf(failure *carobthread.RequestError) connect.Code {
	code := codeOfReason(failure.Reason)
	if failure.State != carobthread.NotRun && (code == connect.CodeUnavailable || code == connect.CodeResourceExhausted) {
		return connect.CodeUnknown
	}
	return code
}

func codeOfReason(reason carobthread.Reason) connect.Code {
	switch reason {
	case carobthread.ReasonUnknownService:
		return connect.CodeNotFound
	case carobthread.ReasonWrongKind, carobthread.ReasonMalformedKey, carobthread.ReasonPayloadMismatch:
		return connect.CodeInvalidArgument
	case carobthread.ReasonDeadlinePassed, carobthread.ReasonDeadlineTooShort, carobthread.ReasonTimeout:
		return connect.CodeDeadlineExceeded
	case carobthread.ReasonTooLarge, carobthread.ReasonOverload, carobthread.ReasonKeyTableFull, carobthread.ReasonNoSlot:
		return connect.CodeResourceExhausted
	case carobthread.ReasonKeyExpired:
		return connect.CodeFailedPrecondition
	default:
		return connect.CodeUnavailable
	}
}

// RequestErrorOf converts an error of the caller API to a RequestError. If the error states no run state, the request may
// have run.
func RequestErrorOf(err error) *carobthread.RequestError {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonConnectionLost, Detail: err.Error()}
	}
	state := carobthread.RunState(failure.Meta().Get(headerState))
	if state == "" {
		state = carobthread.MayHaveRun
	}
	return &carobthread.RequestError{
		State:  state,
		Reason: carobthread.Reason(failure.Meta().Get(headerReason)),
		Detail: failure.Message(),
	}
}

// RecoverCall returns the function that logs a panic in a caller's request and answers that the request may have run.
func RecoverCall(logger zerolog.Logger) func(ctx context.Context, spec connect.Spec, header http.Header, value any) error {
	return func(_ context.Context, spec connect.Spec, _ http.Header, value any) error {
		logger.Error().Str("event", "panic").Str("work", spec.Procedure).Str("error", fmt.Sprint(value)).Bytes("stack", debug.Stack()).
			Msg("unexpected error; only this piece of work ends")
		return connectError(&carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonInternal, Detail: spec.Procedure})
	}
}
