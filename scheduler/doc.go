// Package scheduler decides which waiting attempt gets a free slot, and when a refused caller is to come back.
//
// Its functions see the attempts that compete for a slot as plain entries and
// have neither clock nor lock: the query core builds the entries, asks for the
// next one and reports what it has sent. Equal calls give equal results, so
// that replaying a recorded trace gives the same decisions.
package scheduler
