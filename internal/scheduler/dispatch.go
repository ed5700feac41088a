package scheduler

import (
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
)

const (
	// deferredTurn is how often a deferred request goes before prompt ones.
	deferredTurn = 10
	// deferredPatience is how long a deferred request waits for spare
	// capacity before it may take any slot of this node's share. Without it
	// a node without prompt requests of its own, whose turns do not come,
	// would leave its deferred ones behind those of the other nodes.
	deferredPatience = 30 * time.Second
)

// offer gives an endpoint's free slots to the queues that it serves: to prompt
// requests first, then spare capacity to deferred ones.
func (c *Controller) offer(now time.Time, endpoint *Endpoint) {
	if !endpoint.open(now) {
		return
	}
	var queues []*Queue
	for _, queue := range endpoint.queues {
		if queue.Prompt.Waiting > 0 {
			queues = append(queues, queue)
		}
	}
	for len(queues) > 0 && endpoint.open(now) {
		index := c.draw(queues)
		if !c.dispatchPrompt(now, queues[index]) {
			queues = slices.Delete(queues, index, index+1)
		}
	}
	for index := range endpoint.queues {
		queue := endpoint.queues[(endpoint.turn+index)%len(endpoint.queues)]
		for endpoint.open(now) && c.dispatchDeferred(now, queue) {
		}
	}
	endpoint.turn++
}

// draw picks one of the models that share an endpoint at random, by the sum of
// the weights of the workspaces that wait for each. With equal turns the
// workspaces that wait for a model with fewer replicas got less than their
// weight: at 1.5 times the load 9% of the interactive requests within their
// workspace's rate were refused, 83 of 119 early.
func (c *Controller) draw(queues []*Queue) int {
	total := 0.0
	for _, queue := range queues {
		total += queue.Prompt.Weight
	}
	drawn := c.Source.Float64() * total
	for index, queue := range queues {
		if drawn -= queue.Prompt.Weight; drawn < 0 {
			return index
		}
	}
	return len(queues) - 1
}

func (c *Controller) dispatch(now time.Time, queue *Queue) {
	for c.dispatchPrompt(now, queue) {
	}
	for c.dispatchDeferred(now, queue) {
	}
}

// dispatchPrompt gives a slot to the next prompt request, or to the oldest
// deferred one when it is its turn. It returns false when nothing went.
func (c *Controller) dispatchPrompt(now time.Time, queue *Queue) bool {
	if queue.Prompt.Waiting == 0 {
		return false
	}
	if queue.Since >= deferredTurn-1 && queue.Deferred.Waiting > 0 {
		if w := queue.Deferred.Oldest((*Lane).ready); w != nil {
			queue.Since = 0
			return c.send(now, w, false)
		}
	}
	w := queue.Prompt.Next((*Lane).ready)
	if w == nil || !c.send(now, w, false) {
		return false
	}
	queue.Since++
	return true
}

// dispatchDeferred gives spare capacity to the next deferred request.
func (c *Controller) dispatchDeferred(now time.Time, queue *Queue) bool {
	if queue.Deferred.Waiting == 0 {
		return false
	}
	oldest := queue.Deferred.Oldest((*Lane).ready)
	if oldest == nil {
		return false
	}
	if overdue(now, oldest) {
		return c.send(now, oldest, false)
	}
	w := queue.Deferred.Next(func(lane *Lane) bool { return lane.spare(now) })
	return w != nil && c.send(now, w, true)
}

func overdue(now time.Time, w *Waiting) bool {
	return now.Sub(w.Arrived) >= deferredPatience
}

// send gives a request a slot at the endpoint that the router chooses, or
// refuses it if its answer would begin too late there. It returns false when
// no endpoint takes it.
func (c *Controller) send(now time.Time, w *Waiting, spare bool) bool {
	sample := c.sample(now, w, spare)
	if len(sample) == 0 {
		return false
	}
	estimates := make([]router.Estimate, len(sample))
	for index, endpoint := range sample {
		estimates[index] = c.estimate(now, endpoint, w.Admission)
	}
	chosen := router.Choose(estimates, &c.Source)
	if tooLate(now, w, estimates[chosen]) {
		chosen = router.Best(estimates)
	}
	if tooLate(now, w, estimates[chosen]) && sample[chosen].known(now) {
		c.dequeue(w)
		c.refuse(w.Call, filter.DeadlineUnreachable, retryAfter,
			"the first token would come in about %s, after the deadline", estimates[chosen].FirstToken.Round(time.Millisecond))
		return true
	}
	c.grant(now, w, sample[chosen], estimates[chosen], spare)
	return true
}

