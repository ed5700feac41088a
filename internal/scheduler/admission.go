package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// retryAfter is what a caller is told when asking again elsewhere may help.
const retryAfter = time.Second

func (c *Controller) admit(now time.Time, message Admit) {
	admission := message.Admission
	if !(admission.Weight > 0) {
		admission.Weight = 1
	}
	switch {
	case !admission.Deadline.After(now):
		c.refuse(message.Call, filter.DeadlinePassed, 0, "the deadline passed before the request could wait for an endpoint")
		return
	case c.Draining && (len(admission.Avoid) == 0 || c.drained(now)):
		c.refuse(message.Call, filter.Draining, retryAfter, "this node is shutting down; ask another one")
		return
	}
	w := &Waiting{Call: message.Call, Admission: admission, Arrived: now, Cost: cost(admission)}
	if c.refuseEarly(now, w) || c.refuseFull(w) {
		return
	}
	c.enqueue(now, w)
	c.dispatch(now, w.queue)
	if _, waits := c.Calls[w.Call]; waits {
		c.firstDemand(now, w.demand)
	}
}

// refuseEarly refuses an interactive request whose estimated start is after
// its deadline.
func (c *Controller) refuseEarly(now time.Time, w *Waiting) bool {
	if w.Admission.Class != filter.Interactive {
		return false
	}
	wait, known := c.estimateWait(now, w)
	if !known || !now.Add(wait).After(w.Admission.Deadline) {
		return false
	}
	c.refuse(w.Call, filter.DeadlineUnreachable, retryAfter,
		"the request would start in about %s, after its deadline in %s",
		wait.Round(time.Millisecond), w.Admission.Deadline.Sub(now).Round(time.Millisecond))
	return true
}

// estimateWait estimates how long a new request waits here for a slot.
func (c *Controller) estimateWait(now time.Time, w *Waiting) (time.Duration, bool) {
	target := target(w.Admission)
	if pool, ok := c.Pools[target.queue()]; target.Model != "" && (!ok || pool.Replicas == 0) {
		return c.Cold.remaining(now, target.Model)
	}
	queue, ok := c.Queues[target.queue()]
	if !ok || queue.Prompt.Waiting == 0 || queue.Pace.TokensPerSecond <= 0 {
		return 0, false
	}
	ahead := queue.Prompt.ahead(w)
	return time.Duration(ahead / queue.Pace.TokensPerSecond * float64(time.Second)), true
}

// ahead estimates the tokens that go before a new interactive request: those
// of its workspace, and meanwhile the share of the others, but no more than
// all. Assured requests of the workspace count when they are due first.
func (q *FairQueue) ahead(w *Waiting) float64 {
	lane, ok := q.Lanes[laneKey(w.Admission)]
	if !ok {
		return 0
	}
	flow, ok := lane.Workspaces[w.Admission.Workspace]
	if !ok {
		return 0
	}
	own := flow.Interactive
	if flow.head().Admission.Class == filter.Assured {
		own = flow.Tokens
	}
	return min(q.Tokens, own*q.Weight/flow.Weight)
}

// refuseFull makes room for a request when the bound is reached, or refuses
// it.
func (c *Controller) refuseFull(w *Waiting) bool {
	if len(c.Calls) < c.Bound {
		return false
	}
	victim := c.backlogs.victim(w.Admission)
	if victim == nil {
		c.refuse(w.Call, filter.Overloaded, retryAfter, "%d requests wait at this node, which is its bound", c.Bound)
		return true
	}
	c.dequeue(victim)
	c.refuse(victim.Call, filter.Overloaded, retryAfter, "%d requests wait at this node, and others go first", c.Bound)
	return false
}

func (c *Controller) enqueue(now time.Time, w *Waiting) {
	c.LastNumber++
	w.Number = c.LastNumber
	target := target(w.Admission)
	pool := c.pool(target)
	w.queue = c.queue(target.queue())
	w.queue.Pace.begin(now)
	w.queue.of(w.Admission.Class).Push(w, pool)
	c.addDemand(now, pool, w)
	c.backlogs.add(w)
	c.Calls[w.Call] = w
}

// dequeue removes a request that gets no slot.
func (c *Controller) dequeue(w *Waiting) {
	w.queue.of(w.Admission.Class).Remove(w)
	c.unlink(w)
	if w.queue.waiting() == 0 {
		w.queue.Pace.From = time.Time{}
	}
}

func (c *Controller) unlink(w *Waiting) {
	delete(c.Calls, w.Call)
	c.backlogs.remove(w)
	c.removeDemand(w)
	c.dropQueue(w.queue)
}

// cancel forgets a call whose asker has gone.
func (c *Controller) cancel(now time.Time, call runner.Call) {
	if w, ok := c.Calls[call]; ok {
		c.dequeue(w)
		return
	}
	if id, ok := c.Granted[call]; ok {
		c.release(now, Release{SlotID: id})
	}
}

// expire refuses the requests whose deadline has come.
func (c *Controller) expire(now time.Time) {
	for len(c.Deadlines) > 0 {
		w := c.Deadlines[0].Waiting[0]
		if w.Admission.Deadline.After(now) {
			break
		}
		c.dequeue(w)
		c.refuse(w.Call, filter.DeadlinePassed, 0, "no endpoint became free before the deadline")
	}
	if c.drained(now) {
		c.refuseAll()
	}
}

func (c *Controller) drain(now time.Time, until time.Time) {
	c.Draining, c.DrainUntil = true, until
	if c.drained(now) {
		c.refuseAll()
	}
}

func (c *Controller) drainAt() time.Time {
	if !c.Draining {
		return time.Time{}
	}
	return c.DrainUntil
}

func (c *Controller) drained(now time.Time) bool {
	at := c.drainAt()
	return !at.IsZero() && !at.After(now)
}

func (c *Controller) refuseAll() {
	for len(c.Deadlines) > 0 {
		w := c.Deadlines[0].Waiting[0]
		c.dequeue(w)
		c.refuse(w.Call, filter.Draining, retryAfter, "this node is shutting down; ask another one")
	}
}
