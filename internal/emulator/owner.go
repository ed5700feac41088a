package emulator

import "context"

// owner runs functions one after the other on a goroutine of its own, which
// owns the state that they touch.
type owner struct {
	calls chan func()
	done  chan struct{}
}

// newOwner starts the goroutine, which ends with ctx.
func newOwner(ctx context.Context) *owner {
	o := &owner{calls: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for {
			select {
			case call := <-o.calls:
				call()
			case <-ctx.Done():
				return
			}
		}
	}()
	return o
}

// do runs a function and waits for it. It does nothing after the end.
func (o *owner) do(call func()) {
	ran := make(chan struct{})
	select {
	case o.calls <- func() { call(); close(ran) }:
		<-ran
	case <-o.done:
	}
}