func tooLate(now time.Time, w *Waiting, estimate router.Estimate) bool {
	return w.Admission.Class == filter.Interactive && now.Add(estimate.FirstToken).After(w.Admission.Deadline)
}

// sample returns the open endpoints among which the router chooses: all, or
// sampleSize in a row from a random place.
func (c *Controller) sample(now time.Time, w *Waiting, spare bool) []*Endpoint {
	lane := w.queue.of(w.Admission.Class).Lanes[laneKey(w.Admission)]
	open := lane.pool.Open
	from := 0
	if len(open) > sampleSize && !spare {
		from = c.Source.IntN(len(open))
	}
	var sample []*Endpoint
	for index := range open {
		endpoint := open[(from+index)%len(open)].Endpoint
		if lane.avoids(endpoint) || spare && !endpoint.spare(now) {
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
		OtherRequests: endpoint.Others.Estimate(now),
		Speed:         endpoint.Speed,
		NetworkDelay:  router.NetworkDelay(c.Self, router.Location{Region: endpoint.Region, DataCentre: endpoint.DataCentre}),
		Failures:      endpoint.Failures,
		PromptTokens:  admission.PromptTokens,
	}
	if admission.Service != "" {
		return router.EstimateCall(candidate)
	}
	candidate.TokensPerSecond = endpoint.Report.TokensPerSecond
	candidate.PrefixHitProbability = endpoint.Locality.HitProbability(admission.Model, admission.Prefix)
	return router.EstimateGeneration(candidate)
}

func (c *Controller) grant(now time.Time, w *Waiting, endpoint *Endpoint, estimate router.Estimate, spare bool) {
	admission := w.Admission
	w.queue.of(admission.Class).Take(w)
	w.queue.Pace.took(now, w.Cost, w.queue.waiting() > 0)
	c.unlink(w)
	c.LastSlot++
	slot := &Slot{ID: c.LastSlot, Call: w.Call, Endpoint: endpoint, Admission: admission, Wait: estimate.Wait}
	slot.Work = router.PromptWork(admission.PromptTokens, endpoint.Locality.HitProbability(admission.Model, admission.Prefix))
	c.Slots[slot.ID] = slot
	c.Granted[w.Call] = slot.ID
	c.use(now, endpoint, 1)
	endpoint.Wanted = endpoint.Wanted || endpoint.InUse >= endpoint.Share.Limit
	c.emit(Grant{Call: w.Call, Slot: filter.Slot{
		ID:       slot.ID,
		Endpoint: endpoint.Name,
		Address:  endpoint.Address,
		Priority: c.priority(now, w, spare),
		Estimate: estimate.FirstToken,
	}})
}

func (c *Controller) use(now time.Time, endpoint *Endpoint, change int) {
	endpoint.InUse += change
	endpoint.History.Record(now, endpoint.InUse)
	c.refresh(now, endpoint)
}

// Priority bands. Within a band lower attained service goes first.
const (
	interactiveBand = iota
	assuredBand
	deferredBand
	bandWidth = 1_000_000
)

// doubling is the part of a band for each doubling of the attained service. A
// band has room for 40 doublings; in single tokens a workspace with 70,000
// tokens a second would have reached its end.
const doubling = bandWidth / 40

// priority is what the endpoint orders its own queue by. A deferred request
// that got a slot out of turn keeps its advantage there.
func (c *Controller) priority(now time.Time, w *Waiting, spare bool) int {
	band := interactiveBand
	switch {
	case w.Admission.Class == filter.Deferred && spare:
		band = deferredBand
	case w.Admission.Class == filter.Deferred:
		band = assuredBand
	case w.Admission.Class == filter.Assured && now.Before(w.due()):
		band = assuredBand
	}
	// An assured request that is due has the interactive priority.
	attained := max(0, c.Attained[w.Admission.Workspace]/w.Admission.Weight)
	return band*bandWidth + int(min(doubling*math.Log2(1+attained), bandWidth-1))
}
