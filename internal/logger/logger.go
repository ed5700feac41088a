// Package logger writes structured logs without ever blocking what is logged.
//
// Lines wait in a bounded queue for one goroutine that writes them. When the
// queue is full, lines are dropped and counted, and the next line that is
// written tells how many.
package logger

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// queueLength is the number of lines that may wait, about 1 MB.
const queueLength = 2048

// batchBytes bounds the lines that are written at once.
const batchBytes = 32 << 10

// writer hands lines to the goroutine that writes them.
type writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// Write implements io.Writer. It never blocks.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Logger is a logrus logger with a bounded queue.
type Logger struct {
	*logrus.Logger
	writer *writer
}

// New returns a logger of JSON lines for an output, and a function that writes
// what waits and ends it.
func New(output io.Writer, level logrus.Level) (*Logger, func()) {
	w := &writer{lines: make(chan []byte, queueLength)}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	l := &Logger{Logger: logger, writer: w}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.run(output, stop)
	}()
	return l, func() {
		close(stop)
		<-done
	}
}

// Dropped returns the number of lines that were dropped since the start.
func (l *Logger) Dropped() int64 { return l.writer.dropped.Load() }

// run writes lines until stop is closed and nothing waits.
func (w *writer) run(output io.Writer, stop <-chan struct{}) {
	reported := int64(0)
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.lines:
			batch.Write(line)
		case <-stop:
			w.flush(output)
			return
		}
		w.fill(&batch)
		if dropped := w.dropped.Load(); dropped > reported {
			batch.Write(droppedLine(dropped - reported))
			reported = dropped
		}
		_, _ = output.Write(batch.Bytes())
		batch.Reset()
	}
}

// flush writes all lines that wait.
func (w *writer) flush(output io.Writer) {
	for {
		var batch bytes.Buffer
		w.fill(&batch)
		if batch.Len() == 0 {
			return
		}
		_, _ = output.Write(batch.Bytes())
	}
}

// fill adds the lines that wait, up to the size of a batch.
func (w *writer) fill(batch *bytes.Buffer) {
	for batch.Len() < batchBytes {
		select {
		case line := <-w.lines:
			batch.Write(line)
		default:
			return
		}
	}
}

func droppedLine(count int64) []byte {
	entry := logrus.NewEntry(nil).WithField("Dropped", count)
	entry.Level, entry.Message = logrus.WarnLevel, "log lines dropped"
	line, err := (&logrus.JSONFormatter{DisableTimestamp: true}).Format(entry)
	if err != nil {
		return nil
	}
	return line
}
