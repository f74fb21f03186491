// Package parser reads the daemon's settings and the operators' change tickets and writes the published form of tickets.
//
// Files are INI: section headers in brackets, one "key = value" a line with
// kebab-case keys, and comments on lines of their own that start with # or ;.
// There are no quotes, continuation lines, inline comments or references to
// other keys. Durations carry a unit (80ms, 1m30s), sizes are whole numbers
// with B, KB or MB (powers of 1024), shares are 0.9 or 90%.
//
// Each function checks the whole file and returns all findings at once, as
// file:line:column: message; a result with findings must not be used.
package parser
