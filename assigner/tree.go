package assigner

// The relay tree of a root spans its data centre. Two bits of a hash divide the
// hosts other than the root into FanOut groups. The host with the greatest
// weight leads each group and is a child of the root; the rest of each group is
// divided in the same way by the next two bits. A host's group does not depend
// on other hosts, so when a host leaves, only the leaders on one path change.

const (
	digitBits = 2 // selects one of FanOut groups
	maxDepth  = 64 / digitBits
)

// Children returns the hosts to which the given host forwards a message in the relay tree of the root.
func (assigner *Assigner) Children(centre, root, host string) []string {
	match := assigner.centre(centre)
	if match == nil {
		return nil
	}
	key := roleKey("tree", root)
	group := without(match.members, root)
	if host == root {
		return leaders(group, key, 0)
	}
	index := indexOf(group, host)
	for depth := 0; index >= 0 && depth < maxDepth; depth++ {
		group = withDigit(group, key, depth, digit(key, group[index], depth))
		leader := heaviest(group, key, 1)[0]
		group = without(group, leader)
		if leader == host {
			return leaders(group, key, depth+1)
		}
		index = indexOf(group, host)
	}
	return nil
}

func leaders(group []member, key uint64, depth int) []string {
	var names []string
	if depth >= maxDepth {
		return names
	}
	for value := range uint64(FanOut) {
		names = append(names, heaviest(withDigit(group, key, depth, value), key, 1)...)
	}
	return names
}

// digit returns the group of a member at a depth. It uses another hash than the weight, so that the two are independent.
func digit(key uint64, entry member, depth int) uint64 {
	return weight(^key, entry.hash) >> (digitBits * depth) % FanOut
}

func withDigit(group []member, key uint64, depth int, value uint64) []member {
	var matching []member
	for _, entry := range group {
		if digit(key, entry, depth) == value {
			matching = append(matching, entry)
		}
	}
	return matching
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

func indexOf(group []member, name string) int {
	for i := range group {
		if group[i].name == name {
			return i
		}
	}
	return -1
}
