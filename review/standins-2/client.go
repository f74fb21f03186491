package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// newRequestID returns an ID in the form of the wire examples.
func newRequestID() string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastRequest.Add(1))
}

// seal returns the digest of a searcher's answer to a request, by which a client recognizes the body.
func seal(requestID string, body []byte) string {
	sum := sha256.Sum256(append([]byte(requestID+"\x00"), body...))
	return "3e1b.07." + hex.EncodeToString(sum[:3]) + ".600.0." + hex.EncodeToString(sum[3:7])
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // the connection ended, or the answer was no complete one
}

// String returns the answer as one line of the record.
func (answer *answer) String() string {
	if answer.err != nil {
		return fmt.Sprintf("no complete answer (%v)", answer.err)
	}
	return fmt.Sprintf("%d, seal %q, retry-after %q, %d bytes", answer.status, answer.header.Get("Response-Seal"), answer.header.Get("Retry-After"), len(answer.body))
}

// wrongSuccess returns why a success is not the searcher's whole answer to the request, or "".
func (answer *answer) wrongSuccess(requestID string) string {
	switch {
	case answer.err != nil || answer.status < 200 || answer.status > 299:
		return ""
	case answer.header.Get("Response-Seal") == "":
		return "a success without the searcher's Response-Seal"
	case answer.header.Get("Response-Seal") != seal(requestID, answer.body):
		return "a success whose body isn't the searcher's whole body"
	}
	return ""
}

// request is one client attempt.
type request struct {
	method, host, target, id string
	deadline                 time.Duration
	body                     []byte
	close                    bool // asks for the connection to be closed
}

func (request *request) head() string {
	head := strings.Builder{}
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", request.method, request.target, request.host, request.id, request.deadline.Milliseconds())
	if request.method == http.MethodPost || len(request.body) > 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.body))
	}
	if request.close {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	return head.String()
}

// dialHost opens a client's connection to an entry host.
func dialHost(address string) (*net.TCPConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// send writes the request.
func (request *request) send(conn net.Conn) error {
	_, err := conn.Write(append([]byte(request.head()), request.body...))
	return err
}

// readAnswer reads the answer to the request up to its end.
func (request *request) readAnswer(conn net.Conn, reader *bufio.Reader) *answer {
	_ = conn.SetReadDeadline(time.Now().Add(request.deadline + 2*time.Second))
	response, err := http.ReadResponse(reader, &http.Request{Method: request.method})
	if err != nil {
		return &answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// do sends the request on a new connection and returns the answer.
func (request *request) do(address string) *answer {
	conn, err := dialHost(address)
	if err != nil {
		return &answer{err: err}
	}
	defer conn.Close()
	if err := request.send(conn); err != nil {
		return &answer{err: err}
	}
	return request.readAnswer(conn, bufio.NewReader(conn))
}
