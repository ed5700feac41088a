package balancer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
)

// overdueReviewInterval is the shortest time between two looks at the requests that have no
// first event yet. Each costs time in proportion to the running requests.
const overdueReviewInterval = 50 * time.Millisecond

// maxLoadAge is the age up to which the requests of other nodes at a replica count as known.
const maxLoadAge = 10 * time.Second

// estimate returns the expected times of a request at a replica that keeps a number of tokens
// of its prompt if it were sent now. Reference is that of the request.
func (c *Controller) estimate(now time.Time, replica *Replica, reference *estimator.Reference, cached int) estimator.Estimate {
	estimate := reference.AtCached(now, replica.Speed, replica.currentLoad(), cached)
	if c.isCold(now, replica) {
		return estimate.Scale(coldCostFactor)
	}
	return estimate
}

// refuseByEstimates returns a refusal if the estimates of all replicas that may run a request
// are known, and none of them begins it before it is given up or answers before its deadline.
// RetryAfter is when the first of them begins it.
func (c *Controller) refuseByEstimates(now time.Time, need Need) *Refusal {
	if need.Continued || c.mayGetCopy(now, need) {
		return nil
	}
	reference := c.Estimator.Reference(need.work())
	var first time.Duration
	found := false
	for _, replica := range c.holders(need.Service, need.Model) {
		if !need.allows(replica.Description) || replica.isExcluded() || replica.isClosed(need.GiveUpAt) || !c.fits(now, need, replica.Description.Version) {
			continue
		}
		if replica.isClosed(now) || c.isCold(now, replica) || !replica.canServe(now, modelKey{need.Model, need.Adapter}) {
			return nil
		}
		if replica.RunningElsewhere > 0 && now.Sub(c.Estimator.PublishedAt) > maxLoadAge {
			return nil
		}
		estimate := c.estimate(now, replica, &reference, c.cachedTokens(now, replica, need))
		inTime := !now.Add(estimate.Wait).After(need.GiveUpAt) &&
			(need.Deadline.IsZero() || !now.Add(estimate.FirstEvent).After(need.Deadline))
		if !estimate.Known || inTime {
			return nil
		}
		if !found || estimate.Wait < first {
			first, found = estimate.Wait, true
		}
	}
	if !found {
		return nil
	}
	return &Refusal{Reason: "no replica is expected in time", RetryAfter: min(maxRetryAfter, max(overloadRetryAfter, first))}
}

// mayGetCopy reports whether the model of a request may be loaded in time on another replica
// that may run it.
func (c *Controller) mayGetCopy(now time.Time, need Need) bool {
	if need.Model == "" || !c.canOrderInTime(now, need) {
		return false
	}
	for _, replica := range c.Replicas {
		if need.allows(replica.Description) && !replica.isExcluded() && !replica.Description.Has(need.Model, need.Adapter) {
			return true
		}
	}
	return false
}

// work returns the request as far as its duration depends on it.
func (n Need) work() estimator.Work {
	return estimator.Work{
		Service: n.Service, Model: n.Model, Adapter: n.Adapter, Whole: n.Whole,
		PromptTokens: n.PromptTokens, OutputTokens: n.OutputTokens,
	}
}

// currentLoad returns the requests of all nodes at the replica.
func (r *Replica) currentLoad() estimator.Load {
	return estimator.Load{Running: r.active(), Slots: r.Description.Slots, TokensAhead: r.TokensAhead}
}

// observation returns what is known of the answer to the request.
func (a *assignment) observation() estimator.Observation {
	work := a.need.work()
	work.CachedTokens = a.cached
	return estimator.Observation{
		Replica: a.replica.Description.ID, StartedMS: a.replica.Description.StartedMS,
		Work: work, Load: a.load, FirstEventObserved: a.begun,
	}
}

// recordBegun learns from the first event of a stream.
func (c *Controller) recordBegun(now time.Time, message AnswerBegun) []Effect {
	begun := c.Assignments[message.PlacementID]
	if begun == nil || begun.begun {
		return nil
	}
	observation := begun.observation()
	begun.begin()
	if begun.cold {
		return nil
	}
	observation.FirstEvent = message.FirstEvent
	c.recordRead(now, begun, &observation)
	c.Estimator.Observe(now, observation)
	begun.firstEvent = message.FirstEvent
	return begun.replica.noteSpeed()
}

// recordProgress learns from the first intervals of a stream.
func (c *Controller) recordProgress(now time.Time, message AnswerProgressed) []Effect {
	running := c.Assignments[message.PlacementID]
	if running == nil || !running.begun || running.cold {
		return nil
	}
	observation := running.observation()
	observation.FirstEvent, observation.Unfinished = running.firstEvent, true
	observation.Duration, observation.Events = message.Elapsed, message.Events
	c.Estimator.Observe(now, observation)
	return running.replica.noteSpeed()
}

// begin marks the answer to the request as begun.
func (a *assignment) begin() {
	if !a.begun {
		a.begun = true
		a.replica.TokensAhead -= a.need.PromptTokens - a.cached
	}
}

// recordEnd learns from the end of an attempt. A replica that has not answered in time takes
// at least that long. The times of a cold replica show nothing about its usual speed.
func (c *Controller) recordEnd(now time.Time, ended *assignment, message AttemptEnded) []Effect {
	observation := ended.observation()
	ended.begin()
	if ended.cold {
		return nil
	}
	switch message.Result {
	case Answered:
		observation.FirstEvent, observation.Duration, observation.Events = message.FirstByte, message.Duration, message.Events
	case TimedOut:
		if observation.FirstEventObserved {
			return nil
		}
		observation.FirstEvent = now.Sub(ended.sentAt)
	case ModelMissing:
		c.Caches.Beliefs.ForgetModel(ended.replica.Description.ID, ended.need.cacheKey())
		return nil
	default:
		return nil
	}
	if message.Result == Answered {
		c.recordRead(now, ended, &observation)
	}
	c.Estimator.Observe(now, observation)
	return ended.replica.noteSpeed()
}

// reviewOverdue raises the estimates of replicas whose first events are overdue. Choices call
// it, so that it needs no wake time.
func (c *Controller) reviewOverdue(now time.Time) {
	if now.Sub(c.OverdueReviewedAt) < overdueReviewInterval {
		return
	}
	c.OverdueReviewedAt = now
	c.Estimator.ClearOverdue()
	for _, running := range c.Assignments {
		if !running.begun && !running.cold && !running.need.Continued {
			observation := running.observation()
			// A request that is late because the replica does not keep the beginning
			// shows nothing about its speed.
			observation.Work.CachedTokens = 0
			c.Estimator.ObserveOverdue(now, observation, now.Sub(running.sentAt))
		}
	}
}

// noteSpeed returns a note if the replica has become slow or is no longer slow.
func (r *Replica) noteSpeed() []Effect {
	if r.Speed == nil || r.Speed.Slow == r.SlowLogged {
		return nil
	}
	r.SlowLogged = r.Speed.Slow
	text := "replica no longer slow"
	if r.SlowLogged {
		text = "replica slow"
	}
	return []Effect{Note{Text: text, Replica: r.Description.ID, Factor: r.Speed.Factor}}
}

// setEpoch makes the node report its measurements again if the holder has changed.
func (c *Controller) setEpoch(now time.Time, epoch uint64) {
	if c.Epoch != 0 && c.Epoch != epoch {
		c.Estimator.ReportAgain(now)
		c.Caches.Beliefs.ReportAgain()
	}
	c.Epoch = epoch
}
