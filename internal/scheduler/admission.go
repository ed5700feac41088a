package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/queuer"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// retryAfterHint is the Retry-After delay sent to callers whose request may
// succeed on another node.
const retryAfterHint = time.Second

func (c *Controller) admit(now time.Time, message Admit) {
	admission := message.Admission
	if !(admission.Weight > 0) {
		admission.Weight = 1
	}
	switch {
	case !admission.Deadline.After(now):
		c.refuse(message.Call, filter.DeadlinePassed, 0, "the deadline passed before the request could wait for an endpoint")
		return
	case c.Draining && (len(admission.Avoid) == 0 || c.drainExpired(now)):
		c.refuse(message.Call, filter.Draining, retryAfterHint, "this node is shutting down; ask another one")
		return
	}
	w := &WaitingRequest{Call: message.Call, Admission: admission, Arrived: now, Cost: cost(admission)}
	if c.refuseIfUnreachable(now, w) || c.refuseIfFull(w) {
		return
	}
	c.enqueue(now, w)
	c.dispatch(now, w.queue)
	if _, waiting := c.Waiting[w.Call]; waiting {
		c.reportFirstDemand(now, w.demand)
	}
}

// refuseIfUnreachable refuses an interactive request that is estimated to start
// after its deadline.
func (c *Controller) refuseIfUnreachable(now time.Time, w *WaitingRequest) bool {
	if w.Admission.Class != filter.Interactive {
		return false
	}
	wait, known := c.estimateWait(now, w)
	if !known || !now.Add(wait).After(w.Admission.Deadline) {
		return false
	}
	c.refuse(w.Call, filter.DeadlineUnreachable, retryAfterHint,
		"the request would start in about %s, after its deadline in %s",
		wait.Round(time.Millisecond), w.Admission.Deadline.Sub(now).Round(time.Millisecond))
	return true
}

// estimateWait estimates how long a new request would wait on this node for a
// slot. It returns false if there is no basis for an estimate.
func (c *Controller) estimateWait(now time.Time, w *WaitingRequest) (time.Duration, bool) {
	target := target(w.Admission)
	if pool, ok := c.Pools[target.queueTarget()]; target.Model != "" && (!ok || pool.Replicas == 0) {
		return c.LoadTimes.estimateRemaining(now, target.Model)
	}
	queue, ok := c.Queues[target.queueTarget()]
	if !ok || queue.Foreground.Waiting == 0 || queue.GrantPace.PerSecond <= 0 {
		return 0, false
	}
	ahead := tokensAhead(queue.Foreground, w)
	return time.Duration(ahead / queue.GrantPace.PerSecond * float64(time.Second)), true
}

// tokensAhead estimates the tokens that are served before a new interactive
// request: those of its own workspace plus the share that other workspaces
// receive in the meantime, at most all waiting tokens. Assured requests of the
// same workspace are included if they are due first.
func tokensAhead(q *queuer.Queue[*WaitingRequest], w *WaitingRequest) float64 {
	flow := q.Flow(w.attributes())
	if flow == nil {
		return 0
	}
	own := flow.UrgentTokens
	if flow.Head().Value.Admission.Class == filter.Assured {
		own = flow.Tokens
	}
	return min(q.Tokens(), own*q.Weight()/flow.Weight)
}

// refuseIfFull handles a request that arrives when MaxWaiting is reached: it
// sheds another request to make room, or refuses the new one and returns true.
func (c *Controller) refuseIfFull(w *WaitingRequest) bool {
	if len(c.Waiting) < c.MaxWaiting {
		return false
	}
	victim, found := c.backlogs.Victim(sheddingRank(w.Admission.Class), w.Admission.Workspace, w.Admission.Weight)
	if !found {
		c.refuse(w.Call, filter.Overloaded, retryAfterHint, "%d requests wait at this node, which is its bound", c.MaxWaiting)
		return true
	}
	c.dequeue(victim)
	c.refuse(victim.Call, filter.Overloaded, retryAfterHint, "%d requests wait at this node, and others go first", c.MaxWaiting)
	return false
}

// sheddingRank returns the rank of a class in the order of shedding: deferred requests
// are shed first, assured ones last.
func sheddingRank(class filter.Class) int {
	switch class {
	case filter.Assured:
		return 0
	case filter.Interactive:
		return 1
	}
	return 2
}

func (c *Controller) enqueue(now time.Time, w *WaitingRequest) {
	c.LastArrivalNumber++
	w.ArrivalNumber = c.LastArrivalNumber
	target := target(w.Admission)
	pool := c.getOrCreatePool(target)
	w.queue = c.getOrCreateQueue(target.queueTarget())
	w.queue.GrantPace.Start(now)
	w.queueEntry = w.queue.fairQueue(w.Admission.Class).Push(w, w.attributes())
	c.addDemand(now, pool, w)
	w.backlogEntry = c.backlogs.Add(w, sheddingRank(w.Admission.Class), w.Admission.Workspace, w.Admission.Weight)
	c.Waiting[w.Call] = w
}

// dequeue removes a request that gets no slot.
func (c *Controller) dequeue(w *WaitingRequest) {
	w.queue.fairQueue(w.Admission.Class).Remove(w.queueEntry)
	c.removeFromIndexes(w)
	if w.queue.waitingCount() == 0 {
		w.queue.GrantPace.Stop()
	}
}

func (c *Controller) removeFromIndexes(w *WaitingRequest) {
	delete(c.Waiting, w.Call)
	c.backlogs.Remove(w.backlogEntry)
	c.removeDemand(w)
	c.deleteQueueIfUnused(w.queue)
}

// cancel removes a waiting request whose caller disconnected, or releases the
// slot that was already granted to it.
func (c *Controller) cancel(now time.Time, call runner.Call) {
	if w, ok := c.Waiting[call]; ok {
		c.dequeue(w)
		return
	}
	if id, ok := c.SlotByCall[call]; ok {
		c.release(now, Release{SlotID: id})
	}
}

// expire refuses requests whose deadline has passed, and all waiting requests
// once the drain deadline has passed.
func (c *Controller) expire(now time.Time) {
	for len(c.ByDeadline) > 0 {
		w := c.ByDeadline[0].Waiting[0]
		if w.Admission.Deadline.After(now) {
			break
		}
		c.dequeue(w)
		c.refuse(w.Call, filter.DeadlinePassed, 0, "no endpoint became free before the deadline")
	}
	if c.drainExpired(now) {
		c.refuseAll()
	}
}

func (c *Controller) drain(now time.Time, until time.Time) {
	c.Draining, c.DrainUntil = true, until
	if c.drainExpired(now) {
		c.refuseAll()
	}
}

func (c *Controller) drainDeadline() time.Time {
	if !c.Draining {
		return time.Time{}
	}
	return c.DrainUntil
}

func (c *Controller) drainExpired(now time.Time) bool {
	at := c.drainDeadline()
	return !at.IsZero() && !at.After(now)
}

func (c *Controller) refuseAll() {
	for len(c.ByDeadline) > 0 {
		w := c.ByDeadline[0].Waiting[0]
		c.dequeue(w)
		c.refuse(w.Call, filter.Draining, retryAfterHint, "this node is shutting down; ask another one")
	}
}
