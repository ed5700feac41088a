package forwarder

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// minObjectivesLeft is how many latency objectives a draining node must have left
// before its cutoff to accept a request. Requests that wait in a replica's queue
// need more than one.
const minObjectivesLeft = 2

// Drain refuses requests that a draining node could not finish. Another node can
// take them, since they have not run.
type Drain struct {
	Clock clockwork.Clock
	// CutoffAt returns when the node aborts its remaining requests, or the zero
	// time if the node is not draining.
	CutoffAt func() time.Time
}

// Filter implements filter.Filter.
func (f Drain) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	cutoffAt := f.CutoffAt()
	if cutoffAt.IsZero() {
		return filter.Pass{}
	}
	left := cutoffAt.Sub(f.Clock.Now())
	if left < minObjectivesLeft*request.Work.(*filter.Forward).Route.Objective {
		return newRefusal(filter.Draining, filter.NotRun, otherNodeRetryDelay, "this node leaves in "+left.Round(time.Millisecond).String())
	}
	return filter.Pass{}
}
