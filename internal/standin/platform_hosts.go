package standin

import (
	"maps"
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
)

// lagSteps is how many times the list of hosts is brought up to date within its lag.
const lagSteps = 10

// hostChange is a change of the list that takes effect when it is due.
type hostChange struct {
	due   carobthread.Instant
	apply func(hosts map[string]carobthread.Host)
}

// SetHost puts a host on the platform's list once the lag has passed.
func (platform *Platform) SetHost(host carobthread.Host) {
	platform.changeHosts(func(hosts map[string]carobthread.Host) { hosts[host.Name] = host })
}

// DropHost takes a host off the platform's list once the lag has passed.
func (platform *Platform) DropHost(name string) {
	platform.changeHosts(func(hosts map[string]carobthread.Host) { delete(hosts, name) })
}

func (platform *Platform) changeHosts(apply func(hosts map[string]carobthread.Host)) {
	platform.mutex.Lock()
	now := platform.options.Timer.Now()
	change := hostChange{due: now.Add(platform.options.HostLag), apply: apply}
	platform.lagging = append(platform.lagging, change)
	platform.mutex.Unlock()
	platform.listHosts(now, 0)
}

// listHosts applies the changes that are due and stores the list if there were any.
func (platform *Platform) listHosts(now carobthread.Instant, _ time.Duration) {
	platform.mutex.Lock()
	due := 0
	for due < len(platform.lagging) && platform.lagging[due].due <= now {
		platform.lagging[due].apply(platform.hosts)
		due++
	}
	platform.lagging = platform.lagging[due:]
	hosts := make([]carobthread.Host, 0, len(platform.hosts))
	for _, name := range slices.Sorted(maps.Keys(platform.hosts)) {
		hosts = append(hosts, platform.hosts[name])
	}
	platform.mutex.Unlock()
	if due > 0 {
		// A list that exceeds the size of a value is not stored, and readers keep the one before.
		_, _ = platform.Put(parser.HostsKey, parser.EncodeHosts(hosts))
	}
}
