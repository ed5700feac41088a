package rationer

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/queuer"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// oldestInterval is the number of waiting requests of a workspace of which one is the
	// one that has waited longest.
	oldestInterval = 10
	// promotionShare is the share of its waiting time after which a request goes before
	// the others of its rank.
	promotionShare = 0.5
	// maxWaiting bounds the requests of a workspace that wait for its limit at a node.
	maxWaiting = 1000
	// minCheckInterval and maxCheckInterval bound the time between two checks of the
	// waiting requests. The longer one covers changes such as usage that is too old.
	minCheckInterval = 2 * time.Millisecond
	maxCheckInterval = 100 * time.Millisecond
	// meanDraw is the mean part of a request that must be covered where a node is limited
	// to its share.
	meanDraw = 0.5
	// returnShare is the part of the rate that is reserved for callers that return. The rest
	// is left for new requests.
	returnShare = 0.5
	// returnSpreadShare is the largest part of a retry delay that is added at random.
	returnSpreadShare = 0.25
)

// Queue holds the requests of one workspace that wait for units of its limit.
type Queue struct {
	*queuer.Queue[*WaitingTake]
	Workspace resolver.Workspace
	// ByWaitUntil holds the requests, the one that is refused first at the top.
	ByWaitUntil queuer.Heap[*WaitingTake]
	// Units is the sum of the units of the requests.
	Units float64
	// NextCheckAt is when the next request may have units.
	NextCheckAt time.Time
}

// WaitingTake is a request that waits for units of its workspace's limit.
type WaitingTake struct {
	Take
	Since time.Time
	// Draw is the part of the units that must be covered if the node is limited to its share.
	// It is drawn again after each report of the others' usage, DrawnFor being the number of
	// the report: the node then takes its share on average, because it tries one request at
	// a time.
	Draw     float64
	DrawnFor uint64

	entry *queuer.Entry[*WaitingTake]
	index int
}

// Before implements queuer.Item.
func (w *WaitingTake) Before(other *WaitingTake) bool {
	if !w.WaitUntil.Equal(other.WaitUntil) {
		return w.WaitUntil.Before(other.WaitUntil)
	}
	return w.entry.Number < other.entry.Number
}

// SetIndex implements queuer.Item.
func (w *WaitingTake) SetIndex(index int) { w.index = index }

// draw draws the part of the units that must be covered, unless that was done since the
// others' usage was last reported.
func (c *Controller) draw(w *WaitingTake) {
	if report := c.Reports + 1; w.DrawnFor != report {
		w.Draw, w.DrawnFor = c.Random.Float64(), report
	}
}

// takeOrWait takes the units of a request, refuses it, or lets it wait. Requests of its
// workspace that wait already keep their order.
func (c *Controller) takeOrWait(now time.Time, message Take) []Effect {
	if message.Workspace.Rate <= 0 {
		return []Effect{AnswerTake{message.Call, Decision{Taken: true}}}
	}
	w := &WaitingTake{Take: message, Since: now}
	queue := c.Queues[message.Workspace.Name]
	if queue == nil {
		decision := c.take(now, w)
		if decision.Taken || message.WaitUntil.IsZero() {
			return []Effect{AnswerTake{message.Call, decision}}
		}
		queue = &Queue{Queue: queuer.New[*WaitingTake](oldestInterval), Workspace: message.Workspace}
	}
	bucket := c.bucket(now, message.Workspace)
	bucket.Refused = true // the demand exceeds what there is, whether it waits or not
	if at := now.Add(c.expectedWait(now, bucket, queue.unitsAhead(message), message.Units)); at.After(message.WaitUntil) || queue.Waiting >= maxWaiting {
		return []Effect{AnswerTake{message.Call, c.refusal(now, bucket, w)}}
	}
	c.Queues[message.Workspace.Name] = queue
	queue.Workspace = message.Workspace
	queue.push(w)
	return c.serveQueue(now, queue)
}

func (q *Queue) push(w *WaitingTake) {
	w.entry = q.Push(w, queuer.Attributes{
		Rank:      w.Rank,
		Weight:    1,
		Cost:      max(1, w.Units),
		Due:       w.Deadline,
		PromoteAt: w.Since.Add(time.Duration(promotionShare * float64(w.WaitUntil.Sub(w.Since)))),
	})
	q.ByWaitUntil.Push(w)
	q.Units += w.Units
}

// remove removes a request from its queue.
func (c *Controller) remove(queue *Queue, w *WaitingTake, served bool) {
	if served {
		queue.Serve(w.entry)
	} else {
		queue.Remove(w.entry)
	}
	queue.ByWaitUntil.Remove(w.index)
	queue.Units -= w.Units
	if queue.Waiting == 0 {
		delete(c.Queues, queue.Workspace.Name)
	}
}

// unitsAhead returns the units of the requests that go before a new one.
func (q *Queue) unitsAhead(message Take) float64 {
	units := 0.0
	for _, w := range q.ByWaitUntil {
		if w.Rank < message.Rank || w.Rank == message.Rank && (w.entry.Promoted || !w.Deadline.After(message.Deadline)) {
			units += w.Units
		}
	}
	return units
}

