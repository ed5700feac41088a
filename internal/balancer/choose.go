package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// chooseReplica chooses the replica with the lowest estimated cost whose limit, if it
// has one, allows another request, and assigns the request to it.
func (c *Controller) chooseReplica(now time.Time, waiter *Waiter) (Placement, bool) {
	for {
		best, candidates := c.cheapestReplica(now, waiter)
		if best == nil {
			return Placement{}, false
		}
		if !c.takeOfLimit(now, best) {
			// The replica is not usable until ThrottledUntil.
			continue
		}
		c.assign(best, waiter.Call, waiter.Need)
		placement := Placement{
			ID:         waiter.Call,
			Replica:    best.Description.ID,
			Address:    best.Description.Address,
			StartedMS:  best.Description.StartedMS,
			Version:    best.Description.Version,
			Limited:    best.Notice.RateLimit > 0,
			Returning:  best.Notice.MaxReturning > 0,
			Expected:   best.Latency,
			Candidates: candidates,
			Waited:     now.Sub(waiter.Since),
		}
		c.markCold(now, best, &placement)
		return placement, true
	}
}

// cheapestReplica returns the usable replica with the lowest estimated cost, nil if
// there is none, and the number of usable replicas.
func (c *Controller) cheapestReplica(now time.Time, waiter *Waiter) (*Replica, int) {
	need := waiter.Need
	key := modelKey{need.Model, need.Adapter}
	var best *Replica
	bestCost := math.Inf(1)
	bestSuspect := false
	candidates := 0
	affinityID := c.affinityReplica(now, need, key)
	avoidanceOver := now.Sub(waiter.Since) > avoidanceTimeout
	for _, id := range c.sortedIDs() {
		replica := c.Replicas[id]
		suspect := replica.isSuspect(now)
		if !c.isUsable(now, replica, need, key) || !avoidanceOver && c.shouldAvoid(now, need, id, suspect) {
			continue
		}
		candidates++
		cost := c.cost(now, replica) * (1 + costJitter*c.Random.Float64())
		if id == affinityID {
			cost *= affinityCostFactor
		}
		if best == nil || bestSuspect && !suspect || suspect == bestSuspect && cost < bestCost {
			best, bestCost, bestSuspect = replica, cost, suspect
		}
	}
	return best, candidates
}

// shouldAvoid reports whether a request should wait rather than be sent to the
// replica: either the replica has failed this request before, or it is suspect
// and the holder can have the model loaded elsewhere.
func (c *Controller) shouldAvoid(now time.Time, need Need, id string, suspect bool) bool {
	return slices.Contains(need.Excluded, id) || suspect && need.Model != "" && c.ordersAllowed(now)
}

func (c *Controller) isUsable(now time.Time, replica *Replica, need Need, key modelKey) bool {
	switch {
	case !need.allows(replica.Description), replica.isExcluded():
		return false
	case !c.fits(need, replica.Description.Version):
		return false
	case replica.isClosed(now), !replica.mayReopen():
		return false
	case now.Before(replica.RefusedUntil), now.Before(replica.Notice.ThrottledUntil):
		return false
	case need.Model == "":
		return replica.load() < maxPlainLoad
	}
	return !replica.isFull() && replica.canServe(now, key)
}

// fits reports whether a replica with a software version may begin the stream, or go on
// with it.
func (c *Controller) fits(need Need, version string) bool {
	if need.Continued {
		return version == need.Version
	}
	versions, limited := c.Beginning[need.Service]
	return !need.Stream || !limited || slices.Contains(versions, version)
}

// cost estimates the time to the first byte, in arbitrary units.
func (c *Controller) cost(now time.Time, replica *Replica) float64 {
	latency := replica.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	cost := float64(latency) * (1 + 3*replica.load()) * (1 + replica.failures(now))
	if now.Before(replica.SuspectedUntil) {
		cost *= suspectCostFactor
	}
	if replica.Notice.RateLimit > 0 {
		cost *= limitedCostFactor
	}
	if c.isCold(now, replica) {
		cost *= coldCostFactor
	}
	if now.Before(replica.Notice.ClosedElsewhereUntil) {
		cost *= closedElsewhereCostFactor
	}
	return cost
}

// affinityReplica returns the ID of the replica preferred for requests that
// share a long prompt prefix: the usable one with the highest rendezvous hash.
// It is empty if there is none.
func (c *Controller) affinityReplica(now time.Time, need Need, key modelKey) string {
	if need.Affinity == "" {
		return ""
	}
	first, firstWeight := "", uint64(0)
	for _, id := range c.sortedIDs() {
		if !c.isUsable(now, c.Replicas[id], need, key) {
			continue
		}
		if weight := xxhash.Sum64String(need.Affinity + "\x00" + id); first == "" || weight > firstWeight {
			first, firstWeight = id, weight
		}
	}
	return first
}

// sortedIDs returns the IDs of the replicas in sorted order, so that steps are
// deterministic.
func (c *Controller) sortedIDs() []string {
	if c.SortedIDs == nil {
		c.SortedIDs = slices.Sorted(maps.Keys(c.Replicas))
	}
	return c.SortedIDs
}

func (c *Controller) assign(replica *Replica, id runner.Call, need Need) {
	returning := replica.Notice.MaxReturning > 0
	if returning {
		replica.Notice.Returning++
	}
	c.Assignments[id] = &assignment{replica: replica, need: need, returning: returning}
	replica.Running[need.Model]++
	if need.Model == "" {
		return
	}
	key := useKey{need.Service, modelKey{need.Model, need.Adapter}}
	use := c.Uses[key]
	if use == nil {
		use = &planner.Use{Service: need.Service, Model: need.Model, Adapter: need.Adapter}
		c.Uses[key] = use
	}
	use.Count++
	use.Tokens += need.Tokens
}
