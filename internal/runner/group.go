package runner

import (
	"context"

	"github.com/oklog/run"
)

// Runnable is anything that runs until its context ends.
type Runnable interface {
	Run(ctx context.Context) error
}

// Add makes a runnable an actor of an oklog/run group: when any actor of the
// group ends, the runnable's context ends.
func Add(ctx context.Context, group *run.Group, runnable Runnable) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(
		func() error { return runnable.Run(ctx) },
		func(error) { cancel() },
	)
}
