package runner

import (
	"context"

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
