package logger

import (
	"io"
	"strings"

	"github.com/sirupsen/logrus"
)

// maxStandardBytes bounds a line of the standard logger. net/http quotes up to 4 KB of what
// a faulty server has sent.
const maxStandardBytes = 300

// NewStandardWriter returns an output for package log, through which net/http reports what
// it has no caller for. Each line becomes a structured warning.
func NewStandardWriter(target logrus.FieldLogger) io.Writer { return standardWriter{target} }

type standardWriter struct{ target logrus.FieldLogger }

// Write implements io.Writer.
func (w standardWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxStandardBytes)]))
	w.target.WithFields(logrus.Fields{"Text": text, "Bytes": len(line)}).Warn("message of a library")
	return len(line), nil
}
