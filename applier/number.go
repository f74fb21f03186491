package applier

import "carobthread"

// TicketNumber returns the ticket number of an active object, or 0.
func (applier *Applier) TicketNumber(id carobthread.ObjectID) uint64 { return applier.activeNumber(id) }

// Len returns the number of active objects.
func (applier *Applier) Len() int { return len(applier.active) }

// Highest returns the highest active ticket number, or 0.
func (applier *Applier) Highest() uint64 { return applier.highest }
