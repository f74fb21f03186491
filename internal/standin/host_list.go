package standin

import (
	"maps"
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
)

// hostListUpdatesPerLag is how many times the host list is updated within its lag.
const hostListUpdatesPerLag = 10

// hostChange is a change of the host list that takes effect when it is due.
type hostChange struct {
	due   carobthread.Instant
	apply func(hosts map[string]carobthread.Host)
}

// SetHost adds or replaces a host on the host list once the lag has passed.
func (platform *Platform) SetHost(host carobthread.Host) {
	platform.changeHosts(func(hosts map[string]carobthread.Host) { hosts[host.Name] = host })
}

// RemoveHost removes a host from the host list once the lag has passed.
func (platform *Platform) RemoveHost(name string) {
	platform.changeHosts(func(hosts map[string]carobthread.Host) { delete(hosts, name) })
}

// changeHosts queues a change of the host list; without a lag it applies at once.
func (platform *Platform) changeHosts(apply func(hosts map[string]carobthread.Host)) {
	platform.mutex.Lock()
	now := platform.options.Timer.Now()
	change := hostChange{due: now.Add(platform.options.HostListLag), apply: apply}
	platform.pendingHostChanges = append(platform.pendingHostChanges, change)
	platform.mutex.Unlock()
	platform.updateHostList(now, 0)
}

// updateHostList applies the changes that are due, and stores the list if there were any.
func (platform *Platform) updateHostList(now carobthread.Instant, _ time.Duration) {
	platform.mutex.Lock()
	due := 0
	for due < len(platform.pendingHostChanges) && platform.pendingHostChanges[due].due <= now {
		platform.pendingHostChanges[due].apply(platform.hosts)
		due++
	}
	platform.pendingHostChanges = platform.pendingHostChanges[due:]
	hosts := make([]carobthread.Host, 0, len(platform.hosts))
	for _, name := range slices.Sorted(maps.Keys(platform.hosts)) {
		hosts = append(hosts, platform.hosts[name])
	}
	platform.mutex.Unlock()
	if due > 0 {
		// A list that exceeds the maximum size of a value is not stored, and readers keep the previous list.
		_, _ = platform.Put(parser.HostsKey, parser.EncodeHosts(hosts))
	}
}
