package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start, to a file.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// printf writes one line.
func (record *recorder) printf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%9.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (record *recorder) close() { _ = record.file.Close() }
