package balancer

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/queuer"
)

const (
	// longQueue is the number of waiting requests from which the mean pace of the queue
	// decides, measured with as many requests, and longQueueShare the share of its time that
	// a new request may then wait: the queue varies, and its head must not be over its time.
	longQueue      = 16
	longQueueShare = 0.9
	// unreachableCheckInterval is how often the waiting requests for a model are compared
	// with the pace of their queue.
	unreachableCheckInterval = 250 * time.Millisecond
	// maxRetryAfter bounds the retry delay: the pace of a queue shows little about later
	// times.
	maxRetryAfter = 10 * time.Second
	// returnShare is the part of the pace that is reserved for callers that return. The rest
	// is left for new requests.
	returnShare = 0.5
	// retrySpreadShare is the largest part of a retry delay that is added at random, so that
	// callers that are refused together do not return together. minRetrySpread and
	// maxRetrySpread bound the time over which they are spread.
	retrySpreadShare = 0.25
	minRetrySpread   = 100 * time.Millisecond
	maxRetrySpread   = 400 * time.Millisecond
)

// roomExpectedAt returns when a replica is expected to have room for a new request, from the
// ends of loads or from the requests that go before it and the pace at which they leave the
// queue. It returns false if that is not known.
func (c *Controller) roomExpectedAt(now time.Time, need Need) (time.Time, bool) {
	if queue := c.Waiting.Models[need.modelQueueKey()]; queue != nil {
		if pace, known := queue.pace(now); known {
			return now.Add(queuer.Seconds(queue.ahead(need.Workspace, c.ownAhead(need)) / pace)), true
		}
	}
	if need.Model == "" || c.isLoaded(now, need) {
		return time.Time{}, false
	}
	return c.loadExpectedAt(now, need)
}

// ownAhead returns the tokens of the requests of the same workspace that are due before a
// new request.
func (c *Controller) ownAhead(need Need) float64 {
	service := c.Waiting.Services[need.Service]
	if service == nil {
		return 0
	}
	flow := service.Flow(queuer.Attributes{Lane: need.laneKey(), Rank: need.rank(), Workspace: need.Workspace})
	if flow == nil {
		return 0
	}
	tokens := 0.0
	for _, entry := range flow.Entries {
		if entry.Promoted || !entry.Due.After(need.GiveUpAt) {
			tokens += entry.Cost
		}
	}
	return tokens
}

// roomDelay returns the time until a replica is expected to have room for a request, or a
// fixed delay if that is not known.
func (c *Controller) roomDelay(now time.Time, need Need) time.Duration {
	at, known := c.roomExpectedAt(now, need)
	if !known {
		return overloadRetryAfter
	}
	return min(maxRetryAfter, max(overloadRetryAfter, at.Sub(now)))
}

// canOrderInTime reports whether the holder can have a model loaded before the request is
// given up.
func (c *Controller) canOrderInTime(now time.Time, need Need) bool {
	return c.ordersAllowed(now) && !now.Add(typicalLoadTime).After(need.GiveUpAt)
}

// loadExpectedAt returns when the first load of a model ends that no replica has, and false
// if no load is in progress or the end of one is not known.
func (c *Controller) loadExpectedAt(now time.Time, need Need) (time.Time, bool) {
	var first time.Time
	for _, replica := range c.Replicas {
		if !need.allows(replica.Description) || replica.isExcluded() || !c.fits(now, need, replica.Description.Version) {
			continue
		}
		endsAt, loading := replica.loadEndsAt(modelKey{need.Model, need.Adapter})
		switch {
		case !loading:
		case !endsAt.After(now):
			// The end is not known, or has passed without the replica being listed.
			return time.Time{}, false
		case first.IsZero() || endsAt.Before(first):
			first = endsAt
		}
	}
	return first, !first.IsZero()
}

// unreachable returns a refusal if no replica is expected to have room for a new request
// before it is given up. The rest of a stream is never refused because of an estimate.
func (c *Controller) unreachable(now time.Time, need Need) *Refusal {
	if need.Continued {
		return nil
	}
	at, known := c.roomExpectedAt(now, need)
	if !known {
		return c.refuseByEstimates(now, need)
	}
	if !at.After(need.GiveUpAt) && !c.isQueueTooLong(now, need) {
		return nil
	}
	return &Refusal{Reason: "no replica is expected in time", RetryAfter: min(maxRetryAfter, at.Sub(now))}
}

// isQueueTooLong reports whether a new request would be behind so many others that the mean
// pace decides: a queue of this length keeps the replicas busy whichever request is refused.
func (c *Controller) isQueueTooLong(now time.Time, need Need) bool {
	queue := c.Waiting.Models[need.modelQueueKey()]
	if queue == nil || queue.Waiting < longQueue {
		return false
	}
	pace, count := queue.Pace.Mean(now)
	if count < longQueue {
		return false
	}
	ahead := queue.ahead(need.Workspace, c.ownAhead(need))
	return ahead/pace > longQueueShare*need.GiveUpAt.Sub(now).Seconds()
}

// admission returns a refusal if a new request cannot be served or must not wait.
func (c *Controller) admission(now time.Time, waiter *Waiter) *Refusal {
	lane := waiter.lane
	// The first request of the lane that is given up has been checked since the last
	// change, and one with more time has no reason to be refused that this one lacks.
	checked := len(lane.ByGiveUp) > 0 && c.isCurrent(now, lane) && !waiter.Need.GiveUpAt.Before(lane.ByGiveUp[0].Need.GiveUpAt)
	if !checked {
		if refusal := c.refusalFor(now, waiter); refusal != nil {
			return c.spread(refusal)
		}
	}
	c.reviewOverdue(now)
	if refusal := c.unreachable(now, waiter.Need); refusal != nil {
		return c.spread(c.bookReturn(now, waiter.Need, refusal))
	}
	return nil
}

