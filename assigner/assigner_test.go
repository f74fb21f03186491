package assigner_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/assigner"
)

const (
	hosts      = 200
	centres    = 3
	searchers  = 5000
	subsetSize = 5
)

// view returns the view of count live hosts, spread over the data centres, without the leaving host.
func view(count int, leaving string) carobthread.View {
	var view carobthread.View
	for i := range count {
		host := carobthread.Host{Name: fmt.Sprintf("h%03d", i), DataCentre: fmt.Sprintf("dc%d", i%centres), State: carobthread.HostLive}
		if host.Name != leaving {
			view.Hosts = append(view.Hosts, host)
		}
	}
	return view
}

// removed returns the names in before that are missing from after.
func removed(before, after []string) []string {
	return slices.DeleteFunc(slices.Clone(before), func(name string) bool { return slices.Contains(after, name) })
}

// Guards against roles that move between the remaining hosts when one host leaves: only the roles of that host may move,
// which is 1/n of the connections within five standard deviations of a binomial distribution.
func TestLeavingHostMovesOnlyItsRoles(t *testing.T) {
	full := assigner.New(view(hosts, ""))
	share := float64(searchers*subsetSize) / hosts
	spread := 5 * math.Sqrt(share*(1-1.0/hosts))
	for i := 0; i < hosts; i += 20 {
		leaving := fmt.Sprintf("h%03d", i)
		reduced := assigner.New(view(hosts, leaving))
		moved := 0
		for searcher := range searchers {
			name := fmt.Sprintf("s%d", searcher)
			host := fmt.Sprintf("h%03d", searcher%hosts)
			assert.Assert(t, full.IsHolder(host, name, subsetSize) == slices.Contains(full.Holders(name, subsetSize), host), "%s of %s", host, name)
			lost := removed(full.Holders(name, subsetSize), reduced.Holders(name, subsetSize))
			assert.Assert(t, len(lost) == 0 || slices.Equal(lost, []string{leaving}), "%s: %v", name, lost)
			moved += len(lost)
		}
		assert.Assert(t, math.Abs(float64(moved)-share) <= spread, "%s held %d connections, want about %.0f", leaving, moved, share)
		for centre := range centres {
			name := fmt.Sprintf("dc%d", centre)
			lost := removed(full.Readers(name), reduced.Readers(name))
			assert.Assert(t, len(lost) == 0 || slices.Equal(lost, []string{leaving}), "%s: %v", name, lost)
		}
	}
	assert.Equal(t, len(full.Holders("s1", assigner.AllHosts)), hosts)
	assert.Equal(t, len(full.RemoteReaders("dc1")), centres-1)
	assert.Equal(t, full.RemoteReaders("dc1")[0].Name, "dc2")
}

// parents walks the relay tree and returns the parent of each host reached and the depth of the tree.
func parents(t *testing.T, roles *assigner.Assigner, centre, root string) (map[string]string, int) {
	t.Helper()
	parentOf := map[string]string{root: ""}
	depth := 0
	for level := []string{root}; len(level) > 0; depth++ {
		var next []string
		for _, host := range level {
			children := roles.Children(centre, root, host)
			assert.Assert(t, len(children) <= assigner.FanOut)
			for _, child := range children {
				_, reached := parentOf[child]
				assert.Assert(t, !reached, "%s has two parents", child)
				parentOf[child] = host
			}
			next = append(next, children...)
		}
		level = next
	}
	return parentOf, depth
}

// Guards against a relay tree that misses hosts or reaches one twice, and against a leaving host that changes the parents
// of more hosts than the children of the leaders on one path.
func TestTreeReachesAllHostsAndChangesFewParents(t *testing.T) {
	for _, count := range []int{1, 4, 50, hosts, 6900} {
		roles := assigner.New(view(count, ""))
		parentOf, depth := parents(t, roles, "dc0", "h000")
		assert.Equal(t, len(parentOf), (count+centres-1)/centres)
		// Random division into four groups makes the tree at most a few levels deeper than a full tree.
		assert.Assert(t, depth <= int(math.Log(float64(count))/math.Log(assigner.FanOut))+5, "%d hosts: depth %d", count, depth)
	}
	before, depth := parents(t, assigner.New(view(hosts, "")), "dc0", "h000")
	for leaving := range before {
		after, _ := parents(t, assigner.New(view(hosts, leaving)), "dc0", "h000")
		if leaving == "h000" {
			continue
		}
		assert.Equal(t, len(after), len(before)-1)
		moved := 0
		for host, parent := range after {
			if before[host] != parent {
				moved++
			}
		}
		assert.Assert(t, moved <= assigner.FanOut*depth+1, "removing %s changed the parents of %d of %d hosts", leaving, moved, len(before))
	}
}

// There are more hosts than connections that a searcher accepts; it resets those above its limit. Guards against more
// hosts that use a searcher than it accepts, against hosts that use no searcher, and against hosts left out although the
// searcher accepts connections from all.
func TestHostsPerSearcherFitConnectionLimit(t *testing.T) {
	const searchers = 1000
	for _, size := range []struct{ hosts, connections int }{{300, 68}, {100, 68}, {1000, 30}, {69, 68}} {
		overLimit, perHost := 0, make([]int, size.hosts)
		for searcher := range searchers {
			holders := 0
			for host := range size.hosts {
				if assigner.InSubset(fmt.Sprintf("host-%d", host), fmt.Sprintf("searcher-%d", searcher), size.connections, size.hosts) {
					holders++
					perHost[host]++
				}
			}
			if holders > size.connections {
				overLimit++
			}
		}
		assert.Check(t, overLimit <= searchers/50, "%+v: %d searchers are used by more hosts than they accept connections from", size, overLimit)
		assert.Check(t, slices.Min(perHost) > 0, "%+v: a host uses no searcher", size)
	}
	for host := range 68 {
		assert.Check(t, assigner.InSubset(fmt.Sprintf("host-%d", host), "searcher", 68, 68))
		assert.Check(t, assigner.InSubset(fmt.Sprintf("host-%d", host), "searcher", 0, 6900), "searcher without a connection limit")
	}
}
