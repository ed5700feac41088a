package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
)

const (
	// suspectCostFactor raises the cost of a replica that other nodes suspect.
	suspectCostFactor = 2
	// limitedCostFactor raises the cost of a replica that has named a limit, so that its
	// requests are left for models that no other replica has.
	limitedCostFactor = 4
	// closedElsewhereCostFactor raises the cost of a replica that wants no requests of
	// another node, and probably takes few of this one.
	closedElsewhereCostFactor = 4
	// goodCostFactor and goodCostMargin are the cost, relative to the lowest, up to which a
	// replica is a good candidate. The other nodes' requests are known 0.25 to 0.5 s late,
	// so that lower costs than that are no reason to send all requests to one replica.
	// Replicas at 0.45 of the usual pace are good, and get fewer requests.
	goodCostFactor = 3
	goodCostMargin = 10 * time.Millisecond
)

// candidate is a replica that a request may be sent to.
type candidate struct {
	replica  *Replica
	estimate estimator.Estimate
	// cost is the estimated time to the first event in nanoseconds, raised where requests
	// are to be kept away from the replica.
	cost float64
	// cached is the number of tokens of the prompt that the replica need not read, and
	// readCost the cost if it had to read them.
	cached   int
	readCost float64
	// order is the rendezvous hash of the beginning of the prompt and the replica.
	order uint64
	// lost is why it is no good candidate, empty for a good one.
	lost Reason
}

// chooseReplica chooses a replica whose limit, if it has one, allows another request, and
// assigns the request to it.
func (c *Controller) chooseReplica(now time.Time, waiter *Waiter) (Placement, bool) {
	for {
		chosen, candidates := c.pickReplica(now, waiter)
		if chosen.replica == nil {
			return Placement{}, false
		}
		replica := chosen.replica
		permit, known := c.permitNeed(now, replica)
		if !known {
			replica.Notice.ThrottledUntil = now.Add(unlistedRetryDelay)
			continue
		}
		if !c.takeOfLimit(now, replica) {
			// The replica is not usable until ThrottledUntil.
			continue
		}
		c.assign(now, replica, waiter.Call, waiter.Need, chosen.cached)
		placement := Placement{
			ID:         waiter.Call,
			Replica:    replica.Description.ID,
			Address:    replica.Description.Address,
			StartedMS:  replica.Description.StartedMS,
			Version:    replica.Description.Version,
			Limited:    replica.Notice.RateLimit > 0 || permit != nil,
			Permit:     permit,
			Returning:  replica.Notice.MaxReturning > 0,
			Candidates: candidates,
			Cached:     chosen.cached,
			Waited:     now.Sub(waiter.Since),
		}
		if chosen.estimate.Learnt {
			placement.Expected, placement.ExpectedEnd = chosen.estimate.FirstEvent, chosen.estimate.End
		}
		c.markCold(now, replica, &placement)
		return placement, true
	}
}

// pickReplica picks one of the good candidates. Its replica is nil if none is usable. It
// also returns the number of usable replicas.
func (c *Controller) pickReplica(now time.Time, waiter *Waiter) (candidate, int) {
	need := waiter.Need
	usable := c.findCandidates(now, waiter)
	if len(c.candidates) == 0 {
		return candidate{}, 0
	}
	c.reviewOverdue(now)
	reference := c.Estimator.Reference(need.work())
	c.rateCandidates(now, need, &reference)
	if one := c.pickForBeginning(now, need, &reference, c.hasRoomForBeginning); one != nil {
		return *one, usable
	}
	return c.drawCandidate(need.LateAt.Sub(now)), usable
}

// findCandidates sets the candidates: the usable replicas, without the suspect ones if there
// are others. It returns the number of usable replicas.
func (c *Controller) findCandidates(now time.Time, waiter *Waiter) int {
	need := waiter.Need
	key := modelKey{need.Model, need.Adapter}
	c.candidates = c.candidates[:0]
	usable, onlySuspects := 0, true
	avoidanceOver := now.Sub(waiter.Since) > avoidanceTimeout
	for _, replica := range c.holders(need.Service, need.Model) {
		if !c.isUsable(now, replica, need, key) {
			continue
		}
		suspect := replica.isSuspect(now)
		if !avoidanceOver && c.shouldAvoid(now, need, replica.Description.ID, suspect) {
			continue
		}
		usable++
		if onlySuspects && !suspect {
			onlySuspects, c.candidates = false, c.candidates[:0]
		}
		if suspect == onlySuspects {
			c.candidates = append(c.candidates, candidate{replica: replica})
		}
	}
	return usable
}

// rateCandidates sets the estimates and the costs of the candidates. Reference is that of the
// request.
func (c *Controller) rateCandidates(now time.Time, need Need, reference *estimator.Reference) {
	for i := range c.candidates {
		one := &c.candidates[i]
		one.cached = c.cachedTokens(now, one.replica, need)
		one.estimate = c.estimate(now, one.replica, reference, one.cached)
		one.cost = one.replica.cost(now, one.estimate)
		one.readCost = one.cost
		if one.cached > 0 {
			one.readCost = one.replica.cost(now, c.estimate(now, one.replica, reference, 0))
		}
	}
}

