package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is one complete answer of a searcher, as the searcher meant it.
type answer struct {
	id      string // the request's ID
	service string
	status  int
	seal    string
	body    []byte
}

// run is one request at which a searcher began to work.
type run struct {
	searcher, service string
	method, target    string
	bodyHash          string
	at                time.Time
	finished          bool
}

// ledger holds what all searchers did; the checks read it at the end.
type ledger struct {
	mutex   sync.Mutex
	runs    map[string][]*run
	answers map[string]answer // by seal
	arrived map[string][]string
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]*run{}, answers: map[string]answer{}, arrived: map[string][]string{}}
}

// fault is what a searcher does wrong with one answer; the zero value is a sound answer.
type fault struct {
	reject     bool          // the request is rejected with Not-Executed, as by a full searcher
	drop       bool          // the answer is lost: the connection is reset after the run
	truncate   bool          // the connection ends within the answer
	unframed   bool          // the answer has no length and ends with its connection
	copyAfter  time.Duration // a second copy of the answer follows after this time
	junk       bool          // bytes that are no answer follow
	closeAfter bool          // Connection: close
	status     int           // the searcher's own status, 0 for 200
}

// searcher is a stand-in of one searcher. It reads and writes the connections itself, to be able to send what HTTP libraries
// don't.
type searcher struct {
	id, service, zone string
	address           string
	slots, queue      int
	store             *store
	ledger            *ledger
	record            *recorder
	work              func() time.Duration
	body              func(id string, requestBody []byte) []byte
	// fault is asked once for each answer; rejected states whether the searcher was full.
	fault    func(id string, rejected bool) fault
	running  chan struct{}
	waiting  atomic.Int64
	born     int64
	sequence atomic.Int64
	state    atomic.Value // "ready" or "draining"
	silent   atomic.Bool  // no heartbeats
	listener net.Listener
}

func (searcher *searcher) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	searcher.listener = listener
	searcher.address = listener.Addr().String()
	searcher.running = make(chan struct{}, searcher.slots)
	searcher.born = time.Now().UnixMilli()
	searcher.state.Store("ready")
	searcher.beat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			if !searcher.silent.Load() {
				searcher.beat()
			}
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go searcher.serve(conn)
		}
	}()
	return nil
}

func (searcher *searcher) beat() {
	searcher.store.put("servers/"+searcher.id, map[string]any{
		"service": searcher.service, "address": searcher.address, "zone": searcher.zone, "version": "v1", "slots": searcher.slots,
		"state": searcher.state.Load(), "coldLeftMs": 0, "sequence": searcher.sequence.Add(1), "born": searcher.born,
	})
}

// serve serves one request at a time; a connection that closes ends the work on its request.
func (searcher *searcher) serve(conn net.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type incoming struct {
		request *http.Request
		body    []byte
	}
	requests := make(chan incoming)
	go func() {
		defer cancel()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			select {
			case requests <- incoming{request, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	var writes sync.Mutex
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-requests:
			if !searcher.handle(ctx, conn, &writes, next.request, next.body) {
				return
			}
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (searcher *searcher) handle(ctx context.Context, conn net.Conn, writes *sync.Mutex, request *http.Request, body []byte) bool {
	id := request.Header.Get("Request-Id")
	if request.URL.Path == "/healthz" {
		return searcher.send(conn, writes, 200, []string{"Instance-Id: " + searcher.id}, nil, fault{})
	}
	searcher.ledger.mutex.Lock()
	searcher.ledger.arrived[id] = append(searcher.ledger.arrived[id], searcher.id)
	searcher.ledger.mutex.Unlock()
	echo := "Request-Id: " + id
	if expected := request.Header.Get("Target-Instance"); expected != "" && expected != searcher.id {
		searcher.record.printf("%s rejects %s: it expects %s", searcher.id, id, expected)
		return searcher.send(conn, writes, 421, []string{echo, "Instance-Id: " + searcher.id, "Not-Executed: 1"}, nil, fault{})
	}
	if int(searcher.waiting.Load()) >= searcher.queue && len(searcher.running) >= searcher.slots {
		return searcher.reject(conn, writes, id, searcher.fault(id, true))
	}
	spec := searcher.fault(id, false)
	if spec.reject {
		return searcher.reject(conn, writes, id, spec)
	}
	searcher.waiting.Add(1)
	select {
	case searcher.running <- struct{}{}:
		searcher.waiting.Add(-1)
	case <-ctx.Done():
		searcher.waiting.Add(-1)
		return false
	}
	defer func() { <-searcher.running }()
	begun := &run{
		searcher: searcher.id, service: searcher.service, method: request.Method, target: request.RequestURI,
		bodyHash: hash(body), at: time.Now(),
	}
	searcher.ledger.mutex.Lock()
	searcher.ledger.runs[id] = append(searcher.ledger.runs[id], begun)
	count := len(searcher.ledger.runs[id])
	searcher.ledger.mutex.Unlock()
	searcher.record.printf("%s runs %s on connection %s (run %d)", searcher.id, id, conn.RemoteAddr(), count)
	select {
	case <-time.After(searcher.work()):
	case <-ctx.Done():
		searcher.record.printf("%s drops %s: its connection has closed", searcher.id, id)
		return false
	}
	status := 200
	if spec.status != 0 {
		status = spec.status
	}
	content := searcher.body(id, body)
	seal := fmt.Sprintf("%08x.%s.%d", rand.Uint32(), searcher.id, len(content))
	searcher.ledger.mutex.Lock()
	begun.finished = true
	searcher.ledger.answers[seal] = answer{id: id, service: searcher.service, status: status, seal: seal, body: content}
	searcher.ledger.mutex.Unlock()
	searcher.record.printf("%s has run %s and answers %d", searcher.id, id, status)
	if spec.drop {
		return false
	}
	return searcher.send(conn, writes, status, []string{echo, "Response-Seal: " + seal}, content, spec)
}

func (searcher *searcher) reject(conn net.Conn, writes *sync.Mutex, id string, spec fault) bool {
	searcher.record.printf("%s rejects %s as not run, on connection %s", searcher.id, id, conn.RemoteAddr())
	spec.truncate, spec.unframed = false, false
	return searcher.send(conn, writes, 503, []string{"Request-Id: " + id, "Not-Executed: 1"}, nil, spec)
}

// send writes an answer with the faults of spec and reports whether the connection stays open.
func (searcher *searcher) send(conn net.Conn, writes *sync.Mutex, status int, header []string, body []byte, spec fault) bool {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), strings.Join(header, "\r\n"))
	if !spec.unframed {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	if spec.closeAfter || spec.unframed {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	text.Write(body)
	content := text.Bytes()
	if spec.truncate {
		content = content[:len(content)-len(body)/2-1]
	}
	writes.Lock()
	_, err := conn.Write(content)
	if spec.junk {
		_, _ = conn.Write([]byte("\x00\x17spoiled bytes"))
	}
	writes.Unlock()
	if spec.copyAfter > 0 {
		time.AfterFunc(spec.copyAfter, func() {
			writes.Lock()
			defer writes.Unlock()
			if _, err := conn.Write(content); err == nil {
				searcher.record.printf("%s sends the answer again (%d, %s), on connection %s", searcher.id, status, header[0], conn.RemoteAddr())
			}
		})
	}
	return err == nil && !spec.truncate && !spec.unframed && !spec.closeAfter
}

func hash(body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%x", sum[:6])
}
