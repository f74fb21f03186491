package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// exchange is one request at a searcher, with the raw connection that it came on.
type exchange struct {
	searcher *searcher
	conn     *net.TCPConn
	request  *http.Request
	id       string
	deadline time.Duration
	// body is the request's body, unless the searcher is lazy.
	body []byte
}

// searcher is a stand-in for one searcher.
type searcher struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	sequence                   atomic.Int64
	listener                   net.Listener
	// lazyBody leaves the body of a request unread when handle is called.
	lazyBody bool
	// handle answers one request and reports whether the connection is kept.
	handle func(exchange *exchange) bool
	// onRun is called when the searcher begins to work on a request.
	onRun func(exchange *exchange)
	stop  chan struct{}
	once  sync.Once
}

// beat returns the searcher's entry in the store.
func (searcher *searcher) beat() map[string]any {
	return map[string]any{
		"service": searcher.service, "address": searcher.address, "zone": searcher.zone, "version": "v1", "slots": searcher.slots,
		"state": "ready", "coldLeftMs": 0, "sequence": searcher.sequence.Add(1), "born": searcher.born,
	}
}

// newSearcher listens on a free port of the loopback address.
func newSearcher(id, service, zone string) (*searcher, error) {
	return newSearcherAt("127.0.0.1:0", id, service, zone, ethernetSegment)
}

// newSearcherAt listens on an address; a segment size other than 0 limits the TCP segments to that of an ordinary network.
func newSearcherAt(address, id, service, zone string, segment int) (*searcher, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if segment == 0 {
			return nil
		}
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &searcher{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: 3, born: time.Now().UnixMilli(), listener: listener, stop: make(chan struct{}),
	}, nil
}

// start serves requests and writes the entry to the store each heartbeatMs.
func (searcher *searcher) start(env *environment, store *store) {
	go searcher.serve()
	store.put("servers/"+searcher.id, searcher.beat())
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				store.put("servers/"+searcher.id, searcher.beat())
			case <-searcher.stop:
				return
			}
		}
	}()
	env.defers(searcher.close)
}

// close ends the searcher like a crash: its entry stays until it lapses.
func (searcher *searcher) close() {
	searcher.once.Do(func() {
		close(searcher.stop)
		_ = searcher.listener.Close()
	})
}

func (searcher *searcher) serve() {
	for {
		conn, err := searcher.listener.Accept()
		if err != nil {
			return
		}
		go searcher.serveConn(conn.(*net.TCPConn))
	}
}

func (searcher *searcher) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	go func() {
		<-searcher.stop
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		millis, _ := strconv.Atoi(received.Header.Get("Deadline-Ms"))
		current := &exchange{searcher: searcher, conn: conn, request: received, id: received.Header.Get("Request-Id"), deadline: time.Duration(millis) * time.Millisecond}
		if expected := received.Header.Get("Target-Instance"); expected != "" && expected != searcher.id {
			if !current.reply(http.StatusMisdirectedRequest, "Instance-Id: "+searcher.id+"\r\n", nil) {
				return
			}
			continue
		}
		if !searcher.lazyBody {
			if current.body, err = io.ReadAll(received.Body); err != nil {
				return
			}
		}
		if searcher.onRun != nil {
			searcher.onRun(current)
		}
		if !searcher.handle(current) {
			return
		}
	}
}

// reply writes a complete answer with the echoed ID; header holds further lines.
func (exchange *exchange) reply(status int, header string, body []byte) bool {
	var output bytes.Buffer
	fmt.Fprintf(&output, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), exchange.id, header, len(body))
	output.Write(body)
	_, err := exchange.conn.Write(output.Bytes())
	return err == nil
}

// succeed answers with a sealed body.
func (exchange *exchange) succeed(body []byte) bool {
	return exchange.reply(http.StatusOK, fmt.Sprintf("Response-Seal: %s\r\nServer-Load: 1,0,%d\r\n", seal(exchange.id, body), exchange.searcher.slots), body)
}

// ethernetSegment is the TCP segment size of an ordinary network.
const ethernetSegment = 1460
