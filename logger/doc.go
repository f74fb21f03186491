// Package logger writes log lines without blocking the code that logs, and limits the rate of each kind of line.
package logger
