package rationer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Inspect asks what a request would find of a workspace's limit. It takes nothing.
type Inspect struct {
	Call      runner.Call
	Workspace resolver.Workspace
	Units     float64
}

func (Inspect) isMessage() {}

// AnswerInspect answers an Inspect.
type AnswerInspect struct {
	Call       runner.Call
	Inspection Inspection
}

func (AnswerInspect) isEffect() {}

// Inspection is the state of a workspace's limit at this node.
type Inspection struct {
	// Rate is in units a second and Capacity in units; a Rate of 0 means no limit. Units
	// are those of the request, and Level those that this node may take.
	Rate, Capacity float64
	Units, Level   float64
	// Probability is that of taking the units at once if nothing waits. It is between 0 and
	// 1 where the node is limited to its share and that does not cover the request.
	Probability float64
	// RetryAfter is the time until the units are available, 0 if they are certain.
	RetryAfter time.Duration `json:",omitempty"`
	// Waiting is the number of requests that wait for the limit, which go first, and
	// WaitingUnits the sum of their units.
	Waiting      int     `json:",omitempty"`
	WaitingUnits float64 `json:",omitempty"`
	// Fresh is set while the other nodes' usage is known, as of Age ago.
	Fresh bool
	Age   time.Duration `json:",omitempty"`
}

// Inspect returns what a request for units of a workspace's limit would find now. Nothing
// changes.
func (c *Controller) Inspect(now time.Time, workspace resolver.Workspace, units float64) Inspection {
	if workspace.Rate <= 0 {
		return Inspection{Units: units, Probability: 1}
	}
	view := *c
	if view.StartedAt.IsZero() {
		view.StartedAt = now
	}
	bucket := view.openBucket(now, workspace)
	if known := c.Buckets[workspace.Name]; known != nil {
		*bucket = *known
	}
	view.refill(now, bucket, workspace)
	allowance := view.allowance(now, bucket)
	inspection := Inspection{
		Rate: bucket.Rate, Capacity: bucket.Capacity, Units: units, Level: allowance.level,
		Probability: allowance.probability(units), Fresh: c.usageIsFresh(now),
	}
	if inspection.Probability < 1 {
		inspection.RetryAfter = allowance.retryAfter(bucket.Rate, units)
	}
	if !c.UpdatedAt.IsZero() {
		inspection.Age = now.Sub(c.UpdatedAt)
	}
	if queue := c.Queues[workspace.Name]; queue != nil {
		inspection.Waiting, inspection.WaitingUnits = queue.Waiting, queue.Units
	}
	return inspection
}

// probability returns the probability with which take takes the units of a new request, whose
// draw is uniform in [0, 1).
func (a allowance) probability(units float64) float64 {
	switch {
	case a.level <= 0:
		return 0
	case a.ownShare > 0 && units > a.level:
		return a.level / units
	}
	return 1
}
