// Package applier is the core of the active configuration: objects with ticket numbers, changed by whole tickets only.
//
// Applier is a state machine. Values of objects come in encoded, in any order,
// any number of times and from any source; it stages them by ticket and
// applies tickets all or nothing. These always hold:
//
//   - the number of an object in force never falls, and its content never
//     changes while its number stays;
//   - when an object of ticket T is in force, every object of T's list is in
//     force with T's number or a higher one;
//   - every reference of an object in force names an object in force;
//   - the state that two hosts reach from the same values is the same, whatever
//     the order and the repeats, as long as no two values of one object and
//     number differ.
//
// A newer ticket may replace some objects of an older one, and the platform
// keeps only the newest value of each object. A host that starts late
// therefore never sees the older ticket whole. Tickets T1..Tn take effect
// together when, for each of them, every listed object is in force with at
// least its number or is staged by one of T1..Tn with at least its number. A
// snapshot of the newest values of every object always satisfies this. When
// some newest values have not arrived, the tickets that list those objects
// wait, and the tickets that an older value would be needed for wait with them.
package applier
