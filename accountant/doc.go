// Package accountant counts the bytes that a host holds for callers and searchers, and cuts their transfers.
//
// Accountant is the shell of limiter.Memory, which decides: it supplies the
// time, calls the cut function of a transfer that must end, and logs when usage
// exceeds a mark or falls below it. All methods accept a nil receiver, which
// counts nothing and limits nothing.
package accountant
