package limiter

// ConnectionShare is the number of connections that this host may open to an upstream, its part of the upstream's connection
// limit.
//
// The share drops at once when a host joins, since the upstream refuses
// connections above its limit. When hosts disappear it rises by only a quarter
// of the difference at a time, since a host that is merely unreachable still
// holds its connections.
type ConnectionShare struct {
	current int
}

// Update moves the share one step towards limit/hosts, but at least 1, and reports whether it changed.
func (share *ConnectionShare) Update(limit, hosts int) (count int, changed bool) {
	target := max(1, limit/max(1, hosts))
	previous := share.current
	switch {
	case previous == 0 || target < previous:
		share.current = target
	case target > previous:
		share.current = previous + (target-previous+3)/4
	}
	return share.current, share.current != previous
}

// Current returns the current share, or 0 before the first call of Update.
func (share *ConnectionShare) Current() int { return share.current }
