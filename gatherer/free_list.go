package gatherer

// freeList holds rows that are used again, since a row of each query and attempt would otherwise be garbage.
type freeList[Row any] struct{ rows []*Row }

// take returns a row that was given, with the content it had then, or a new one.
func (list *freeList[Row]) take() *Row {
	last := len(list.rows) - 1
	if last < 0 {
		return new(Row)
	}
	row := list.rows[last]
	list.rows = list.rows[:last]
	return row
}

// give keeps a row that nothing refers to any more.
func (list *freeList[Row]) give(row *Row) { list.rows = append(list.rows, row) }
