// Package executor implements requests that may not be repeated: it mints idempotency keys, runs each key at most once and
// keeps the outcomes.
//
// Executor is a deterministic state machine that holds the used keys, the
// attempts, the pending forwards and the searchers. Each key belongs to the
// incarnation of the process that minted it, and no other process may run it.
// These invariants hold at all times:
//
//   - a key is in the table of used keys before the first byte of its request may be written;
//   - after the first byte, a request goes to another upstream only if the first one states "not run" explicitly;
//   - only the minting incarnation answers "not run", and that answer is final: the key is revoked;
//   - a settled outcome never changes, except from unknown to done by the attempt whose outcome was unknown;
//   - an outcome belongs to the key that it names.
//
// A caller that gets "not run" reserves a new key. A refusal therefore costs a
// second reservation, but a delayed copy of the refused call can never run.
//
// An outcome query revokes a key that was never used, so a caller whose Execute
// call was lost learns at once that it is safe to use a new key. An Execute call
// that arrives later is refused as not run.
//
// Keys expire by the highest time that the minting incarnation has seen, so
// neither the clocks of other hosts nor a clock that steps back can make a key
// valid again. The table drops a key when it expires. An expired key that is no
// longer in the table is "not run" only if its sequence number is above that of
// every dropped key that ran or may have run, and unknown otherwise.
package executor
