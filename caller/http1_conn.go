package caller

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"carobthread"
	"carobthread/accountant"
)

const (
	// maxBufferedBody is the largest body that is written completely before the reply is read.
	// Writing a larger one first could fill the TCP windows of a searcher that replies early.
	maxBufferedBody = 8 << 10
	// writeBuffer is the size of the buffer in bytes through which net/http writes a long request.
	writeBuffer = 4 << 10
	// maxInformational is the maximum number of 1xx replies before the final reply.
	maxInformational = 4
)

// Reasons why a connection cannot be reused.
var (
	errUnexpectedData   = errors.New("received data that belongs to no reply")
	errClosedBySearcher = errors.New("the searcher closed the connection")
	errNotReusable      = errors.New("the connection cannot be reused")
)

// clientConn is an HTTP client connection.
type clientConn interface {
	RoundTrip(request *http.Request) (*http.Response, error)
	// Err returns why the connection cannot be reused, or nil.
	Err() error
	// Available returns the number of requests that can start now.
	Available() int
	Close() error
}

var (
	_ clientConn = (*http.ClientConn)(nil)
	_ clientConn = (*http1Conn)(nil)
)

// http1Conn is an HTTP/1.1 client connection without background goroutines; only a request with a body over
// maxBufferedBody is written by a goroutine.
//
// Data beyond the end of a reply belongs to no request. The connection is not
// reused if such data arrives with the reply, while the connection is idle or
// before the next request.
type http1Conn struct {
	conn *gatedConn
	// maxBodySize limits the bytes of a reply's body on the wire, in whatever encoding.
	maxBodySize int64
	limit       io.LimitedReader
	reader      *bufio.Reader
	reuseErr    error
	accountant  *accountant.Accountant
}

// newHTTP1Conn returns a client connection over conn that accepts replies up to a size in bytes; RoundTrip limits the header
// and the body of each reply, since a searcher in trouble may send either without end.
func newHTTP1Conn(conn *gatedConn, maxReplySize int, accountant *accountant.Accountant) *http1Conn {
	client := &http1Conn{conn: conn, accountant: accountant, maxBodySize: encodingFactor * int64(maxReplySize)}
	client.limit.R = conn
	client.reader = bufio.NewReader(&client.limit)
	return client
}

// Err checks an idle connection without blocking.
func (client *http1Conn) Err() error {
	if client.reuseErr == nil {
		client.reuseErr = checkIdle(client.conn.Conn)
	}
	return client.reuseErr
}

// checkIdle returns an error if an idle connection has been closed or has unread data. The file descriptor is
// non-blocking, and a byte that is read here belongs to no request.
func checkIdle(conn net.Conn) error {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	idleErr := error(nil)
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, readErr := syscall.Read(int(descriptor), buffer[:])
		switch {
		case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR):
		case readErr != nil:
			idleErr = readErr
		case count == 0:
			idleErr = errClosedBySearcher
		default:
			idleErr = errUnexpectedData
		}
		return true
	})
	return errors.Join(idleErr, err)
}

// Available returns 1, since the pool assigns the connection to one request at a time.
func (client *http1Conn) Available() int { return 1 }

// Close closes the connection.
func (client *http1Conn) Close() error { return client.conn.Close() }

// RoundTrip writes the request and reads the reply header. The reply body must be read to EOF before the next request.
func (client *http1Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	if client.reuseErr != nil {
		return nil, client.reuseErr
	}
	client.reuseErr = errNotReusable // until the complete reply has been read
	ctx := request.Context()
	stopAfterFunc := context.AfterFunc(ctx, func() { _ = client.conn.SetDeadline(time.Unix(1, 0)) })
	writeResult, err := client.write(request)
	if err != nil {
		stopAfterFunc()
		return nil, contextError(ctx, err)
	}
	response, err := client.readHead(request)
	if err != nil {
		stopAfterFunc()
		return nil, contextError(ctx, err)
	}
	response.Body = &replyBody{
		ReadCloser: response.Body, ctx: ctx, client: client, stopAfterFunc: stopAfterFunc, writeResult: writeResult,
		closesConn: response.Close, endsWithConn: carobthread.EndsWithConnection(response) && response.Body != http.NoBody,
	}
	return response, nil
}

