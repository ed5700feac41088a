package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/estimator"
)

const (
	// minSavedTokens is the number of tokens from which a beginning affects the choice: an
	// engine reads 200 tokens in about a step of its batch.
	minSavedTokens = 200
	// fullKeepingLoad is the load of a replica up to which it gets all requests whose
	// beginning it keeps, and maxKeepingLoad that from which it gets them only by the draw.
	// In between a part of them is drawn, so that nodes which hear of each other's
	// requests late do not all change at once.
	fullKeepingLoad = 0.6
	maxKeepingLoad  = 0.95
)

// Caches is what the node knows of the key-value caches of replicas.
type Caches struct {
	Beliefs *cacher.Beliefs
	// Tokens is how many tokens a replica keeps, by service. Services whose replicas do
	// not report what they keep are left out: for them, nothing is believed.
	Tokens map[string]int
}

func newCaches() Caches { return Caches{Beliefs: cacher.NewBeliefs()} }

// cacheKey returns the model whose caches the request can use.
func (n *Need) cacheKey() cacher.ModelKey { return cacher.ModelKey{Model: n.Model, Adapter: n.Adapter} }

// cachedTokens returns the number of tokens of the prompt that the replica is believed to keep.
func (c *Controller) cachedTokens(now time.Time, replica *Replica, need Need) int {
	if len(need.Parts) == 0 || c.Caches.Tokens[need.Service] == 0 {
		return 0
	}
	cached := c.Caches.Beliefs.CachedTokens(now, replica.Description.ID, need.cacheKey(), need.Parts)
	return min(cached, need.PromptTokens)
}

// sharedTokens returns the number of tokens at the beginning of the prompt that other requests
// may share. A prompt with a single part may share it with others of its session.
func (n *Need) sharedTokens() int {
	total := 0
	for i, part := range n.Parts {
		if i == 0 || i < n.SharedParts {
			total += part.Tokens
		}
	}
	return min(total, n.PromptTokens)
}

// pickForBeginning returns the candidate that is preferred because of the beginning of the
// prompt, or nil if the draw decides: the first of those that keep it, or, if none is known
// to, the one on which all nodes agree. Both are taken in rendezvous order, so that a
// beginning is kept by more replicas only while the first ones have no room for its requests.
func (c *Controller) pickForBeginning(now time.Time, need Need, reference *estimator.Reference) *candidate {
	if len(need.Parts) == 0 || len(c.candidates) < 2 || need.sharedTokens() < minSavedTokens {
		return nil
	}
	most := 0
	for i := range c.candidates {
		most = max(most, c.candidates[i].cached)
	}
	if most < minSavedTokens {
		return c.pickFirstReader(now, need, reference)
	}
	return c.pickKeeper(need, most, need.LateAt.Sub(now))
}

// pickFirstReader returns the candidate that is first in rendezvous order, if it would be the
// best one if it kept the beginning.
func (c *Controller) pickFirstReader(now time.Time, need Need, reference *estimator.Reference) *candidate {
	lowest := math.Inf(1)
	var first *candidate
	for i := range c.candidates {
		one := &c.candidates[i]
		lowest = min(lowest, one.cost)
		one.setOrder(need)
		if first == nil || one.order > first.order {
			first = one
		}
	}
	replica := first.replica
	saved := replica.cost(now, reference.AtCached(now, replica.Speed, replica.currentLoad(), need.sharedTokens()))
	if saved <= lowest && c.hasRoomForBeginning(replica) {
		return first
	}
	return nil
}

// pickKeeper returns the first candidate in rendezvous order that keeps the beginning, has room
// and is no slower than one that would read it anew.
func (c *Controller) pickKeeper(need Need, most int, lateIn time.Duration) *candidate {
	lowestKeeper, lowestReader, inTime := math.Inf(1), math.Inf(1), false
	for i := range c.candidates {
		one := &c.candidates[i]
		if one.keeps(most) {
			one.setOrder(need)
			lowestKeeper = min(lowestKeeper, one.cost)
			inTime = inTime || one.estimate.FirstEvent <= lateIn
		} else {
			lowestReader = min(lowestReader, one.cost)
		}
	}
	bound := min(lowestReader, goodCostFactor*lowestKeeper+float64(goodCostMargin))
	for below := uint64(math.MaxUint64); ; {
		var next *candidate
		for i := range c.candidates {
			if one := &c.candidates[i]; one.keeps(most) && one.order < below && (next == nil || one.order > next.order) {
				next = one
			}
		}
		if next == nil {
			return nil
		}
		late := inTime && next.estimate.Known && next.estimate.FirstEvent > lateIn
		if next.cost <= bound && !late && c.hasRoomForBeginning(next.replica) {
			return next
		}
		below = next.order
	}
}

// keeps reports whether the candidate keeps about as much as the one that keeps most.
func (o *candidate) keeps(most int) bool { return o.cached > most-minSavedTokens }

func (o *candidate) setOrder(need Need) {
	o.order = xxhash.Sum64String(need.Parts[0].ID + "\x00" + o.replica.Description.ID)
}

// hasRoomForBeginning decides whether the replica gets a request because of its beginning.
func (c *Controller) hasRoomForBeginning(replica *Replica) bool {
	load := replica.load()
	switch {
	case load < fullKeepingLoad:
		return true
	case load >= maxKeepingLoad:
		return false
	}
	return c.Random.Float64()*(maxKeepingLoad-fullKeepingLoad) < maxKeepingLoad-load
}

// recordRead records that the replica has read the prompt. If the time to the first event shows
// that it had kept more or less of it than was believed, the observation is corrected, so
// that the difference is not attributed to the replica's speed.
func (c *Controller) recordRead(now time.Time, read *assignment, observation *estimator.Observation) {
	need, description := &read.need, read.replica.Description
	capacity := c.Caches.Tokens[need.Service]
	if len(need.Parts) == 0 || capacity == 0 || observation.FirstEvent == 0 || observation.FirstEventObserved {
		return
	}
	speed := c.Estimator.Replicas[description.ID]
	if speed == nil || speed.StartedMS != description.StartedMS {
		return
	}
	other := 0
	if read.cached == 0 {
		other = need.sharedTokens()
	}
	reference := c.Estimator.Reference(need.work())
	usual := &estimator.Speed{Factor: speed.Factor, ObservedAt: speed.ObservedAt, Published: speed.Published}
	expected := reference.AtCached(now, usual, read.load, read.cached)
	otherwise := reference.AtCached(now, usual, read.load, other)
	if expected.Known && expected.Learnt && deviation(observation.FirstEvent, otherwise) < deviation(observation.FirstEvent, expected) {
		observation.Work.CachedTokens = other
	}
	c.Caches.Beliefs.Confirm(now, description.ID, description.StartedMS, need.cacheKey(), need.Parts, capacity)
}

// deviation returns the logarithm of the factor between the measured and the estimated time.
func deviation(measured time.Duration, estimate estimator.Estimate) float64 {
	return math.Abs(math.Log(float64(measured) / float64(max(estimate.FirstEvent, 1))))
}

// retainBeliefs forgets what replicas kept that have ended or no longer have the model.
func (c *Controller) retainBeliefs() {
	for id := range c.Caches.Beliefs.Replicas {
		if replica := c.Replicas[id]; replica == nil {
			c.Caches.Beliefs.Forget(id)
		} else {
			c.Caches.Beliefs.Retain(id, replica.Description.StartedMS, replica.Description.Has)
		}
	}
}
