package caller_test

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/platform"
	"carobthread/timer"
)

// peakHeap runs the function and returns the largest increase of the heap meanwhile, with little garbage.
func peakHeap(function func()) (peak uint64) {
	const gcPercent = 10
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before := stats.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		function()
	}()
	for {
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc-min(before, stats.HeapAlloc))
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against a host that runs out of memory, and loses the requests of all its callers, because searchers send bytes
// without end to many attempts at once.
func TestHTTPEndlessRepliesShareMemory(t *testing.T) {
	const (
		attempts     = 400
		maxReplySize = 1 << 20   // the default of the settings
		memory       = 414 << 20 // of the smallest hosts
	)
	line := strings.Repeat("x", 64<<10)
	const head = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
	for name, reply := range map[string][2]string{
		"header line":  {head + "X-Long: ", line},
		"header lines": {head, "X-More: " + line[:1000] + "\r\n"},
		"no reply":     {"", line},
		"body":         {head + "\r\n", line},
		"long body":    {head + "Content-Length: 1000000000\r\n\r\n", line},
		"chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + line + "\r\n"},
		"chunk header": {head + "Transfer-Encoding: chunked\r\n\r\n1;", line},
		"trailer":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line[:1000] + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startBrokenSearcher(t, reply[0], reply[1])
			client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: attempts, MaxReplySize: maxReplySize})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			peak := peakHeap(func() {
				var running sync.WaitGroup
				for index := range attempts {
					running.Go(func() {
						_, err := client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: address, Instance: "i"}, newShardRequest(fmt.Sprint("r", index), "/x/1"))
						assert.Check(t, err != nil)
					})
				}
				running.Wait()
			})
			assert.NilError(t, ctx.Err())
			assert.Assert(t, peak < memory/2, "%d MB", peak>>20)
		})
	}
}

// Guards against the same at searchers of the searcher API, and against such replies that are read until the deadline.
func TestEndlessRepliesShareMemory(t *testing.T) {
	const (
		attempts     = 100
		maxReplySize = 1 << 20
		memory       = 414 << 20
	)
	line := strings.Repeat("x", 64<<10)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, reply := range map[string][2]string{
		"header line": {head + "X-Long: ", line},
		"no reply":    {"", line},
		"long body":   {head + "Content-Length: 1000000000\r\n\r\n", line},
		"chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + line + "\r\n"},
		"error":       {"HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + line + "\r\n"},
		"trailer":     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line[:1000] + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startBrokenSearcher(t, reply[0], reply[1])
			client := caller.New(caller.Options{Connections: attempts, MaxReplySize: maxReplySize})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			peak := peakHeap(func() {
				var running sync.WaitGroup
				for index := range attempts {
					running.Go(func() {
						_, err := client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: address}, newShardRequest(fmt.Sprint("r", index), "/x/1"))
						assert.Check(t, err != nil)
					})
				}
				running.Wait()
			})
			assert.NilError(t, ctx.Err(), "replies were read until the deadline")
			assert.Assert(t, peak < memory/2, "%d MB", peak>>20)
		})
	}
}
