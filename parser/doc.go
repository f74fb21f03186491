// Package parser parses the daemon's settings and the operators' change tickets and encodes published tickets.
//
// Files use INI syntax: section headers in brackets, one "key = value" pair per
// line with kebab-case keys, and comments on lines of their own that start with
// # or ;. Quotes, continuation lines, inline comments and references to other
// keys are not supported. Durations have a unit (80ms, 1m30s), sizes are whole
// numbers with B, KB or MB (powers of 1024), and shares are written as 0.9 or 90%.
//
// Each function checks the whole file and returns all findings at once, each
// formatted as file:line:column: message. A result with findings must not be used.
package parser
