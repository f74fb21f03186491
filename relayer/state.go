package relayer

import "carobthread"

// Entry is an active object's id and ticket number.
type Entry struct {
	ID     carobthread.ObjectID `json:"id"`
	Number uint64               `json:"number"`
}

// State is the configuration in force on this host; encoded objects are opaque to the relayer.
type State interface {
	// Missing returns the objects that the platform's index names with a higher number than the state has taken.
	Missing(index []byte) ([]carobthread.ObjectID, error)
	// Offer takes encoded objects and returns what became active, in order; findings name refused objects.
	Offer(objects [][]byte) (activated []Entry, findings error)
	// Object returns an active object as encoded.
	Object(id carobthread.ObjectID) ([]byte, bool)
	// Sums returns a hash of the active ids and numbers of each bucket; the number of buckets never changes.
	Sums() []uint64
	// Bucket returns the active entries of a bucket ordered by id.
	Bucket(index int) []Entry
	// Highest returns the highest active ticket number, or 0.
	Highest() uint64
	// Len returns the number of active objects.
	Len() int
}
