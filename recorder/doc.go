// Package recorder records the events and actions of the query path's state machine in trace files and replays them.
//
// A trace file consists of JSON lines. The first line is the header with the
// format version, the seed and the options of the state machine. Each event has
// its own line, followed by a line with the actions that it caused, or by none
// if it caused no actions. Since the state machine depends only on its events,
// a replay with the same build gives the same actions. Each difference that a
// replay reports is a decision that a change of the code has altered.
package recorder
