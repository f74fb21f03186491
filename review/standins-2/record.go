package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that states what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	output  *os.File
	started time.Time
}

// write adds a line with the time since the start; it is printed as well.
func (record *record) write(format string, arguments ...any) {
	fmt.Print(record.detail(format, arguments...))
}

// detail adds a line with the time since the start and returns it.
func (record *record) detail(format string, arguments ...any) string {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = record.output.WriteString(line)
	return line
}
