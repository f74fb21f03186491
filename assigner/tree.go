package assigner

// The relay tree of a root spans its data centre. Below the root, the hosts
// fall into FanOut groups by two bits of a hash, the host of the greatest
// weight leads each group as a child of the root, and the rest of each group
// is divided in the same way by the next two bits. A host's group does not
// depend on other hosts, so when one goes only the leaders on one path change.

const (
	digitBits = 2 // selects one of FanOut groups
	maxDepth  = 64 / digitBits
)

// Children returns the hosts that the given host passes a message on to in the relay tree of the root.
func (assigner *Assigner) Children(centre, root, host string) []string {
	found := assigner.centre(centre)
	if found == nil {
		return nil
	}
	key := roleKey("tree", root)
	group := without(found.members, root)
	if host == root {
		return leaders(group, key, 0)
	}
	target := position(group, host)
	for depth := 0; target >= 0 && depth < maxDepth; depth++ {
		group = sameDigit(group, key, depth, digit(key, group[target], depth))
		leader := top(group, key, 1)[0]
		group = without(group, leader)
		if leader == host {
			return leaders(group, key, depth+1)
		}
		target = position(group, host)
	}
	return nil
}

func leaders(group []member, key uint64, depth int) []string {
	var names []string
	if depth >= maxDepth {
		return names
	}
	for value := range uint64(FanOut) {
		names = append(names, top(sameDigit(group, key, depth, value), key, 1)...)
	}
	return names
}

// digit uses another hash than the weight, so that a leader's weight says nothing of its group.
func digit(key uint64, entry member, depth int) uint64 {
	return weight(^key, entry.hash) >> (digitBits * depth) % FanOut
}

func sameDigit(group []member, key uint64, depth int, value uint64) []member {
	var same []member
	for _, entry := range group {
		if digit(key, entry, depth) == value {
			same = append(same, entry)
		}
	}
	return same
}

func without(group []member, name string) []member {
	rest := make([]member, 0, len(group))
	for _, entry := range group {
		if entry.name != name {
			rest = append(rest, entry)
		}
	}
	return rest
}

func position(group []member, name string) int {
	for i := range group {
		if group[i].name == name {
			return i
		}
	}
	return -1
}
