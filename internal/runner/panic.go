package runner

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// ErrPanicked reports code that has panicked. The error is a Panic.
var ErrPanicked = merry.Sentinel("panicked")

// Panic is a recovered panic.
type Panic struct {
	// Source names what has panicked, such as a task.
	Source string
	// Value is the argument of panic.
	Value any
	// Stack is the stack of the goroutine at the time of the panic.
	Stack string
}

// Error implements error.
func (p *Panic) Error() string { return fmt.Sprintf("%s panicked: %v", p.Source, p.Value) }

// Unwrap returns ErrPanicked.
func (p *Panic) Unwrap() error { return ErrPanicked }

// RecoverPanic sets err to a Panic if the function that defers it panics.
func RecoverPanic(source string, err *error) {
	if value := recover(); value != nil {
		*err = &Panic{Source: source, Value: value, Stack: string(debug.Stack())}
	}
}

// LogFailure logs that a task or a server of a node has failed.
func LogFailure(logger logrus.FieldLogger, err error) {
	WithError(logger, err).Error("a part of the node has failed: it finishes its requests and ends")
}

// WithError returns an entry with an error and, if that is a panic, with its stack.
func WithError(logger logrus.FieldLogger, err error) *logrus.Entry {
	entry := logger.WithError(err)
	var panicked *Panic
	if errors.As(err, &panicked) {
		entry = entry.WithFields(logrus.Fields{"Source": panicked.Source, "Stack": panicked.Stack})
	}
	return entry
}
