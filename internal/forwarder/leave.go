package forwarder

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// leaveObjectives is how many latency objectives a leaving node must still have
// to take a request. Requests that wait in a replica's queue need more than one.
const minObjectivesLeft = 2

// Leave refuses requests that a leaving node could not finish. Another node can
// take them, as nothing has run.
type Drain struct {
	Clock clockwork.Clock
	// Until returns when the node cuts off its requests, the zero time while
	// it does not leave.
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
		return refuse(filter.Draining, filter.NotRun, otherNodeRetryDelay, "this node leaves in "+left.Round(time.Millisecond).String())
	}
	return filter.Pass{}
}
