package runner

import (
	"context"
	"fmt"

	"github.com/oklog/run"
)

// Runnable is anything that runs until its context ends.
type Runnable interface {
	Run(ctx context.Context) error
}

// Add adds a runnable to an oklog/run group as an actor: when any actor of the
// group returns, the runnable's context is cancelled.
func Add(ctx context.Context, group *run.Group, runnable Runnable) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(
		func() error { return runnable.Run(ctx) },
		func(error) { cancel() },
	)
}

// AddGuarded adds a runnable to a group like Add, but the group goes on if the runnable fails
// or panics. onFailure, which must not block, gets the error of one that returns before its
// context ends, and decides how the others end.
func AddGuarded(ctx context.Context, group *run.Group, runnable Runnable, onFailure func(error)) {
	Add(ctx, group, runnableFunc(func(ctx context.Context) error {
		err := runGuarded(ctx, runnable)
		if ctx.Err() == nil {
			onFailure(err)
		}
		<-ctx.Done()
		return nil
	}))
}

func runGuarded(ctx context.Context, runnable Runnable) (err error) {
	defer RecoverPanic(fmt.Sprintf("%T", runnable), &err)
	return runnable.Run(ctx)
}

type runnableFunc func(ctx context.Context) error

// Run implements Runnable.
func (r runnableFunc) Run(ctx context.Context) error { return r(ctx) }
