package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// inlineBody is the size up to which a request is written before its reply is read; more may fill the windows of a searcher that answers early.
	inlineBody = 8 << 10
	// maxInformational bounds the 1xx replies before a final one.
	maxInformational = 4
)

// Faults of a connection.
var (
	errSurplus  = errors.New("bytes came that belong to no reply")
	errPeerGone = errors.New("the searcher has closed the connection")
	errSpent    = errors.New("the connection carries no further request")
)

// exchanger sends one request at a time on one connection.
type exchanger interface {
	RoundTrip(request *http.Request) (*http.Response, error)
	// Err returns why the connection carries no further request, or nil.
	Err() error
	// Available returns how many more requests may start now.
	Available() int
	Close() error
}

var (
	_ exchanger = (*http.ClientConn)(nil)
	_ exchanger = (*wire)(nil)
)

// wire speaks HTTP/1.1 on one connection without goroutines of its own.
//
// Bytes beyond a reply, whether they come with it, while the connection is idle
// or before the next request, end the connection: they belong to no request.
type wire struct {
	conn   *gatedConn
	limit  io.LimitedReader
	reader *bufio.Reader
	fault  error
}

// newWire returns the wire of a connection whose replies, with their heads, are at most this long.
func newWire(conn *gatedConn) *wire {
	line := &wire{conn: conn}
	line.limit.R = conn
	line.reader = bufio.NewReader(&line.limit)
	return line
}

// Err looks at an idle connection without blocking.
func (line *wire) Err() error {
	if line.fault == nil {
		line.fault = checkIdle(line.conn.Conn)
	}
	return line.fault
}

// checkIdle reports bytes or an end that wait on an idle connection; the descriptor does not block, and a byte that is
// read here belongs to no request.
func checkIdle(conn net.Conn) error {
	raw, able := conn.(syscall.Conn)
	if !able {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	found := error(nil)
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, failed := syscall.Read(int(descriptor), one[:])
		switch {
		case errors.Is(failed, syscall.EAGAIN), errors.Is(failed, syscall.EINTR):
		case failed != nil:
			found = failed
		case count == 0:
			found = errPeerGone
		default:
			found = errSurplus
		}
		return true
	})
	return errors.Join(found, err)
}

// Available returns 1, since the pool hands a connection to one request at a time.
func (line *wire) Available() int { return 1 }

// Close closes the connection.
func (line *wire) Close() error { return line.conn.Close() }

// RoundTrip writes the request and reads the head of the reply; the body must be read to its end before the next one.
func (line *wire) RoundTrip(request *http.Request) (*http.Response, error) {
	if line.fault != nil {
		return nil, line.fault
	}
	line.fault = errSpent // until the whole reply has been read
	line.limit.N = maxHeaderBytes + defaultMaxReplySize
	ctx := request.Context()
	release := context.AfterFunc(ctx, func() { _ = line.conn.SetDeadline(time.Unix(1, 0)) })
	written, err := line.write(request)
	if err != nil {
		release()
		return nil, cause(ctx, err)
	}
	response, err := line.head(request)
	if err != nil {
		release()
		return nil, cause(ctx, err)
	}
	response.Body = &wireBody{ReadCloser: response.Body, ctx: ctx, line: line, release: release, written: written, last: response.Close}
	return response, nil
}

// write writes the request; a long one is written while its reply is read, and the channel tells how that ended.
func (line *wire) write(request *http.Request) (<-chan error, error) {
	written := make(chan error, 1)
	if request.ContentLength > inlineBody {
		go func() { written <- request.Write(line.conn) }()
		return written, nil
	}
	var whole bytes.Buffer
	if err := request.Write(&whole); err != nil {
		return nil, err
	}
	_, err := line.conn.Write(whole.Bytes())
	written <- err
	return written, err
}

func (line *wire) head(request *http.Request) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(line.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, fmt.Errorf("more than %d replies before the final one", maxInformational)
}

// cause names the end of the context in place of the deadline that it set.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// wireBody is the body of a reply; at its end, the connection is free again if nothing else has come.
type wireBody struct {
	io.ReadCloser
	ctx     context.Context
	line    *wire
	release func() bool
	written <-chan error
	last    bool
	ended   bool
}

// Read reads the body and notes its end.
func (body *wireBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == nil || body.ended {
		return count, err
	}
	body.ended = true
	if !errors.Is(err, io.EOF) {
		return count, cause(body.ctx, err)
	}
	body.line.fault = body.verdict()
	return count, err
}

// verdict returns why the connection carries no further request, or nil.
func (body *wireBody) verdict() error {
	select {
	case err := <-body.written:
		if err != nil {
			return err
		}
	default:
		return errSpent // the searcher has answered before it has read the request
	}
	switch {
	case !body.release() || body.last:
		return errSpent
	case body.line.reader.Buffered() > 0:
		return errSurplus
	}
	return nil
}

// Close ends the exchange; a reply that was not read to its end ends the connection.
func (body *wireBody) Close() error {
	body.release()
	if body.line.fault != nil {
		return body.line.Close()
	}
	return nil
}
