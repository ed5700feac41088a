package supervisor

import (
	"context"
	"errors"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// observedDispatcher reports to the tracker whether endpoints answered.
type observedDispatcher struct {
	filter.Dispatcher
	onResult func(endpoint string, answered bool)
}

// Generate implements filter.Dispatcher.
func (d observedDispatcher) Generate(ctx context.Context, attempt filter.Attempt, emit func(filter.Event) error) (filter.Finish, error) {
	finish, err := d.Dispatcher.Generate(ctx, attempt, emit)
	d.observe(ctx, attempt, err)
	return finish, err
}

// Call implements filter.Dispatcher.
func (d observedDispatcher) Call(ctx context.Context, attempt filter.Attempt) (filter.Reply, error) {
	reply, err := d.Dispatcher.Call(ctx, attempt)
	d.observe(ctx, attempt, err)
	return reply, err
}

// observe reports the result of an attempt as evidence for or against the
// endpoint. It ignores refusals by the endpoint, and failures that are due to
// the caller's disconnecting.
func (d observedDispatcher) observe(ctx context.Context, attempt filter.Attempt, err error) {
	var failure filter.Failure
	switch {
	case err == nil:
		d.onResult(attempt.Slot.Endpoint, true)
	case ctx.Err() != nil:
	case errors.As(err, &failure) && (failure.CallerGone || failure.Refused):
	default:
		d.onResult(attempt.Slot.Endpoint, false)
	}
}
