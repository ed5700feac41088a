package scheduler

import (
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
)

const (
	// deferredGrantInterval is the number of grants of which one goes to a
	// deferred request while foreground requests are waiting.
	deferredGrantInterval = 10
	// maxDeferredWait is how long a deferred request waits for spare capacity
	// before it may take any slot of this node's share. Without this limit, the
	// deferred requests of a node that has no foreground requests, and so never
	// reaches deferredGrantInterval, would starve behind the requests of other
	// nodes.
	maxDeferredWait = 30 * time.Second
)

// assignFreeSlots assigns an endpoint's free slots to the queues it serves:
// first to foreground requests, then spare capacity to deferred requests.
func (c *Controller) assignFreeSlots(now time.Time, endpoint *Endpoint) {
	if !endpoint.isOpen(now) {
		return
	}
	var queues []*Queue
	for _, queue := range endpoint.queues {
		if queue.Foreground.Waiting > 0 {
			queues = append(queues, queue)
		}
	}
	for len(queues) > 0 && endpoint.isOpen(now) {
		index := c.pickQueue(queues)
		if !c.dispatchForeground(now, queues[index]) {
			queues = slices.Delete(queues, index, index+1)
		}
	}
	for index := range endpoint.queues {
		queue := endpoint.queues[(endpoint.nextQueue+index)%len(endpoint.queues)]
		for endpoint.isOpen(now) && c.dispatchDeferred(now, queue) {
		}
	}
	endpoint.nextQueue++
}

// pickQueue picks at random one of the models that share an endpoint, weighted
// by the sum of the weights of the workspaces waiting for each. Round-robin
// gave the workspaces that wait for a model with fewer replicas less than their
// weight: at 1.5 times the load, 9% of the interactive requests within their
// workspace's rate were refused, 83 of 119 of them early.
func (c *Controller) pickQueue(queues []*Queue) int {
	total := 0.0
	for _, queue := range queues {
		total += queue.Foreground.Weight()
	}
	remaining := c.Random.Float64() * total
	for index, queue := range queues {
		if remaining -= queue.Foreground.Weight(); remaining < 0 {
			return index
		}
	}
	return len(queues) - 1
}

func (c *Controller) dispatch(now time.Time, queue *Queue) {
	for c.dispatchForeground(now, queue) {
	}
	for c.dispatchDeferred(now, queue) {
	}
}

// dispatchForeground grants a slot to the next foreground request, or to the
// oldest deferred request once per deferredGrantInterval. It returns false if
// no request left the queue.
func (c *Controller) dispatchForeground(now time.Time, queue *Queue) bool {
	if queue.Foreground.Waiting == 0 {
		return false
	}
	if queue.ForegroundGrants >= deferredGrantInterval-1 && queue.Deferred.Waiting > 0 {
		if oldest := queue.Deferred.Oldest((*WaitingRequest).hasOpenEndpoint); oldest != nil {
			queue.ForegroundGrants = 0
			return c.grantOrRefuse(now, oldest.Value, false)
		}
	}
	next := queue.Foreground.Next((*WaitingRequest).hasOpenEndpoint)
	if next == nil || !c.grantOrRefuse(now, next.Value, false) {
		return false
	}
	queue.ForegroundGrants++
	return true
}

// dispatchDeferred grants spare capacity to the next deferred request, or any
// slot to one that has waited for maxDeferredWait. It returns false if no
// request left the queue.
func (c *Controller) dispatchDeferred(now time.Time, queue *Queue) bool {
	if queue.Deferred.Waiting == 0 {
		return false
	}
	oldest := queue.Deferred.Oldest((*WaitingRequest).hasOpenEndpoint)
	if oldest == nil {
		return false
	}
	if waitedTooLong(now, oldest.Value) {
		return c.grantOrRefuse(now, oldest.Value, false)
	}
	next := queue.Deferred.Next(func(w *WaitingRequest) bool { return w.hasSpareCapacity(now) })
	return next != nil && c.grantOrRefuse(now, next.Value, true)
}

func waitedTooLong(now time.Time, w *WaitingRequest) bool {
	return now.Sub(w.Arrived) >= maxDeferredWait
}

// grantOrRefuse grants a request a slot at the endpoint that the router
// chooses, or refuses it if its first token would arrive there after its
// deadline. It returns false if no endpoint accepts the request.
func (c *Controller) grantOrRefuse(now time.Time, w *WaitingRequest, spareOnly bool) bool {
	sample := c.sampleEndpoints(now, w, spareOnly)
	if len(sample) == 0 {
		return false
	}
	estimates := make([]router.Estimate, len(sample))
	for index, endpoint := range sample {
		estimates[index] = c.estimate(now, endpoint, w.Admission)
	}
	chosen := router.Choose(estimates, &c.Random)
	if missesDeadline(now, w, estimates[chosen]) {
		chosen = router.Best(estimates)
	}
	if missesDeadline(now, w, estimates[chosen]) && sample[chosen].hasRecentSpeed(now) {
		c.dequeue(w)
		c.refuse(w.Call, filter.DeadlineUnreachable, retryAfterHint,
			"the first token would come in about %s, after the deadline", estimates[chosen].FirstToken.Round(time.Millisecond))
		return true
	}
	c.grant(now, w, sample[chosen], estimates[chosen], spareOnly)
	return true
}