// refusalFor returns a refusal if waiting cannot help the request, and nil if
// the request may wait.
func (c *Controller) refusalFor(now time.Time, waiter *Waiter) *Refusal {
	refusal := c.whyRefused(now, waiter.Need)
	if refusal != nil && refusal.spread > 0 {
		refusal.RetryAfter += time.Duration(c.Random.Int64N(int64(refusal.spread)))
		refusal.spread = 0
	}
	return refusal
}

// refuseHopeless refuses the waiting requests of a service that can no longer be served.
func (c *Controller) refuseHopeless(now time.Time, service *ServiceQueue) []Effect {
	var effects []Effect
	for _, key := range slices.Sorted(maps.Keys(service.Lanes)) {
		lane := service.Lanes[key]
		for len(lane.ByGiveUp) > 0 && (lane.Rescanned || !now.Before(lane.ByGiveUp[0].Need.GiveUpAt)) {
			waiter := lane.ByGiveUp[0]
			refusal := c.refusalFor(now, waiter)
			if refusal == nil {
				break
			}
			if !now.Before(waiter.Need.GiveUpAt) {
				refusal = c.bookReturn(now, waiter.Need, refusal)
			}
			effects = append(effects, c.refuseWaiter(now, waiter, c.spread(refusal)))
		}
		lane.Rescanned = false
	}
	return effects
}

// refuseUnreachable refuses the waiting requests of a service that are no longer expected to
// be served in time.
func (c *Controller) refuseUnreachable(now time.Time, service *ServiceQueue) []Effect {
	var effects []Effect
	for _, key := range slices.Sorted(maps.Keys(service.Lanes)) {
		lane := service.Lanes[key]
		if now.Sub(lane.ComparedAt) < unreachableCheckInterval {
			continue
		}
		lane.ComparedAt = now
		if !lane.ByGiveUp[0].Need.Continued {
			effects = append(effects, c.refuseTail(now, lane)...)
		}
	}
	return effects
}

// refuseTail refuses the requests of a lane that are not expected to be served in time.
func (c *Controller) refuseTail(now time.Time, lane *Lane) []Effect {
	type flowKey struct {
		rank      int
		workspace string
	}
	c.reviewOverdue(now)
	own := map[flowKey]float64{}
	var effects []Effect
	for _, waiter := range slices.SortedFunc(slices.Values(lane.ByGiveUp), compareInFlow) {
		queue := c.modelQueue(waiter.Need)
		pace, known := queue.pace(now)
		if !known {
			// While no pace is known, only the request that is given up first is compared
			// with the estimates, because each comparison costs a look at all replicas.
			if waiter != lane.ByGiveUp[0] {
				continue
			}
			if refusal := c.refuseByEstimates(now, waiter.Need); refusal != nil {
				effects = append(effects, c.refuseWaiter(now, waiter, c.spread(refusal)))
			}
			continue
		}
		flow := flowKey{waiter.Need.rank(), waiter.Need.Workspace}
		wait := queue.ahead(flow.workspace, own[flow]) / pace
		if wait <= waiter.Need.GiveUpAt.Sub(now).Seconds() {
			own[flow] += waiter.Need.cost()
			continue
		}
		refusal := &Refusal{Reason: "no replica is expected in time", RetryAfter: min(maxRetryAfter, queuer.Seconds(wait))}
		effects = append(effects, c.refuseWaiter(now, waiter, c.spread(c.bookReturn(now, waiter.Need, refusal))))
	}
	return effects
}

func compareInFlow(a, b *Waiter) int {
	if a.entry.Before(b.entry) {
		return -1
	}
	return 1
}

// makeRoom makes room for a new request if the number of waiting requests has reached its
// bound, by shedding another one. It returns a refusal if the new request is the one to be
// shed.
func (c *Controller) makeRoom(now time.Time, need Need) ([]Effect, *Refusal) {
	if len(c.Waiting.ByCall) < maxWaiters {
		return nil, nil
	}
	refusal := &Refusal{Reason: "too many requests wait", RetryAfter: overloadRetryAfter}
	victim, found := c.Waiting.backlogs.Victim(need.rank(), need.Workspace, 1)
	if !found {
		return nil, c.spread(c.bookReturn(now, need, refusal))
	}
	return []Effect{c.refuseWaiter(now, victim, c.spread(c.bookReturn(now, victim.Need, refusal)))}, nil
}

// bookReturn sets the retry delay of a refusal for lack of room. While the pace of the queue is
// known, each caller gets a delay until those that were refused before it have been
// served.
func (c *Controller) bookReturn(now time.Time, need Need, refusal *Refusal) *Refusal {
	queue := c.modelQueue(need)
	pace, known := queue.pace(now)
	if !known {
		return refusal
	}
	at := now.Add(refusal.RetryAfter)
	if at.Before(queue.ReturnAt) {
		at = queue.ReturnAt
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		// All times are taken: spread the callers over the later half.
		refusal.RetryAfter = maxRetryAfter - time.Duration(c.Spread.Int64N(int64(maxRetryAfter/2)))
		return refusal
	}
	refusal.RetryAfter = at.Sub(now)
	queue.ReturnAt = at.Add(queuer.Seconds(need.cost() / (returnShare * pace)))
	return refusal
}

// spread adds a random time to the retry delay of a refusal.
func (c *Controller) spread(refusal *Refusal) *Refusal {
	if refusal.RetryAfter > 0 {
		spread := max(minRetrySpread, min(maxRetrySpread, time.Duration(retrySpreadShare*float64(refusal.RetryAfter))))
		refusal.RetryAfter += time.Duration(c.Spread.Int64N(int64(spread)))
	}
	return refusal
}
