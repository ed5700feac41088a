package forwarder

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// minObjectivesLeft is how many latency objectives a draining node must have left
	// before its cutoff to accept a request. Requests that wait in a replica's queue
	// need more than one.
	minObjectivesLeft = 2
	// minStreamShare is the share of the shutdown time that must be left for a stream. The
	// objective covers its first event only, and under load streams take seconds after that.
	minStreamShare = 0.375
	// longestFactor is the time that must be left for a request that no other node can go
	// on with, relative to the longest recent answer of its route.
	longestFactor = 1.5
	// certainAfter is the time after the start of a shutdown from which requests are accepted
	// only if they end in time whatever they take. Before it, callers cannot yet know that
	// the node leaves, and the platform excuses the end of what was sent within 3 s of the
	// signal; the rest is for a signal that is handled late.
	certainAfter = 2500 * time.Millisecond
)

// Shutdown is the time that a node has until it ends.
type Shutdown struct {
	// StartedAt is when the signal to end came. It is the zero time if none did.
	StartedAt time.Time
	// CutoffAt is when the node ends its remaining requests.
	CutoffAt time.Time
	// Grace is the time that the node has in all, from StartedAt.
	Grace time.Duration
}

// Drain refuses requests that a draining node could not finish. Another node can
// take them, since they have not run.
type Drain struct {
	Clock clockwork.Clock
	// Shutdown returns the node's shutdown, or the zero value.
	Shutdown func() Shutdown
	// Durations knows how long answers take.
	Durations *Durations
}

// Filter implements filter.Filter.
func (f Drain) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	shutdown := f.Shutdown()
	if shutdown.StartedAt.IsZero() {
		return filter.Pass{}
	}
	now := f.Clock.Now()
	needed := f.neededTime(now, request, shutdown.Grace)
	if now.Sub(shutdown.StartedAt) > certainAfter {
		needed = max(needed, request.Deadline.Sub(now))
	}
	if left := shutdown.CutoffAt.Sub(now); left < needed {
		return newRefusal(filter.Draining, filter.NotRun, otherNodeRetryDelay, "this node leaves in "+left.Round(time.Millisecond).String())
	}
	return filter.Pass{}
}

// neededTime returns the time that a request will probably take. A request that must not be
// repeated may take all that its route and its caller allow.
func (f Drain) neededTime(now time.Time, request *filter.Request, grace time.Duration) time.Duration {
	route := request.Work.(*filter.Forward).Route
	limit := request.Deadline.Sub(now)
	minStreamTime := time.Duration(minStreamShare * float64(grace))
	usual := max(minObjectivesLeft*route.Objective, time.Duration(longestFactor*float64(f.Durations.Longest(route.Name))))
	switch {
	case route.Kind == resolver.Streaming && route.Resumable:
		// The caller can take the stream up at another node.
		return max(minObjectivesLeft*route.Objective, minStreamTime)
	case route.Kind == resolver.Streaming:
		return max(usual, minStreamTime)
	case route.Repeatable():
		return min(limit, usual)
	}
	return limit
}
