// Package recorder records the decisions of the query path's core in trace files and replays them.
//
// A trace file is JSON lines. The first line is the header with the format
// version, the seed and the options of the core. Each event has one line, and
// the actions that it called for follow on the next line; an event without
// actions has no such line. Since the core reads nothing but its events, a
// replay of the same build gives the same actions, and a difference shows
// what a change of the core decides in another way.
package recorder
