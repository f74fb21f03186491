// Package applier maintains the active configuration: versioned objects that change by whole tickets only.
//
// Applier is a state machine. Encoded values of objects arrive in any order,
// any number of times and from any source. The applier stages them by ticket
// and applies each ticket atomically. It keeps these invariants:
//
//   - the ticket number of an active object never decreases, and its content
//     never changes while its number stays the same;
//   - when an object of ticket T is active, every object that T lists is
//     active with T's number or a higher one;
//   - every reference of an active object names an active object;
//   - two hosts that receive the same values reach the same state, whatever
//     the order and the repetitions, as long as no two values of one object
//     and number differ.
//
// A newer ticket may replace some objects of an older one, and the platform
// keeps only the newest value of each object. A host that starts late
// therefore never receives all objects of the older ticket. Tickets T1..Tn are
// applied together when, for each of them, every listed object is active with
// at least its number or is staged by one of T1..Tn with at least its number.
// A snapshot of the newest values of all objects always satisfies this. While
// some of the newest values are missing, the tickets that list those objects
// stay staged. These include older tickets whose own values of those objects
// have been replaced on the platform.
package applier
