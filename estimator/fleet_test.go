package estimator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/estimator"
)

// propagationLimit is the requirement that an accepted configuration is active on every host within 4 s, and
// leavingLimit the requirement that a leaving upstream gets no new work after 3 s.
const (
	propagationLimit = 4 * time.Second
	leavingLimit     = 3 * time.Second
)

// script runs the commands of one test script against a fleet.
type script struct {
	fleet       *estimator.Fleet
	savedValues map[string]carobthread.Value
	reader      string // the last killed reader
}

// Guards against tickets that arrive late, get lost, are partly applied or are reverted under faults, and against
// membership views that stay wrong.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		t.Parallel()
		run := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			t.Helper()
			return run.execute(t, data)
		})
	})
}

func (run *script) execute(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var span time.Duration
	if data.HasArg("span") {
		span = duration(t, data, "span")
	}
	on := !data.HasArg("off")
	centre := "dc1"
	data.MaybeScanArgs(t, "centre", &centre)
	switch data.Cmd {
	case "fleet":
		options := estimator.FleetOptions{Centres: 3, Searchers: 20, Seed: 1}
		data.ScanArgs(t, "hosts", &options.Hosts)
		data.MaybeScanArgs(t, "seed", &options.Seed)
		data.MaybeScanArgs(t, "searchers", &options.Searchers)
		if data.HasArg("lossy") {
			options.Loss = 0.01
		}
		run.fleet = estimator.NewFleet(options)
	case "run":
		run.fleet.Run(span)
	case "publish":
		run.publish(t, data, span)
	case "restart-all":
		run.restartAll(span)
	case "fault":
		run.fault(t, data, centre, on, span)
	case "check":
		return run.check(t, data)
	default:
		t.Fatalf("unknown command %s", data.Cmd)
	}
	return ""
}

func (run *script) publish(t *testing.T, data *datadriven.TestData, interval time.Duration) {
	t.Helper()
	var count int
	data.ScanArgs(t, "count", &count)
	for i := range count {
		run.fleet.Publish(1 + i%3)
		run.fleet.Run(interval)
	}
}

func (run *script) restartAll(interval time.Duration) {
	for _, host := range run.fleet.Hosts() {
		run.fleet.Restart(host.Name)
		run.fleet.Run(interval)
	}
}

func (run *script) fault(t *testing.T, data *datadriven.TestData, centre string, on bool, span time.Duration) {
	t.Helper()
	switch kind := data.CmdArgs[0].Key; kind {
	case "kill-reader":
		reader, err := run.fleet.Reader(centre)
		assert.NilError(t, err)
		run.reader = reader
		run.fleet.Kill(reader)
	case "restart":
		run.fleet.Restart(run.reader)
	case "pause-reader":
		reader, err := run.fleet.Reader(centre)
		assert.NilError(t, err)
		run.fleet.Pause(reader, span)
	case "cut-platform":
		run.fleet.CutPlatform(centre, on)
	case "platform-down":
		run.fleet.SetPlatformDown(on)
	case "stale":
		run.fleet.Freeze(on)
	case "save-values":
		run.savedValues = run.fleet.Values()
	case "roll-back":
		run.fleet.RollBack(run.savedValues)
	case "heal":
		run.fleet.Block(nil)
	case "searcher-leaving":
		run.fleet.ObserveLeaving(run.fleet.Hosts()[0].Name, "searcher-00003")
	default:
		run.fleet.Block(blocker(t, kind, centre))
	}
}

// blocker returns a filter of the links that a kind of partition cuts.
func blocker(t *testing.T, kind, centre string) func(from, to carobthread.Host) bool {
	t.Helper()
	half := func(host carobthread.Host) bool { return host.PeerAddress[len(host.PeerAddress)-6]%2 == 0 }
	switch kind {
	case "cut-half":
		return func(from, to carobthread.Host) bool { return half(from) != half(to) }
	case "cut-centre":
		return func(from, to carobthread.Host) bool { return (from.DataCentre == centre) != (to.DataCentre == centre) }
	case "cut-from-centre":
		return func(from, to carobthread.Host) bool { return from.DataCentre == centre && to.DataCentre != centre }
	}
	t.Fatalf("unknown fault %s", kind)
	return nil
}

// check prints yes for each check that passes, and the measured values of one that fails.
func (run *script) check(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var out strings.Builder
	for _, argument := range data.CmdArgs {
		verdict := "yes"
		switch argument.Key {
		case "tickets":
			if delays := run.fleet.Propagation(); delays.Samples == 0 || delays.Missed > 0 || delays.Max > propagationLimit {
				verdict = fmt.Sprintf("%+v", delays)
			}
			run.fleet.DiscardTickets()
		case "leaving":
			if delays := run.fleet.LeavingPropagation(); delays.Samples == 0 || delays.Missed > 0 || delays.Max > leavingLimit {
				verdict = fmt.Sprintf("%+v", delays)
			}
		case "recovered":
			if span := run.fleet.Recovery(run.reader); span < 0 || span > propagationLimit {
				verdict = span.String()
			}
		case "ready":
			if hosts := run.fleet.NotReady(); len(hosts) > 0 {
				verdict = fmt.Sprint(hosts)
			}
		case "converged":
			if hosts := run.fleet.Diverged(); len(hosts) > 0 {
				verdict = fmt.Sprint(hosts)
			}
		case "views":
			if hosts := run.fleet.WrongMembershipViews(); len(hosts) > 0 {
				verdict = fmt.Sprint(hosts)
			}
		case "invariants":
			if broken := run.fleet.Violations(); len(broken) > 0 {
				verdict = strings.Join(broken[:min(len(broken), 5)], "\n")
			}
		}
		fmt.Fprintf(&out, "%s: %s\n", argument.Key, verdict)
	}
	return out.String()
}

func duration(t *testing.T, data *datadriven.TestData, key string) time.Duration {
	t.Helper()
	var text string
	data.ScanArgs(t, key, &text)
	span, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return span
}
