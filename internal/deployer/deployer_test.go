package deployer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/internal/deployer"
	"carobthread/internal/standin"
	"carobthread/parser"
	"carobthread/recorder"
	"carobthread/rpc/carobthreadv1"
)

func start(t *testing.T) *deployer.Deployment {
	t.Helper()
	deployment, err := deployer.New(context.Background(), deployer.Options{})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, deployment.Close()) })
	return deployment
}

func search(t *testing.T, host *deployer.Host) *carobthreadv1.SearchResponse {
	t.Helper()
	response, err := host.Client.Search(context.Background(), connect.NewRequest(&carobthreadv1.SearchRequest{Service: deployer.Matching}))
	assert.NilError(t, err)
	return response.Msg
}

// awaitTicket waits until the ticket is active on the host.
func awaitTicket(t *testing.T, host *deployer.Host, number uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if highest := host.Runner.Status().Control.Propagation.Highest; highest != number {
			return poll.Continue("ticket %d is active", highest)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// service returns an operator's change of the search service with another coverage floor.
func service(floor float64) []carobthread.Object {
	return []carobthread.Object{{ID: parser.ServiceID(deployer.Matching), Service: &carobthread.Service{
		Name: deployer.Matching, Kind: carobthread.KindSearch, Preference: carobthread.CoverageFirst,
		SoftDeadline: 80 * time.Millisecond, HardDeadline: 160 * time.Millisecond, CoverageFloor: floor,
		HedgeQuantile: 0.95, ExtraAttemptRatio: 0.05, MaxInFlight: 1000, MaxRequestSize: 64 << 10, MaxReplySize: 1 << 20, Layout: 1,
	}}}
}

// Guards against a host that reverts to an older configuration, or that cannot start, during an outage or a rollback of
// the platform.
func TestConfigurationSurvivesPlatformFaults(t *testing.T) {
	deployment := start(t)
	before := deployment.Platform.Revision()
	assert.NilError(t, deployment.Publish(service(0.9)))
	for _, host := range deployment.Hosts {
		awaitTicket(t, host, deployment.Ticket())
	}
	deployment.Platform.RollBack(before)
	deployment.Platform.SetOutage(true)
	assert.NilError(t, deployment.Hosts[0].Stop())
	assert.NilError(t, deployment.StartHost(context.Background(), 0))
	awaitTicket(t, deployment.Hosts[0], deployment.Ticket())
	assert.NilError(t, deployment.AwaitReady(context.Background()))
	deployment.Platform.SetOutage(false)
	time.Sleep(time.Second) // lets the readers read the rolled-back values
	for _, host := range deployment.Hosts {
		assert.Equal(t, host.Runner.Status().Control.Propagation.Highest, deployment.Ticket())
		assert.Equal(t, int(search(t, host).GetCoverage().GetTotal()), deployer.Shards)
	}
}

// Guards against new work for a searcher more than 3 s after it first reports that it is draining.
func TestDrainingSearcherGetsNoNewWork(t *testing.T) {
	deployment := start(t)
	draining := []*standin.Searcher{deployment.Matching[0][0], deployment.Bookings[0]}
	for _, searcher := range draining {
		searcher.Drain()
	}
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		for _, host := range deployment.Hosts {
			search(t, host)
		}
	}
	before := draining[0].Calls() + draining[1].Calls()
	for range 50 {
		for _, host := range deployment.Hosts {
			assert.Equal(t, int(search(t, host).GetCoverage().GetTotal()), deployer.Shards)
			reserved, err := host.Client.Reserve(context.Background(), connect.NewRequest(&carobthreadv1.ReserveRequest{Service: deployer.Bookings}))
			assert.NilError(t, err)
			outcome, err := host.Client.Execute(context.Background(), connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: reserved.Msg.GetKey(), Service: deployer.Bookings}))
			assert.NilError(t, err)
			assert.Equal(t, outcome.Msg.GetStatus(), carobthreadv1.ExecutionStatus_EXECUTION_STATUS_DONE, outcome.Msg.GetReason())
		}
	}
	assert.Equal(t, draining[0].Calls()+draining[1].Calls(), before)
}

// Guards against decisions that depend on anything but the recorded events, such as a clock or map iteration order.
func TestLiveTraceReplaysToTheSameDecisions(t *testing.T) {
	traces := t.TempDir()
	deployment, err := deployer.New(context.Background(), deployer.Options{TraceDirectory: traces})
	assert.NilError(t, err)
	deployment.Matching[0][0].SetSlowdown(30)
	assert.NilError(t, deployment.Matching[1][0].Close())
	for range 20 {
		for _, host := range deployment.Hosts {
			search(t, host)
		}
	}
	assert.NilError(t, deployment.Close())
	files, err := filepath.Glob(filepath.Join(traces, "*.jsonl"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), len(deployment.Hosts))
	for _, file := range files {
		content, err := os.Open(file)
		assert.NilError(t, err)
		trace, err := recorder.Read(file, content)
		assert.NilError(t, errors.Join(err, content.Close()))
		assert.Assert(t, len(trace.Steps) > 100)
		differences, err := recorder.Replay(trace)
		assert.NilError(t, err)
		assert.Equal(t, len(differences), 0, "%v", differences)
	}
}

// Guards against a hop that records no span or starts a new trace: all spans of a forwarded booking must share one trace
// ID.
func TestForwardedBookingIsOneTrace(t *testing.T) {
	traces := t.TempDir()
	deployment, err := deployer.New(context.Background(), deployer.Options{TraceDirectory: traces})
	assert.NilError(t, err)
	reserved, err := deployment.Hosts[0].Client.Reserve(context.Background(), connect.NewRequest(&carobthreadv1.ReserveRequest{Service: deployer.Bookings}))
	assert.NilError(t, err)
	_, err = deployment.Hosts[3].Client.Execute(context.Background(), connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: reserved.Msg.GetKey(), Service: deployer.Bookings}))
	assert.NilError(t, err)
	assert.NilError(t, deployment.Close())
	hops := map[string]string{}
	for _, name := range []string{"entry-1.spans", "entry-4.spans"} {
		content, err := os.ReadFile(filepath.Join(traces, name))
		assert.NilError(t, err)
		decoder := json.NewDecoder(bytes.NewReader(content))
		for decoder.More() {
			var span struct {
				Name        string
				SpanContext struct{ TraceID string }
			}
			assert.NilError(t, decoder.Decode(&span))
			hops[span.Name] = span.SpanContext.TraceID
		}
	}
	for _, name := range []string{"execute", "forward", "key.execute", "run"} {
		assert.Equal(t, hops[name], hops["execute"], name)
	}
	assert.Assert(t, hops["execute"] != "")
}
