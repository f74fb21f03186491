package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// call is one client attempt.
type call struct {
	id, method, host, target string
	body                     []byte
	chunked                  bool
	deadline                 time.Duration
	unsafe                   bool
}

// outcome is what the client saw.
type outcome struct {
	call
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	// passed states that at least one byte of the request was written.
	passed bool
}

// client keeps one connection open and sends one request at a time.
type client struct {
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

func (client *client) close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}

// do sends one request, on the open connection if that leads to the address.
func (client *client) do(address string, call call) (result outcome) {
	result = outcome{call: call}
	began := time.Now()
	defer func() { result.took = time.Since(began) }()
	if client.conn == nil || client.address != address {
		client.close()
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			result.err = err
			return result
		}
		client.conn, client.reader, client.address = conn, bufio.NewReader(conn), address
	}
	_ = client.conn.SetDeadline(time.Now().Add(call.deadline + 200*time.Millisecond))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", call.method, call.target, call.host, call.id, call.deadline.Milliseconds())
	switch {
	case call.chunked:
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := call.body; len(rest) > 0; {
			size := min(len(rest), 1000)
			fmt.Fprintf(&text, "%x\r\n%s\r\n", size, rest[:size])
			rest = rest[size:]
		}
		text.WriteString("0\r\n\r\n")
	case call.body != nil:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(call.body), call.body)
	default:
		text.WriteString("\r\n")
	}
	if _, err := client.conn.Write(text.Bytes()); err != nil {
		result.err = err
		client.close()
		return result
	}
	result.passed = true
	response, err := http.ReadResponse(client.reader, &http.Request{Method: call.method})
	if err != nil {
		result.err = err
		client.close()
		return result
	}
	result.status, result.header = response.StatusCode, response.Header
	result.body, result.err = io.ReadAll(response.Body)
	if result.err != nil || response.Close || client.reader.Buffered() > 0 {
		if client.reader.Buffered() > 0 && result.err == nil {
			result.err = fmt.Errorf("%d bytes follow the answer", client.reader.Buffered())
		}
		client.close()
	}
	return result
}

// checker collects broken rules.
type checker struct {
	mutex    sync.Mutex
	ledger   *ledger
	record   *recorder
	outcomes map[string]outcome
	broken   map[string][]string
	counts   map[string]int
}

func newChecker(fleet *fleet) *checker {
	return &checker{ledger: fleet.ledger, record: fleet.record, outcomes: map[string]outcome{}, broken: map[string][]string{}, counts: map[string]int{}}
}

func (checker *checker) report(rule, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	checker.record.printf("BROKEN %s: %s", rule, text)
	checker.broken[rule] = append(checker.broken[rule], text)
}

// add checks what can be checked of one answer at once and keeps it for finish.
func (checker *checker) add(result outcome) {
	if result.err != nil {
		checker.record.printf("client: %s %s ends after %s: %v", result.method, result.id, result.took.Round(time.Millisecond), result.err)
	} else {
		checker.record.printf("client: %s %s answered %d after %s seal %q", result.method, result.id, result.status,
			result.took.Round(time.Millisecond), result.header.Get("Response-Seal"))
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.outcomes[result.id] = result
	kind := "safe"
	if result.unsafe {
		kind = "unsafe"
	}
	if result.err != nil {
		checker.counts[kind+" without answer"]++
		return
	}
	checker.counts[fmt.Sprintf("%s %d", kind, result.status)]++
}

// finish checks the answers against what the searchers did.
func (checker *checker) finish() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.ledger.mutex.Lock()
	defer checker.ledger.mutex.Unlock()
	for id, runs := range checker.ledger.runs {
		result, sent := checker.outcomes[id]
		if !sent {
			continue // not sent through a checked client
		}
		for _, run := range runs {
			if run.method != result.method || run.target != result.target || run.bodyHash != hash(result.call.body) {
				checker.report("UNASKED", "%s ran as %s %s %s", id, run.method, run.target, run.bodyHash)
			}
		}
		if result.unsafe && len(runs) > 1 {
			checker.report("TWICE", "%s ran %d times, at %s and %s, %s apart", id, len(runs), runs[0].searcher, runs[1].searcher, runs[1].at.Sub(runs[0].at).Round(time.Millisecond))
		}
		promise := result.err == nil && (result.status == 429 || result.status == 503 || result.status == 408 || result.status == 421)
		if result.unsafe && promise && len(runs) > 0 {
			checker.report("REFUSED", "%s was answered %d and has run at %s", id, result.status, runs[0].searcher)
		}
	}
	for _, result := range checker.outcomes {
		if result.err == nil {
			checker.checkAnswer(result)
		}
	}
}

func (checker *checker) checkAnswer(result outcome) {
	success := result.status >= 200 && result.status < 300
	seal := result.header.Get("Response-Seal")
	if result.header.Get("Part-Stamps") != "" {
		return // an answer over many shards bears no seal; its parts aren't checked here
	}
	if seal == "" {
		if success {
			checker.report("MIXED", "%s: success without a seal", result.id)
		}
		return
	}
	meant, known := checker.ledger.answers[seal]
	switch {
	case !known || meant.id != result.id:
		checker.report("MIXED", "%s got the seal %s of %q", result.id, seal, meant.id)
	case meant.status != result.status:
		checker.report("MIXED", "%s got %d, the searcher gave %d", result.id, result.status, meant.status)
	case success && !bytes.Equal(meant.body, result.body):
		checker.report("MIXED", "%s got %d bytes, the searcher gave %d", result.id, len(result.body), len(meant.body))
	}
}

// checkLost reports the requests that a host passed on to a searcher and whose connection ended without a complete answer, if
// counts says that they count.
func (checker *checker) checkLost(counts func(outcome) bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.ledger.mutex.Lock()
	defer checker.ledger.mutex.Unlock()
	for id, result := range checker.outcomes {
		if arrived := checker.ledger.arrived[id]; result.err != nil && len(arrived) > 0 && counts(result) {
			checker.report("LOST", "%s %s reached %s, then the connection ended after %s: %v", result.method, id, arrived[0], result.took.Round(time.Millisecond), result.err)
		}
	}
}

// summary prints the counts and the broken rules and returns the exit status.
func (checker *checker) summary() int {
	var names []string
	for name := range checker.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("%-24s %d\n", name, checker.counts[name])
		checker.record.printf("%-24s %d", name, checker.counts[name])
	}
	status := 0
	for rule, cases := range checker.broken {
		fmt.Printf("%s broken %d times, first: %s\n", rule, len(cases), cases[0])
		status = 1
	}
	return status
}
