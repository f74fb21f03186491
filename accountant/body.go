package accountant

import (
	"errors"
	"fmt"
	"io"
)

// FirstBlock is the size in bytes of the buffer that a body is read into first; most bodies fit.
const FirstBlock = 4 << 10

// TooLargeError is the failure to read a body that exceeds its limit.
type TooLargeError struct{ Limit int }

var _ error = (*TooLargeError)(nil)

// Error states the limit.
func (failure *TooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", failure.Limit)
}

// BodyMeter is told of the memory and the progress of a body that is read.
type BodyMeter interface {
	// Grow is called before the buffer grows to a size in bytes; its error ends the reading.
	Grow(size int) error
	// Progress is called with the number of bytes of each read.
	Progress(count int)
}

// ReadBody reads a body up to its end; length is its stated length in bytes, or -1. The buffer grows with the bytes that
// arrive, whatever length is stated.
func ReadBody(source io.Reader, length int64, limit int, meter BodyMeter) ([]byte, error) {
	if length > int64(limit) {
		return nil, &TooLargeError{Limit: limit}
	}
	bound := limit + 1 // one byte more shows that a body is too large
	if length >= 0 {
		bound = int(length) + 1
	}
	body := make([]byte, 0, min(bound, FirstBlock))
	for {
		count, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		meter.Progress(count)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case len(body) >= bound:
			return nil, &TooLargeError{Limit: limit}
		}
		size := min(bound, 2*cap(body))
		if err := meter.Grow(size); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, size), body...)
	}
}
