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
// without end to many attempts at once, and against such replies that are read until the deadline of their attempts.
func TestEndlessRepliesShareMemory(t *testing.T) {
	const (
		attempts     = 200
		maxReplySize = 1 << 20   // the default of the settings
		memory       = 414 << 20 // of the smallest hosts
	)
	clients := map[string]func() (client carobthread.Upstream, closeClient func()){
		"forwarding": func() (carobthread.Upstream, func()) {
			client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: attempts, MaxReplySize: maxReplySize})
			return client, client.Close
		},
		"searcher API": func() (carobthread.Upstream, func()) {
			client := caller.New(caller.Options{Connections: attempts, MaxReplySize: maxReplySize})
			return client, client.Close
		},
	}
	line := strings.Repeat("x", 64<<10)
	chunk := "10000\r\n" + line + "\r\n"
	const head = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Type: application/proto\r\n"
	for name, reply := range map[string][2]string{
		"header line":  {head + "X-Long: ", line},
		"header lines": {head, "X-More: " + line[:1000] + "\r\n"},
		"no reply":     {"", line},
		"body":         {head + "\r\n", line},
		"long body":    {head + "Content-Length: 1000000000\r\n\r\n", line},
		"chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"chunk header": {head + "Transfer-Encoding: chunked\r\n\r\n1;", line},
		"trailer":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line[:1000] + "\r\n"},
		"error":        {"HTTP/1.1 500 Error\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
	} {
		for clientName, start := range clients {
			t.Run(clientName+", "+name, func(t *testing.T) {
				address, _ := startBrokenSearcher(t, reply[0], reply[1])
				client, closeClient := start()
				defer closeClient()
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
				assert.NilError(t, ctx.Err(), "replies were read until the deadline")
				assert.Assert(t, peak < memory/2, "%d MB", peak>>20)
			})
		}
	}
}