// expectedWait returns the time until the limit has room for a request at this node, after
// the units of other requests.
func (c *Controller) expectedWait(now time.Time, bucket *Bucket, ahead, units float64) time.Duration {
	allowance := c.allowance(now, bucket)
	wait := max(0, allowance.debt) / (bucket.Rate * allowance.debtShare)
	share := bucket.Share
	needed := ahead - max(0, allowance.level)
	if allowance.ownShare > 0 {
		share = allowance.ownShare
		needed += meanDraw * units
	}
	return queuer.Seconds(wait + max(0, needed)/(bucket.Rate*share))
}

// debtTime returns the time until a debt is repaid before which no request gets units. While
// the others' usage is not known, it is 0, because a node soon learns of it again.
func (c *Controller) debtTime(now time.Time, bucket *Bucket) time.Duration {
	if !c.usageIsFresh(now) {
		return 0
	}
	allowance := c.allowance(now, bucket)
	return queuer.Seconds(max(0, allowance.debt) / (bucket.Rate * allowance.debtShare))
}

// serveQueue takes units for the waiting requests of a workspace, in their order, and refuses
// those whose time is over before there can be units.
func (c *Controller) serveQueue(now time.Time, queue *Queue) []Effect {
	queue.Advance(now)
	var effects []Effect
	for queue.Waiting > 0 {
		w := queue.Next(func(*WaitingTake) bool { return true }).Value
		decision := c.take(now, w)
		if !decision.Taken {
			queue.NextCheckAt = now.Add(min(maxCheckInterval, max(minCheckInterval, c.timeToTake(now, w))))
			break
		}
		decision.Waited = now.Sub(w.Since)
		c.remove(queue, w, true)
		effects = append(effects, AnswerTake{w.Call, decision})
	}
	repaidAt := now
	if queue.Waiting > 0 {
		repaidAt = now.Add(c.debtTime(now, c.bucket(now, queue.Workspace)))
	}
	for queue.Waiting > 0 && !repaidAt.Before(queue.ByWaitUntil[0].WaitUntil) {
		w := queue.ByWaitUntil[0]
		c.remove(queue, w, false)
		effects = append(effects, AnswerTake{w.Call, c.refusal(now, c.bucket(now, w.Workspace), w)})
	}
	return effects
}

// timeToTake returns the time until units for a request have accrued if nothing changes.
func (c *Controller) timeToTake(now time.Time, w *WaitingTake) time.Duration {
	bucket := c.bucket(now, w.Workspace)
	allowance := c.allowance(now, bucket)
	share, needed := allowance.debtShare, -allowance.level
	if allowance.ownShare > 0 {
		share, needed = allowance.ownShare, w.Draw*w.Units-allowance.level
	}
	return queuer.Seconds(max(0, needed) / (bucket.Rate * share))
}

// refusal returns the refusal of a request for which there is no room in its time. Each
// caller is asked to return when there is room after those that were asked before it.
func (c *Controller) refusal(now time.Time, bucket *Bucket, w *WaitingTake) Decision {
	allowance := c.allowance(now, bucket)
	decision := Decision{Level: allowance.level, Age: now.Sub(c.UpdatedAt), Waited: now.Sub(w.Since)}
	queued := 0.0
	if queue := c.Queues[w.Workspace.Name]; queue != nil {
		queued = queue.Units
	}
	wait := max(minRetryAfter, c.expectedWait(now, bucket, queued, w.Units))
	latest := maxDebtTime
	if !c.usageIsFresh(now) {
		latest = isolatedRetryAfter
	}
	if at := now.Add(wait); at.Before(bucket.ReturnAt) {
		wait = bucket.ReturnAt.Sub(now)
	}
	if wait > latest {
		// No time is left to give: spread the callers over the later half.
		decision.RetryAfter = latest - time.Duration(c.Random.Int64N(int64(latest/2)))
		return decision
	}
	bucket.ReturnAt = now.Add(wait + queuer.Seconds(w.Units/(bucket.Rate*bucket.Share*returnShare)))
	decision.RetryAfter = wait + time.Duration(c.Random.Float64()*returnSpreadShare*float64(wait))
	return decision
}

// serveQueues checks the waiting requests of all workspaces.
func (c *Controller) serveQueues(now time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(c.Queues)) {
		effects = append(effects, c.serveQueue(now, c.Queues[name])...)
	}
	return effects
}

// cancel removes a waiting request whose caller has gone.
func (c *Controller) cancel(call runner.Call) {
	for _, queue := range c.Queues {
		for _, w := range queue.ByWaitUntil {
			if w.Call == call {
				c.remove(queue, w, false)
				return
			}
		}
	}
}

// Wake returns when the waiting requests are next checked, or the zero time if none waits.
func (c *Controller) Wake() time.Time {
	var wake time.Time
	for _, queue := range c.Queues {
		at := queue.NextCheckAt
		if until := queue.ByWaitUntil[0].WaitUntil; until.Before(at) {
			at = until
		}
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	return wake
}
