package applier

import "carobthread"

// Number returns the ticket number of an object in force, or 0.
func (applier *Applier) Number(id carobthread.ObjectID) uint64 { return applier.number(id) }

// Len returns the number of objects in force.
func (applier *Applier) Len() int { return len(applier.held) }

// Highest returns the highest ticket number in force, or 0.
func (applier *Applier) Highest() uint64 { return applier.highest }
