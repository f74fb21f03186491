package standin

import (
	"maps"
	"slices"

	"carobthread"
	"carobthread/parser"
)

// SetHost puts a host on the platform's list once the lag has passed.
func (platform *Platform) SetHost(host carobthread.Host) {
	platform.changeHosts(func(hosts map[string]carobthread.Host) { hosts[host.Name] = host })
}

// DropHost takes a host off the platform's list once the lag has passed.
func (platform *Platform) DropHost(name string) {
	platform.changeHosts(func(hosts map[string]carobthread.Host) { delete(hosts, name) })
}

func (platform *Platform) changeHosts(apply func(hosts map[string]carobthread.Host)) {
	if platform.options.HostLag == 0 {
		platform.storeHosts(apply)
		return
	}
	passed, cancel := after(platform.options.Timer, platform.options.HostLag, func() { platform.storeHosts(apply) })
	go func() {
		<-passed
		cancel()
	}()
}

func (platform *Platform) storeHosts(apply func(hosts map[string]carobthread.Host)) {
	platform.mutex.Lock()
	apply(platform.hosts)
	hosts := make([]carobthread.Host, 0, len(platform.hosts))
	for _, name := range slices.Sorted(maps.Keys(platform.hosts)) {
		hosts = append(hosts, platform.hosts[name])
	}
	platform.mutex.Unlock()
	// A list that exceeds the size of a value is not stored, and readers keep the one before.
	_, _ = platform.Put(parser.HostsKey, parser.EncodeHosts(hosts))
}
