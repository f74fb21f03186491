package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/forwarder"
	"carobthread/platform"
	"carobthread/router"
	"carobthread/server"
	"carobthread/timer"
)

// asker ends every query in the same way and keeps the last one.
type asker struct {
	end    server.Outcome
	now    carobthread.Timer
	left   time.Duration
	header http.Header
}

var _ forwarder.Asker = (*asker)(nil)

func (asker *asker) Ask(_ context.Context, query server.Query) (server.Outcome, error) {
	asker.left = query.Deadline.Sub(asker.now.Now())
	asker.header = query.Request.HTTP.Header
	return asker.end, nil
}

// TestScripts runs the scripts in testdata; each case names the failure that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			names := platform.Headers()
			clock := timer.New()
			asked := &asker{now: clock, end: outcome(t, data)}
			subject := forwarder.New(forwarder.Options{Headers: names, Asker: asked, Timer: clock})
			if !data.HasArg("unrouted") {
				subject.Route(router.New(routes()))
			}
			if data.HasArg("stopping") {
				subject.Stop()
			}
			if data.HasArg("diverting") {
				subject.Divert(true)
			}
			target, left, body := "/book/1", "", ""
			data.MaybeScanArgs(t, "target", &target)
			data.MaybeScanArgs(t, "left", &left)
			data.MaybeScanArgs(t, "body", &body)
			request := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
			request.Host = "a.example"
			request.Header.Set(names.RequestID, "r1")
			request.Header.Set(names.ExpectInstance, "forged")
			request.Header.Set("X-Kept", "yes")
			if left != "" {
				request.Header.Set(names.TimeLeft, left)
			}
			answer := httptest.NewRecorder()
			subject.ServeHTTP(answer, request)
			output := &strings.Builder{}
			if asked.header != nil {
				fmt.Fprintf(output, "asked with %v left, kept %q, instance %q\n",
					asked.left.Round(time.Millisecond), asked.header.Get("X-Kept"), asked.header.Get(names.ExpectInstance))
			}
			fmt.Fprintf(output, "%d %q retry-after %q connection %q seals %q missing %q\n", answer.Code, answer.Body.String(),
				answer.Header().Get("Retry-After"), answer.Header().Get("Connection"), answer.Header().Get(names.Seals), answer.Header().Get(names.MissingShards))
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
			{Name: "search", Host: "a.example", Prefix: "/search/", Timeout: time.Second, Shards: []string{"one", "two"}, TopRecords: 2},
		},
	}
}

// outcome reads end=reply|merge|failed|refused with not-run, rejected=STATUS and retry-after.
func outcome(t *testing.T, data *datadriven.TestData) server.Outcome {
	t.Helper()
	end, rejected, after := "reply", 0, "0s"
	data.MaybeScanArgs(t, "end", &end)
	data.MaybeScanArgs(t, "rejected", &rejected)
	data.MaybeScanArgs(t, "retry-after", &after)
	wait, err := time.ParseDuration(after)
	if err != nil {
		data.Fatalf(t, "%v", err)
	}
	reply := func(status int, seal, body string) *carobthread.ShardReply {
		header := http.Header{"X-Own": {strconv.Itoa(status)}}
		return &carobthread.ShardReply{HTTP: &carobthread.HTTPReply{Status: status, Header: header, Seal: seal, Body: []byte(body)}}
	}
	found := server.Outcome{Answer: &carobthread.AnswerQuery{Coverage: carobthread.Coverage{Answered: 1, Total: 1}}}
	switch end {
	case "reply":
		found.Replies = []*carobthread.ShardReply{reply(http.StatusOK, "seal", "done")}
	case "merge":
		found.Answer.Coverage = carobthread.Coverage{Answered: 2, Total: 3}
		found.Replies = []*carobthread.ShardReply{
			reply(http.StatusOK, "seal-1", "aaaaaaaaaaaaaaaacccccccccccccccc"), reply(http.StatusOK, "seal-2", "bbbbbbbbbbbbbbbbrest"),
		}
	case "failed":
		found.Answer.Coverage = carobthread.Coverage{Total: 1, Missing: []carobthread.MissingShard{{Reason: carobthread.ReasonUpstreamFailed}}}
		found.Answer.Failed, found.Answer.NotRun = true, data.HasArg("not-run")
		found.Answer.RetryAfterMicros = wait.Microseconds()
		if rejected != 0 {
			found.Rejected = reply(rejected, "seal", "no")
		}
	case "refused":
		reason := string(carobthread.ReasonOverload)
		data.MaybeScanArgs(t, "reason", &reason)
		found = server.Outcome{Refusal: &carobthread.RefuseQuery{Reason: carobthread.Reason(reason), RetryAfterMicros: wait.Microseconds()}}
	default:
		data.Fatalf(t, "unknown end %s", end)
	}
	return found
}
