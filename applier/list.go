package applier

import (
	"slices"

	"carobthread"
)

// listTable holds the object list of each ticket that a row in force or
// staged belongs to. Rows of one ticket share the list, and a value that
// states another list for the same number is a conflict.
type listTable struct {
	lists map[uint64]*ticketList
}

type ticketList struct {
	ids []carobthread.ObjectID
	// users counts the rows that refer to the list.
	users int
}

func newListTable() *listTable { return &listTable{lists: map[uint64]*ticketList{}} }

// matches reports whether the list is the known one or the first one of its ticket.
func (table *listTable) matches(number uint64, ids []carobthread.ObjectID) bool {
	known := table.lists[number]
	return known == nil || slices.Equal(known.ids, ids)
}

// retain counts one more row and returns the shared list.
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
