package stopper_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"carobthread"
	"carobthread/stopper"
)

const began = carobthread.Instant(time.Hour)

// TestScripts runs the scripts in testdata; the comment of each case says which failure it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			duration := func(key string) time.Duration {
				text := "0s"
				data.MaybeScanArgs(t, key, &text)
				parsed, err := time.ParseDuration(text)
				if err != nil {
					data.Fatalf(t, "%v", err)
				}
				return parsed
			}
			stop, history := stopper.Stop{}, stopper.History{}
			if data.HasArg("limit") {
				stop.Begin(stopper.AnswerBy(began, duration("limit")))
			}
			if data.HasArg("abort-at") {
				stop.Begin(began.Add(duration("abort-at")))
			}
			output := strings.Builder{}
			for _, line := range strings.Fields(data.Input) {
				took, err := time.ParseDuration(line)
				if err != nil {
					data.Fatalf(t, "%v", err)
				}
				history.Record(took)
			}
			for at := time.Duration(0); at <= 6*time.Second; at += 500 * time.Millisecond {
				request := stopper.Request{Arrived: began.Add(at), Deadline: began.Add(at + duration("timeout")), AtMostOnce: data.HasArg("once")}
				if !stop.Admits(request, &history) {
					fmt.Fprintf(&output, "%s refused\n", at)
					continue
				}
				fmt.Fprintf(&output, "%s answered within %s\n", at, stop.Deadline(request.Deadline).Sub(request.Arrived))
			}
			return output.String()
		})
	})
}

// TestAdmittedRequestsEndInTime guards against a request that is accepted without time for the durations seen, or whose
// answer is due after the process may be ended, for any limit, moment, deadline and history.
func TestAdmittedRequestsEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "limit"))
		stop, history := stopper.Stop{}, stopper.History{}
		stop.Begin(stopper.AnswerBy(began, limit))
		longest := time.Duration(0)
		for _, took := range rapid.SliceOfN(rapid.Int64Range(0, int64(10*time.Second)), 0, 200).Draw(t, "history") {
			history.Record(time.Duration(took))
		}
		recent := rapid.SliceOfN(rapid.Int64Range(0, int64(10*time.Second)), 64, 64).Draw(t, "recent")
		for _, took := range recent {
			history.Record(time.Duration(took))
			longest = max(longest, time.Duration(took))
		}
		arrived := began.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "arrived")))
		request := stopper.Request{
			Arrived: arrived, Deadline: arrived.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "timeout"))), AtMostOnce: true,
		}
		if !stop.Admits(request, &history) {
			return
		}
		due := stop.Deadline(request.Deadline)
		if due > began.Add(limit) || due > request.Deadline {
			t.Fatalf("admitted until %s after the start of the stop, limit %s", due.Sub(began), limit)
		}
		if due < request.Deadline && arrived.Add(longest) > due {
			t.Fatalf("admitted with %s left, although a recent request took %s", due.Sub(arrived), longest)
		}
	})
}
