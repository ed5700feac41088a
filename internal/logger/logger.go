// Package logger writes structured logs without blocking the code that logs.
//
// Lines wait in a bounded queue for one goroutine that writes them. When the
// queue is full, new lines are dropped and counted; the number of dropped
// lines is logged with the next batch.
package logger

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// queueLength is the maximum number of queued lines, about 1 MB.
const queueLength = 2048

// batchBytes limits the lines that are written in one call: no line is added
// to a batch that has reached it.
const batchBytes = 32 << 10

// writer queues lines for the goroutine that writes them.
type writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// Write implements io.Writer. It never blocks; it drops the line if the queue
// is full.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Logger is a logrus logger that writes through a bounded queue.
type Logger struct {
	*logrus.Logger
	writer *writer
}

// New returns a logger that writes JSON lines to output, and a function that
// stops the logger after writing the queued lines.
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

// Dropped returns the number of lines dropped since the logger was created.
func (l *Logger) Dropped() int64 { return l.writer.dropped.Load() }

// run writes lines until stop is closed, then writes the lines that are still
// queued.
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

// flush writes all queued lines.
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

// fill moves queued lines to batch until batch has batchBytes or the queue is
// empty.
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
