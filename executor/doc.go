// Package executor is the core of requests that may not be repeated: it mints keys, runs each key at most once and keeps the outcomes.
//
// Executor is a state machine over tables of used keys, attempts, pending
// forwards and searchers. A key names the only process that may run it. These
// always hold:
//
//   - a key is in the table of used keys before the first byte of its request may be written;
//   - after the first byte, only the upstream's explicit statement "not run" permits another upstream;
//   - only the minting incarnation answers "not run", and that answer is final: the key is revoked;
//   - a settled outcome never changes, except from unknown to done by the attempt that was unknown;
//   - an outcome belongs to the key that it names.
//
// A caller that is told "not run" reserves a new key. A refusal therefore costs
// a second reservation, but a delayed copy of the refused call can never run.
//
// Outcome revokes a key that was never used. A caller whose Execute was lost
// thereby learns at once that a new key is safe; an Execute still under way is
// refused as not run.
//
// Expiry follows the highest time that the minting incarnation has seen, so
// neither other hosts' clocks nor a clock that steps back revive a key. The
// table forgets a key at its expiry. An expired key that is no longer in the
// table is "not run" only if its sequence number is above that of every
// forgotten key that ran or may have run, and unknown otherwise.
package executor
