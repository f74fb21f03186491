// Package logger writes log lines without holding up what logs, within a bound for each kind of line.
package logger
