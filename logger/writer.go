package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueSize is the maximum number of lines that wait for a slow output.
const queueSize = 2048

// Writer writes lines to an output in its own goroutine; a line that arrives when the queue is full is dropped and counted.
type Writer struct {
	output    io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	failed    atomic.Uint64
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// NewWriter returns a writer to the output and starts its goroutine.
func NewWriter(output io.Writer) *Writer {
	writer := &Writer{
		output: output, lines: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go writer.run()
	return writer
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case line := <-writer.lines:
			writer.writeLine(line)
		case <-writer.closing:
			writer.flush()
			return
		}
	}
}

func (writer *Writer) flush() {
	for {
		select {
		case line := <-writer.lines:
			writer.writeLine(line)
		default:
			return
		}
	}
}

func (writer *Writer) writeLine(line []byte) {
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

// Dropped returns the number of lines that found the queue full or could not be written.
func (writer *Writer) Dropped() uint64 { return writer.dropped.Load() + writer.failed.Load() }

// Close stops the writer without blocking, even if the output stalls; done is closed once the queued lines are written.
func (writer *Writer) Close() (done <-chan struct{}) {
	writer.closeOnce.Do(func() { close(writer.closing) })
	return writer.done
}