// drawCandidate draws one of the good candidates. Each one's probability is in proportion to
// its free capacity and to its speed, so that nodes which do not know of each other's
// requests yet spread them together. lateIn is the time until the request is late.
func (c *Controller) drawCandidate(lateIn time.Duration) candidate {
	good, total := c.compareCandidates(lateIn)
	if good == 1 {
		return c.candidates[0]
	}
	rest := c.Random.Float64() * total
	for _, one := range c.candidates[:good-1] {
		if rest -= one.weight(); rest < 0 {
			return one
		}
	}
	return c.candidates[good-1]
}

// compareCandidates moves the good candidates to the front and sets why the others lose. It
// returns the number of good ones, of which there is at least one, and the sum of their
// weights.
func (c *Controller) compareCandidates(lateIn time.Duration) (int, float64) {
	lowest := math.Inf(1)
	for _, one := range c.candidates {
		lowest = min(lowest, one.readCost)
	}
	bound := goodCostFactor*lowest + float64(goodCostMargin)
	// A candidate in time that is too costly is no reason to leave out those that are late:
	// none would be left.
	inTime := slices.ContainsFunc(c.candidates, func(one candidate) bool {
		return one.cost <= bound && one.estimate.FirstEvent <= lateIn
	})
	total, good := 0.0, 0
	for i := range c.candidates {
		one := &c.candidates[i]
		switch {
		case one.cost > bound:
			one.lost = TooCostly
		case inTime && one.estimate.Known && one.estimate.FirstEvent > lateIn:
			one.lost = TooLate
		default:
			if good != i {
				c.candidates[good], c.candidates[i] = c.candidates[i], c.candidates[good]
			}
			total += c.candidates[good].weight()
			good++
		}
	}
	return good, total
}

// weight returns the candidate's weight in a draw.
func (o *candidate) weight() float64 { return o.replica.free() / o.cost }

// holderKey identifies a model of a service. The model is empty for plain services.
type holderKey struct{ service, model string }

// holders returns the replicas of the service that have the model or are loading it, sorted
// by ID.
func (c *Controller) holders(service, model string) []*Replica {
	key := holderKey{service, model}
	if holders, ok := c.Holders[key]; ok {
		return holders
	}
	var holders []*Replica
	for _, id := range c.sortedIDs() {
		if replica := c.Replicas[id]; replica.Description.Service == service && (model == "" || replica.mayHave(model)) {
			holders = append(holders, replica)
		}
	}
	if c.Holders == nil {
		c.Holders = map[holderKey][]*Replica{}
	}
	if len(holders) > 0 {
		// Callers may name any number of models that no replica has.
		c.Holders[key] = holders
	}
	return holders
}

// shouldAvoid reports whether a request should wait rather than be sent to the
// replica: either the replica has failed this request before, or it is suspect
// and the holder can have the model loaded elsewhere.
func (c *Controller) shouldAvoid(now time.Time, need Need, id string, suspect bool) bool {
	return slices.Contains(need.Excluded, id) || suspect && need.Model != "" && c.ordersAllowed(now)
}

func (c *Controller) isUsable(now time.Time, replica *Replica, need Need, key modelKey) bool {
	return c.whyUnusable(now, replica, need, key) == ""
}

// whyUnusable returns why the request may not be sent to the replica now, or "" if it may.
func (c *Controller) whyUnusable(now time.Time, replica *Replica, need Need, key modelKey) Reason {
	switch {
	case !need.allows(replica.Description):
		return NotAllowed
	case replica.isLeaving():
		return Leaving
	case replica.Description.Evacuated:
		return Evacuated
	case !c.fits(now, need, replica.Description.Version):
		return OtherVersion
	case replica.isClosed(now):
		return Closed
	case !replica.mayReopen():
		return Reopening
	case now.Before(replica.RefusedUntil):
		return RefusedRecently
	case now.Before(replica.Notice.ThrottledUntil):
		return AtLimit
	case need.Model == "":
		if replica.load() >= maxPlainLoad {
			return Full
		}
		return ""
	case replica.isFull():
		return Full
	case !replica.canServe(now, key):
		return ModelNotReady
	}
	return ""
}

// cost returns the estimated time to the first event, raised where requests are to be kept
// away from the replica.
func (r *Replica) cost(now time.Time, estimate estimator.Estimate) float64 {
	cost := float64(max(estimate.FirstEvent, 1)) * (1 + r.failures(now))
	if now.Before(r.SuspectedUntil) {
		cost *= suspectCostFactor
	}
	if r.Notice.RateLimit > 0 {
		cost *= limitedCostFactor
	}
	if now.Before(r.Notice.ClosedElsewhereUntil) {
		cost *= closedElsewhereCostFactor
	}
	return cost
}

// sortedIDs returns the IDs of the replicas in sorted order, so that steps are
// deterministic.
func (c *Controller) sortedIDs() []string {
	if c.SortedIDs == nil {
		c.SortedIDs = slices.Sorted(maps.Keys(c.Replicas))
	}
	return c.SortedIDs
}