// write writes the request and sends the result on the returned channel.
// A request with a long body is written while its reply is read.
func (client *http1Conn) write(request *http.Request) (<-chan error, error) {
	writeResult := make(chan error, 1)
	if request.ContentLength > maxBufferedBody {
		transfer := client.accountant.Begin(carobthread.MemorySentBodies, writeBuffer, client.cut)
		request.Body = &sentBody{ReadCloser: request.Body, transfer: transfer}
		go func() {
			defer transfer.End()
			connWriter := &errorWriter{Writer: client.conn}
			err := request.Write(connWriter)
			writeResult <- cmp.Or(connWriter.err, err)
		}()
		return writeResult, nil
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, err
	}
	transfer := client.accountant.Begin(carobthread.MemorySentBodies, encoded.Len(), client.cut)
	defer transfer.End()
	_, err := client.conn.Write(encoded.Bytes())
	if err != nil {
		err = cmp.Or(transfer.Failure(), err)
	}
	writeResult <- err
	return writeResult, err
}

// cut ends the current request by closing the connection.
func (client *http1Conn) cut() { _ = client.Close() }

// sentBody is a request body whose reads count as progress, since each follows the write of the bytes read before.
type sentBody struct {
	io.ReadCloser
	transfer *accountant.Transfer
	last     int
}

// Read reads from the body.
func (body *sentBody) Read(buffer []byte) (int, error) {
	body.transfer.Progress(body.last)
	count, err := body.ReadCloser.Read(buffer)
	body.last = count
	return count, err
}

// errorWriter keeps the error of a failed write, which net/http wraps so that its cause can't be examined.
type errorWriter struct {
	io.Writer
	err error
}

// Write writes to the underlying writer.
func (writer *errorWriter) Write(data []byte) (int, error) {
	count, err := writer.Writer.Write(data)
	if err != nil {
		writer.err = err
	}
	return count, err
}

func (client *http1Conn) readHead(request *http.Request) (*http.Response, error) {
	for range maxInformational {
		client.limit.N = maxHeaderBytes
		response, err := http.ReadResponse(client.reader, request)
		if err != nil {
			return nil, err
		}
		if informational(response.StatusCode) {
			continue
		}
		if err := carobthread.CheckStatus(response.StatusCode); err != nil {
			return nil, err
		}
		client.limit.N = client.maxBodySize
		return response, nil
	}
	return nil, fmt.Errorf("more than %d informational replies", maxInformational)
}

// informational reports whether another reply follows the one with this status. None follows 101, which ends HTTP, and a
// status below 100 may be followed by anything, such as a body that looks like a reply.
func informational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// contextError returns the error of an ended context in place of err, which the connection deadline set by the context
// caused.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// replyBody is a reply body. When it reaches EOF, the connection becomes reusable if nothing but the reply was received.
type replyBody struct {
	io.ReadCloser
	ctx           context.Context
	client        *http1Conn
	stopAfterFunc func() bool
	writeResult   <-chan error
	closesConn    bool
	// endsWithConn is set if only the end of the connection marks the end of the reply.
	endsWithConn bool
	ended        bool
}

// Read reads from the body; at EOF it decides whether the reply is complete and whether the connection can be reused.
func (body *replyBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == nil || body.ended {
		return count, err
	}
	body.ended = true
	if !errors.Is(err, io.EOF) {
		return count, contextError(body.ctx, err)
	}
	if body.endsWithConn {
		if resetErr := body.checkNotReset(); resetErr != nil {
			return count, contextError(body.ctx, fmt.Errorf("the reply has no length and its connection broke: %w", resetErr))
		}
		return count, err
	}
	body.client.reuseErr = body.checkReuse()
	return count, err
}

// checkNotReset returns an error if the connection may have been reset before the end of the reply. The operating system
// reports a reset once for each socket: if the goroutine that writes the request receives it, the reader sees an orderly end.
func (body *replyBody) checkNotReset() error {
	// The searcher has stopped sending, so that the rest of the request does not matter; a write that waits ends now.
	if err := body.client.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	err := <-body.writeResult
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil // the write has received no reset
	}
	return err
}

// checkReuse returns why the connection cannot be reused, or nil.
func (body *replyBody) checkReuse() error {
	select {
	case err := <-body.writeResult:
		if err != nil {
			return err
		}
	default:
		return errNotReusable // the searcher replied before it read the whole request
	}
	switch {
	case !body.stopAfterFunc() || body.closesConn:
		return errNotReusable
	case body.client.reader.Buffered() > 0:
		return errUnexpectedData
	}
	return nil
}

// Close closes the connection unless it can be reused. It cannot if the body was not read to EOF.
func (body *replyBody) Close() error {
	body.stopAfterFunc()
	if body.client.reuseErr != nil {
		return body.client.Close()
	}
	return nil
}
