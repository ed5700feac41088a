package emulator

import "context"

// owner runs functions one after the other on a goroutine of its own, which
// owns the state that they touch.
type executor struct {
	functions chan func()
	done      chan struct{}
}

// newOwner starts the goroutine, which ends with ctx.
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

// do runs a function and waits for it. It does nothing after the end.
func (e *executor) do(fn func()) {
	finished := make(chan struct{})
	select {
	case e.functions <- func() { fn(); close(finished) }:
		<-finished
	case <-e.done:
	}
}
