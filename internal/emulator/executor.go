package emulator

import "context"

// executor runs functions one at a time on a goroutine of its own, so that the
// state that they access needs no lock.
type executor struct {
	functions chan func()
	done      chan struct{}
}

// newExecutor starts the executor's goroutine, which ends with ctx.
func newExecutor(ctx context.Context) *executor {
	e := &executor{functions: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(e.done)
		for {
			select {
			case fn := <-e.functions:
				fn()
			case <-ctx.Done():
				return
			}
		}
	}()
	return e
}

// do runs fn on the executor's goroutine and waits for it to return. It does
// nothing after the executor has ended.
func (e *executor) do(fn func()) {
	finished := make(chan struct{})
	select {
	case e.functions <- func() { fn(); close(finished) }:
		<-finished
	case <-e.done:
	}
}
