package applier

import (
	"slices"

	"carobthread"
)

// listTable holds the object list of each ticket that has an active or staged
// object. The stored objects of a ticket share its list; a value with another
// list for the same ticket number is a conflict.
type listTable struct {
	lists map[uint64]*ticketList
}

type ticketList struct {
	ids []carobthread.ObjectID
	// users counts the stored objects that share the list.
	users int
}

func newListTable() *listTable { return &listTable{lists: map[uint64]*ticketList{}} }

// matches reports whether the list equals the ticket's known list or the ticket has none yet.
func (table *listTable) matches(number uint64, ids []carobthread.ObjectID) bool {
	known := table.lists[number]
	return known == nil || slices.Equal(known.ids, ids)
}

// retain adds a reference to the ticket's list and returns the shared list.
func (table *listTable) retain(number uint64, ids []carobthread.ObjectID) []carobthread.ObjectID {
	known := table.lists[number]
	if known == nil {
		known = &ticketList{ids: ids}
		table.lists[number] = known
	}
	known.users++
	return known.ids
}

func (table *listTable) release(number uint64) {
	known := table.lists[number]
	known.users--
	if known.users == 0 {
		delete(table.lists, number)
	}
}
