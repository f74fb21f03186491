package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines bounds the lines that wait for a slow output.
const queuedLines = 2048

// Writer passes lines to an output from a goroutine of its own; a line that finds the queue full is dropped and counted.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	failed  atomic.Uint64
	end     sync.Once
	ending  chan struct{}
	done    chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// NewWriter returns a writer to the output.
func NewWriter(output io.Writer) *Writer {
	writer := &Writer{
		output: output, lines: make(chan []byte, queuedLines), ending: make(chan struct{}), done: make(chan struct{}),
	}
	go writer.run()
	return writer
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case line := <-writer.lines:
			writer.pass(line)
		case <-writer.ending:
			writer.passQueued()
			return
		}
	}
}

func (writer *Writer) passQueued() {
	for {
		select {
		case line := <-writer.lines:
			writer.pass(line)
		default:
			return
		}
	}
}

func (writer *Writer) pass(line []byte) {
	if _, err := writer.output.Write(line); err != nil {
		writer.failed.Add(1)
	}
}

// Write queues a copy of the line; it never blocks and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full or could not be written.
func (writer *Writer) Dropped() uint64 { return writer.dropped.Load() + writer.failed.Load() }

// Close ends the writer; done is closed once the queued lines are written, for which a stalled output is not waited.
func (writer *Writer) Close() (done <-chan struct{}) {
	writer.end.Do(func() { close(writer.ending) })
	return writer.done
}
