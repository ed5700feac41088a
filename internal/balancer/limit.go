package balancer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// limitBurst is the number of requests that all nodes may send to a replica at once
	// within its limit.
	limitBurst = 1
	// ownLimitTime is the time for which the limit that an answer to this node named goes
	// before the one that the holder publishes. It covers two exchanges.
	ownLimitTime = 2 * time.Second
	// atLimitTime is how long a replica counts as full for the holder after its limit has
	// last held back requests: two reports, which would otherwise miss it between two
	// requests.
	atLimitTime = 500 * time.Millisecond
)

// setLimit sets the limit, and returns a note if there was none or is none any more.
func (n *Notice) setLimit(replica string, rate float64) []Effect {
	text := ""
	switch {
	case rate > 0 && n.RateLimit == 0:
		text = "replica named a limit"
	case rate == 0 && n.RateLimit > 0:
		text = "replica named no limit any more"
		n.ThrottledUntil = time.Time{}
	}
	n.RateLimit = rate
	if text == "" {
		return nil
	}
	return []Effect{Note{Text: text, Replica: replica, RateLimit: rate}}
}

// applyPublished adopts the limit and the brittleness that the holder has published, unless
// the holder does not know them or an answer to this node has named others since.
func (n *Notice) applyPublished(now time.Time, replica string, message SetPeerState) []Effect {
	rate, state := message.RateLimits[replica], message.Brittle[replica]
	if n.BrittleUnpublished = message.BrittleUnknown; n.BrittleUnpublished {
		state = n.Brittleness
	}
	n.PublishedLimit, n.PublishedBrittle = rate, state
	if rate == 0 || !n.NamedAt.IsZero() && now.Sub(n.NamedAt) < ownLimitTime {
		return nil
	}
	return append(n.setLimit(replica, max(0, rate)), n.setBrittle(replica, state)...)
}

// isAtLimit reports whether the limit of the replica has recently held back requests.
func (r *Replica) isAtLimit(now time.Time) bool {
	return (r.Notice.RateLimit > 0 || r.Notice.Brittle) && now.Before(r.Notice.ThrottledUntil.Add(atLimitTime))
}

// takeOfLimit takes a request of the limit of the replica. If there is none left, the
// replica is not usable until ThrottledUntil.
func (c *Controller) takeOfLimit(now time.Time, replica *Replica) bool {
	if !c.mayTakeCold(now, replica) {
		return false
	}
	if replica.Notice.RateLimit == 0 {
		c.takeCold(now, replica)
		return true
	}
	limit := resolver.Workspace{Name: planner.LimitName(replica.Description.ID), Rate: replica.Notice.RateLimit, Burst: limitBurst}
	for _, effect := range c.Limits.Step(now, rationer.Take{Workspace: limit, Units: 1}) {
		if answer, ok := effect.(rationer.AnswerTake); ok && !answer.Decision.Taken {
			replica.Notice.ThrottledUntil = now.Add(answer.Decision.RetryAfter)
			return false
		}
	}
	c.takeCold(now, replica)
	return true
}

// collectLimits returns the limits that the holder does not publish as answers to this
// node have named them, and the requests sent to replicas with limits.
func (c *Controller) collectLimits(now time.Time) ([]planner.RateLimit, []planner.Spent) {
	var limits []planner.RateLimit
	for _, id := range c.sortedIDs() {
		if n := c.Replicas[id].Notice; !n.NamedAt.IsZero() && (n.RateLimit != max(0, n.PublishedLimit) || n.Brittleness != n.PublishedBrittle) {
			limits = append(limits, planner.RateLimit{
				Replica: id, StartedMS: n.StartedMS, Rate: n.RateLimit, Age: now.Sub(n.NamedAt), Brittle: n.Brittle, MaxRefusals: n.MaxRefusals,
			})
		}
	}
	for _, effect := range c.Limits.Step(now, rationer.Collect{}) {
		if answer, ok := effect.(rationer.AnswerCollect); ok {
			return limits, answer.Spent
		}
	}
	return limits, nil
}
