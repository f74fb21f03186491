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

// bound is the requirement that an accepted configuration is active everywhere within 4 s, and
// markBound the one that a leaving upstream gets no new work after 3 s.
const (
	bound     = 4 * time.Second
	markBound = 3 * time.Second
)

// script drives one fleet.
type script struct {
	fleet      *estimator.Fleet
	remembered map[string]carobthread.Value
	victim     string
}

// Guards against tickets that are late, lost, half applied or taken back, and against views that stay wrong, under faults.
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
		settings := estimator.Settings{Centres: 3, Searchers: 20, Seed: 1}
		data.ScanArgs(t, "hosts", &settings.Hosts)
		data.MaybeScanArgs(t, "seed", &settings.Seed)
		data.MaybeScanArgs(t, "searchers", &settings.Searchers)
		if data.HasArg("lossy") {
			settings.Loss = 0.01
		}
		run.fleet = estimator.NewFleet(settings)
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

func (run *script) publish(t *testing.T, data *datadriven.TestData, every time.Duration) {
	t.Helper()
	var count int
	data.ScanArgs(t, "count", &count)
	for i := range count {
		run.fleet.Publish(1 + i%3)
		run.fleet.Run(every)
	}
}

func (run *script) restartAll(every time.Duration) {
	for _, host := range run.fleet.Hosts() {
		run.fleet.Restart(host.Name)
		run.fleet.Run(every)
	}
}

func (run *script) fault(t *testing.T, data *datadriven.TestData, centre string, on bool, span time.Duration) {
	t.Helper()
	switch kind := data.CmdArgs[0].Key; kind {
	case "kill-reader":
		victim, err := run.fleet.Reader(centre)
		assert.NilError(t, err)
		run.victim = victim
		run.fleet.Kill(victim)
	case "restart":
		run.fleet.Restart(run.victim)
	case "pause-reader":
		victim, err := run.fleet.Reader(centre)
		assert.NilError(t, err)
		run.fleet.Pause(victim, span)
	case "cut-platform":
		run.fleet.CutPlatform(centre, on)
	case "platform-down":
		run.fleet.PlatformDown(on)
	case "stale":
		run.fleet.Freeze(on)
	case "remember":
		run.remembered = run.fleet.Remember()
	case "roll-back":
		run.fleet.RollBack(run.remembered)
	case "heal":
		run.fleet.Block(nil)
	case "searcher-leaving":
		run.fleet.SeeLeaving(run.fleet.Hosts()[0].Name, "searcher-00003")
	default:
		run.fleet.Block(blocker(t, kind, centre))
	}
}

// blocker returns the cut links of a kind of partition.
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

// check prints verdicts against the bounds, and figures only where one is broken.
func (run *script) check(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var out strings.Builder
	for _, argument := range data.CmdArgs {
		verdict := "yes"
		switch argument.Key {
		case "tickets":
			if spread := run.fleet.Propagation(); spread.Samples == 0 || spread.Missed > 0 || spread.Max > bound {
				verdict = fmt.Sprintf("%+v", spread)
			}
			run.fleet.ForgetTickets()
		case "marks":
			if spread := run.fleet.LeavingSpread(); spread.Samples == 0 || spread.Missed > 0 || spread.Max > markBound {
				verdict = fmt.Sprintf("%+v", spread)
			}
		case "recovered":
			if span := run.fleet.Recovery(run.victim); span < 0 || span > bound {
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
			if hosts := run.fleet.WrongViews(); len(hosts) > 0 {
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
