package limiter

// Share is this host's part of an upstream's connection limit.
//
// The share falls at once when a host joins, since the upstream refuses
// connections above its limit. It rises by a quarter of the gap at a time when
// hosts disappear, since a host that is only unreachable still holds its own.
type Share struct {
	current int
}

// Next moves the share one step towards limit/hosts, at least one, and reports whether it changed.
func (share *Share) Next(limit, hosts int) (count int, changed bool) {
	target := max(1, limit/max(1, hosts))
	before := share.current
	switch {
	case before == 0 || target < before:
		share.current = target
	case target > before:
		share.current = before + (target-before+3)/4
	}
	return share.current, share.current != before
}

// Current returns the share in force, or 0 before the first Next.
func (share *Share) Current() int { return share.current }
