package gatherer

import "math/bits"

// wordBits is the number of indexes in a word of a replicaSet.
const wordBits = 64

// replicaSet is a set of the replicas of one shard, by their indexes in the layout. A shard may have any number of replicas.
type replicaSet struct {
	// low has a bit for each index below wordBits. Most shards have no other, so that their sets need no allocation.
	low uint64
	// high has the bits of the indexes from wordBits on; it is as long as the greatest index that was added needs.
	high []uint64
}

// has reports whether the replica at the index is in the set.
func (set *replicaSet) has(index int) bool {
	if index < wordBits {
		return set.low&(1<<index) != 0
	}
	word := index/wordBits - 1
	return word < len(set.high) && set.high[word]&(1<<(index%wordBits)) != 0
}

// add adds the replica at the index.
func (set *replicaSet) add(index int) {
	if index < wordBits {
		set.low |= 1 << index
		return
	}
	word := index/wordBits - 1
	for word >= len(set.high) {
		set.high = append(set.high, 0)
	}
	set.high[word] |= 1 << (index % wordBits)
}

// remove removes the replica at the index, which may be missing from the set.
func (set *replicaSet) remove(index int) {
	if index < wordBits {
		set.low &^= 1 << index
		return
	}
	if word := index/wordBits - 1; word < len(set.high) {
		set.high[word] &^= 1 << (index % wordBits)
	}
}

// count returns the number of replicas in the set.
func (set *replicaSet) count() int {
	count := bits.OnesCount64(set.low)
	for _, word := range set.high {
		count += bits.OnesCount64(word)
	}
	return count
}

// clear removes all replicas.
func (set *replicaSet) clear() { *set = replicaSet{} }
