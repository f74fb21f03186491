package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/forwarder"
	"carobthread/platform"
	"carobthread/router"
	"carobthread/server"
	"carobthread/timer"
)

// stubRunner returns the same outcome for every query, and keeps the time left and the header of the last one.
type stubRunner struct {
	outcome  server.Outcome
	clock    carobthread.Timer
	timeLeft time.Duration
	header   http.Header
	panics   bool
}

var _ forwarder.QueryRunner = (*stubRunner)(nil)

func (runner *stubRunner) RunQuery(_ context.Context, query server.Query) (server.Outcome, error) {
	runner.timeLeft = query.Deadline.Sub(runner.clock.Now())
	runner.header = query.Request.HTTP.Header
	if runner.panics {
		panic("unexpected")
	}
	return runner.outcome, nil
}

// TestScripts runs the scripts in testdata; the comment of each case says which failure it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			names := platform.Headers()
			clock := timer.NewManual(carobthread.At(time.Unix(1, 0)))
			stub := &stubRunner{clock: clock, outcome: outcome(t, data)}
			stub.panics = data.HasArg("panics")
			handler := forwarder.New(forwarder.Options{Headers: names, QueryRunner: stub, Timer: clock})
			if !data.HasArg("no-routing-table") {
				handler.SetRouter(router.New(routes()))
			}
			if data.HasArg("stopping") {
				handler.Stop()
			}
			if data.HasArg("diverting") {
				handler.Divert(true)
			}
			target, timeLeft, body := "/book/1", "", ""
			data.MaybeScanArgs(t, "target", &target)
			data.MaybeScanArgs(t, "deadline-ms", &timeLeft)
			data.MaybeScanArgs(t, "body", &body)
			request := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
			request.Host = "a.example"
			request.Header.Set(names.RequestID, "r1")
			request.Header.Set(names.ExpectInstance, "forged")
			request.Header.Set("X-Kept", "yes")
			if data.HasArg("broken-body") {
				request.Body = io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			if timeLeft != "" {
				request.Header.Set(names.TimeLeft, timeLeft)
			}
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			output := &strings.Builder{}
			if stub.header != nil {
				fmt.Fprintf(output, "query with %v left, x-kept %q, instance %q\n",
					stub.timeLeft.Round(time.Millisecond), stub.header.Get("X-Kept"), stub.header.Get(names.ExpectInstance))
			}
			fmt.Fprintf(output, "%d %q retry-after %q connection %q signatures %q missing %q\n", answer.Code, answer.Body.String(),
				answer.Header().Get("Retry-After"), answer.Header().Get("Connection"), answer.Header().Get(names.Signatures), answer.Header().Get(names.MissingShards))
			return output.String()
		})
	})
}

func routes() *carobthread.RoutingTable {
	return &carobthread.RoutingTable{
		Version: 3,
		Limits:  carobthread.ClientLimits{BodyBytes: 8},
		Routes: []carobthread.Route{
			{Name: "book", Host: "a.example", Prefix: "/book/", Timeout: 4 * time.Second, Backends: []carobthread.Backend{{Group: "ledger", Weight: 1}}},
			{Name: "search", Host: "a.example", Prefix: "/search/", Timeout: time.Second, Shards: []string{"one", "two"}, TopK: 2},
			{Name: "all", Host: "a.example", Prefix: "/all/", Timeout: time.Second, Shards: []string{"one", "two"}, TopK: math.MaxUint32},
		},
	}
}

// outcome builds the outcome given by end=reply|merge|failed|refused, not-run, rejected=STATUS, reason and retry-after.
func outcome(t *testing.T, data *datadriven.TestData) server.Outcome {
	t.Helper()
	end, rejected, retryAfter := "reply", 0, "0s"
	data.MaybeScanArgs(t, "end", &end)
	data.MaybeScanArgs(t, "rejected", &rejected)
	data.MaybeScanArgs(t, "retry-after", &retryAfter)
	wait, err := time.ParseDuration(retryAfter)
	if err != nil {
		data.Fatalf(t, "%v", err)
	}
	reply := func(status int, signature, body string) *carobthread.ShardReply {
		header := http.Header{"X-Own": {strconv.Itoa(status)}}
		return &carobthread.ShardReply{HTTP: &carobthread.HTTPReply{Status: status, Header: header, Signature: signature, Body: []byte(body)}}
	}
	result := server.Outcome{Answer: &carobthread.AnswerQuery{Coverage: carobthread.Coverage{Answered: 1, Total: 1}}}
	switch end {
	case "reply":
		result.Replies = []*carobthread.ShardReply{reply(http.StatusOK, "signature", "done")}
	case "merge":
		result.Answer.Coverage = carobthread.Coverage{Answered: 2, Total: 3}
		result.Replies = []*carobthread.ShardReply{
			reply(http.StatusOK, "signature-1", "aaaaaaaaaaaaaaaacccccccccccccccc"), reply(http.StatusOK, "signature-2", "bbbbbbbbbbbbbbbbrest"),
		}
	case "failed":
		reason := string(carobthread.ReasonUpstreamFailed)
		data.MaybeScanArgs(t, "reason", &reason)
		result.Answer.Coverage = carobthread.Coverage{Total: 1, Missing: []carobthread.MissingShard{{Reason: carobthread.Reason(reason)}}}
		result.Answer.Failed, result.Answer.NotRun = true, data.HasArg("not-run")
		result.Answer.RetryAfterMicros = wait.Microseconds()
		if rejected != 0 {
			result.Rejected = reply(rejected, "signature", "no")
		}
	case "refused":
		reason := string(carobthread.ReasonOverload)
		data.MaybeScanArgs(t, "reason", &reason)
		result = server.Outcome{Refusal: &carobthread.RefuseQuery{Reason: carobthread.Reason(reason), RetryAfterMicros: wait.Microseconds()}}
	default:
		data.Fatalf(t, "unknown end %s", end)
	}
	return result
}