func missesDeadline(now time.Time, w *WaitingRequest, estimate router.Estimate) bool {
	return w.Admission.Class == filter.Interactive && now.Add(estimate.FirstToken).After(w.Admission.Deadline)
}

// sampleEndpoints returns the open endpoints among which the router chooses:
// all of them, or sampleSize consecutive ones from a random offset.
func (c *Controller) sampleEndpoints(now time.Time, w *WaitingRequest, spareOnly bool) []*Endpoint {
	open := w.demand.Pool.Open
	start := 0
	if len(open) > sampleSize && !spareOnly {
		start = c.Random.IntN(len(open))
	}
	var sample []*Endpoint
	for index := range open {
		endpoint := open[(start+index)%len(open)].Endpoint
		if w.avoids(endpoint) || spareOnly && !endpoint.hasSpareCapacity(now) {
			continue
		}
		if sample = append(sample, endpoint); len(sample) == sampleSize {
			break
		}
	}
	return sample
}

func (c *Controller) estimate(now time.Time, endpoint *Endpoint, admission filter.Admission) router.Estimate {
	candidate := router.Candidate{
		Slots:         endpoint.slots(),
		OwnRequests:   endpoint.InUse,
		OtherRequests: endpoint.OtherLoad.Estimate(now),
		Speed:         endpoint.Speed,
		NetworkDelay:  router.NetworkDelay(c.Location, router.Location{Region: endpoint.Region, DataCentre: endpoint.DataCentre}),
		Failures:      endpoint.Failures,
		PromptTokens:  admission.PromptTokens,
	}
	if admission.Service != "" {
		return router.EstimateCall(candidate)
	}
	candidate.TokensPerSecond = endpoint.Report.TokensPerSecond
	candidate.PrefixHitProbability = endpoint.PrefixCache.HitProbability(admission.Model, admission.Prefix)
	return router.EstimateGeneration(candidate)
}

func (c *Controller) grant(now time.Time, w *WaitingRequest, endpoint *Endpoint, estimate router.Estimate, spareOnly bool) {
	admission := w.Admission
	w.queue.fairQueue(admission.Class).Serve(w.queueEntry)
	w.queue.GrantPace.Record(now, w.Cost, w.queue.waitingCount() > 0)
	c.removeFromIndexes(w)
	c.LastSlotID++
	slot := &Slot{ID: c.LastSlotID, Call: w.Call, Endpoint: endpoint, Admission: admission, ExpectedWait: estimate.Wait}
	slot.ComputedPromptTokens = router.PromptWork(admission.PromptTokens, endpoint.PrefixCache.HitProbability(admission.Model, admission.Prefix))
	c.Slots[slot.ID] = slot
	c.SlotByCall[w.Call] = slot.ID
	c.adjustInUse(now, endpoint, 1)
	endpoint.ShareExhausted = endpoint.ShareExhausted || endpoint.InUse >= endpoint.Share.Limit
	c.emit(Grant{Call: w.Call, Slot: filter.Slot{
		ID:       slot.ID,
		Endpoint: endpoint.Name,
		Address:  endpoint.Address,
		Priority: c.priority(now, w, spareOnly),
		Estimate: estimate.FirstToken,
	}})
}

func (c *Controller) adjustInUse(now time.Time, endpoint *Endpoint, change int) {
	endpoint.InUse += change
	endpoint.InUseHistory.Record(now, endpoint.InUse)
	c.updateOpen(now, endpoint)
}

// Priority bands. Within a band, lower attained service has priority.
const (
	interactiveBand = iota
	assuredBand
	deferredBand
	bandWidth = 1_000_000
)

// priorityPerDoubling is the part of a band for each doubling of the attained
// service. A band holds 40 doublings. A linear scale in single tokens would
// reach the end of the band at 70,000 tokens/s for one workspace.
const priorityPerDoubling = bandWidth / 40

// priority returns the value by which the endpoint orders its own queue. A
// deferred request that was granted a regular slot instead of spare capacity
// also gets a higher priority there.
func (c *Controller) priority(now time.Time, w *WaitingRequest, spareOnly bool) int {
	band := interactiveBand
	switch {
	case w.Admission.Class == filter.Deferred && spareOnly:
		band = deferredBand
	case w.Admission.Class == filter.Deferred:
		band = assuredBand
	case w.Admission.Class == filter.Assured && now.Before(w.due()):
		band = assuredBand
	}
	// An assured request that is due has interactive priority.
	attained := max(0, c.AttainedService[w.Admission.Workspace]/w.Admission.Weight)
	return band*bandWidth + int(min(priorityPerDoubling*math.Log2(1+attained), bandWidth-1))
}
