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
)

// Drain refuses requests that a draining node could not finish. Another node can
// take them, since they have not run.
type Drain struct {
	Clock clockwork.Clock
	// CutoffAt returns when the node ends its remaining requests, or the zero
	// time if the node is not draining. Grace returns the time that it has in all.
	CutoffAt func() time.Time
	Grace    func() time.Duration
	// Durations knows how long answers take.
	Durations *Durations
}

// Filter implements filter.Filter.
func (f Drain) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	cutoffAt := f.CutoffAt()
	if cutoffAt.IsZero() {
		return filter.Pass{}
	}
	now := f.Clock.Now()
	if left := cutoffAt.Sub(now); left < f.neededTime(now, request) {
		return newRefusal(filter.Draining, filter.NotRun, otherNodeRetryDelay, "this node leaves in "+left.Round(time.Millisecond).String())
	}
	return filter.Pass{}
}

// neededTime returns the time that a request may still take. A request that must not be
// repeated may take all that its route and its caller allow.
func (f Drain) neededTime(now time.Time, request *filter.Request) time.Duration {
	route := request.Work.(*filter.Forward).Route
	limit := request.Deadline.Sub(now)
	usual := max(minObjectivesLeft*route.Objective, time.Duration(longestFactor*float64(f.Durations.Longest(route.Name))))
	switch {
	case route.Kind == resolver.Streaming && route.Resumable:
		// The caller can take the stream up at another node.
		return max(minObjectivesLeft*route.Objective, f.minStreamTime())
	case route.Kind == resolver.Streaming:
		return max(usual, f.minStreamTime())
	case route.Repeatable():
		return min(limit, usual)
	}
	return limit
}

func (f Drain) minStreamTime() time.Duration {
	return time.Duration(minStreamShare * float64(f.Grace()))
}
