package runner_test

import (
	"context"
	"errors"
	"testing"

	"github.com/oklog/run"

	"toucanhitch.example/toucanhitch/internal/runner"
)

var errFailed = errors.New("failed")

type runnable func(ctx context.Context) error

func (r runnable) Run(ctx context.Context) error { return r(ctx) }

// TestGroupOutlivesGuardedFailure guards against the failure of one runnable that ends the others
// before their owner has finished what is in progress.
func TestGroupOutlivesGuardedFailure(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	defer end()
	failures := make(chan error, 1)
	group := &run.Group{}
	runner.AddGuarded(ctx, group, runnable(func(context.Context) error { return errFailed }), func(err error) { failures <- err })
	runner.AddGuarded(ctx, group, runnable(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}), func(err error) { t.Errorf("failure of a runnable whose context has ended: %v", err) })
	runner.Add(ctx, group, runnable(func(ctx context.Context) error {
		if err := <-failures; !errors.Is(err, errFailed) {
			t.Errorf("failure: %v, want %v", err, errFailed)
		}
		return ctx.Err()
	}))
	if err := group.Run(); err != nil {
		t.Errorf("run: %v, want the owner to end the group", err)
	}
}

// TestGroupOutlivesGuardedPanic guards against a process that ends with all its requests because
// a loop that is no task panics, such as the one that registers a node.
func TestGroupOutlivesGuardedPanic(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	defer end()
	failures := make(chan error, 1)
	group := &run.Group{}
	runner.AddGuarded(ctx, group, runnable(func(context.Context) error { panic("fault in a loop") }), func(err error) { failures <- err })
	runner.Add(ctx, group, runnable(func(context.Context) error {
		if err := <-failures; !errors.Is(err, runner.ErrPanicked) {
			t.Errorf("failure: %v, want %v", err, runner.ErrPanicked)
		}
		return nil
	}))
	if err := group.Run(); err != nil {
		t.Errorf("run: %v, want the owner to end the group", err)
	}
}
