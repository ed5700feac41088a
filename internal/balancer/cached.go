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
	// minUnknownTokens is the same for services whose replicas do not report what they keep.
	minUnknownTokens = 1000
	// keptShare is the part of the requests for which a replica is expected to keep a
	// beginning that nodes without knowledge send to it. Beginnings change and are
	// displaced, so that with 1 slow replicas are chosen that read most of them anew.
	keptShare = 2.0 / 3
	// maxTries is the number of candidates that are tried in rendezvous order. Each try
	// looks at all candidates.
	maxTries = 16
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
// to have room, the one on which all nodes agree. Both are taken in rendezvous order, so that
// a beginning is kept by more replicas only while the first ones have no room for its
// requests, as hasRoom decides.
func (c *Controller) pickForBeginning(now time.Time, need Need, reference *estimator.Reference, hasRoom func(*Replica) bool) *candidate {
	if len(need.Parts) == 0 || len(c.candidates) < 2 {
		return nil
	}
	least := minSavedTokens
	if c.Caches.Tokens[need.Service] == 0 {
		least = minUnknownTokens
	}
	if need.sharedTokens() < least {
		return nil
	}
	most := 0
	for i := range c.candidates {
		one := &c.candidates[i]
		one.setOrder(need)
		most = max(most, one.cached)
	}
	if most >= minSavedTokens {
		if keeper := c.pickKeeper(most, need.LateAt.Sub(now), hasRoom); keeper != nil {
			return keeper
		}
	} else {
		most = math.MaxInt
	}
	return c.pickReader(now, need, most, reference, hasRoom)
}

// next returns the first candidate in rendezvous order after the one with the order below that
// does or does not keep the beginning, or nil if there is none.
func (c *Controller) next(below uint64, most int, keeps bool) *candidate {
	var next *candidate
	for i := range c.candidates {
		if one := &c.candidates[i]; one.keeps(most) == keeps && one.order < below && (next == nil || one.order > next.order) {
			next = one
		}
	}
	return next
}

// pickReader returns the first candidate in rendezvous order that does not keep the beginning,
// has room and would be the best one if it kept the beginning for keptShare of the requests.
func (c *Controller) pickReader(now time.Time, need Need, most int, reference *estimator.Reference, hasRoom func(*Replica) bool) *candidate {
	lowest := math.Inf(1)
	for i := range c.candidates {
		if one := &c.candidates[i]; !one.keeps(most) {
			lowest = min(lowest, one.cost)
		}
	}
	below := uint64(math.MaxUint64)
	for range maxTries {
		next := c.next(below, most, false)
		if next == nil {
			break
		}
		replica := next.replica
		saved := replica.cost(now, c.estimate(now, replica, reference, need.sharedTokens()))
		if keptShare*saved+(1-keptShare)*next.cost <= lowest && hasRoom(replica) {
			return next
		}
		below = next.order
	}
	return nil
}

// pickKeeper returns the first candidate in rendezvous order that keeps the beginning, has room
// and is no slower than one that would read it anew.
func (c *Controller) pickKeeper(most int, lateIn time.Duration, hasRoom func(*Replica) bool) *candidate {
	lowestKeeper, lowestReader, inTime := math.Inf(1), math.Inf(1), false
	for i := range c.candidates {
		if one := &c.candidates[i]; one.keeps(most) {
			lowestKeeper = min(lowestKeeper, one.cost)
			inTime = inTime || one.estimate.FirstEvent <= lateIn
		} else {
			lowestReader = min(lowestReader, one.cost)
		}
	}
	bound := min(lowestReader, goodCostFactor*lowestKeeper+float64(goodCostMargin))
	below := uint64(math.MaxUint64)
	for range maxTries {
		next := c.next(below, most, true)
		if next == nil {
			break
		}
		late := inTime && next.estimate.Known && next.estimate.FirstEvent > lateIn
		if next.cost <= bound && !late && hasRoom(next.replica) {
			return next
		}
		below = next.order
	}
	return nil
}

// keeps reports whether the candidate keeps about as much as the one that keeps most.
func (o *candidate) keeps(most int) bool { return o.cached > most-minSavedTokens }

func (o *candidate) setOrder(need Need) {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(need.Parts[0].ID)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(o.replica.Description.ID)
	o.order = hash.Sum64()
}

// hasRoomForAll reports whether the replica gets all requests whose beginning it keeps.
func (r *Replica) hasRoomForAll() bool { return r.load() < fullKeepingLoad }

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
// that it had kept the shared parts although that was not known, the observation is
// corrected, so that the difference is not attributed to the replica's speed. There is no
// correction in the other direction: it would hide that replicas have become slow.
func (c *Controller) recordRead(now time.Time, read *assignment, observation *estimator.Observation) {
	need, description := &read.need, read.replica.Description
	capacity := c.Caches.Tokens[need.Service]
	if len(need.Parts) == 0 || capacity == 0 || observation.FirstEvent == 0 || observation.FirstEventObserved {
		return
	}
	if speed := c.Estimator.Replicas[description.ID]; read.cached == 0 && speed != nil && speed.StartedMS == description.StartedMS {
		shared := need.sharedTokens()
		reference := c.Estimator.Reference(need.work())
		usual := &estimator.Speed{Factor: speed.Factor, ObservedAt: speed.ObservedAt, Published: speed.Published}
		expected := reference.AtCached(now, usual, read.load, 0)
		kept := reference.AtCached(now, usual, read.load, shared)
		if expected.Known && expected.Learnt && deviation(observation.FirstEvent, kept) < deviation(observation.FirstEvent, expected) {
			observation.Work.CachedTokens = shared
		}
	}
	if current := c.Replicas[description.ID]; current == nil || !current.Description.Has(need.Model, need.Adapter) {
		// The replica releases the model, and with it what it has kept.
		return
	}
	c.Caches.Beliefs.Read(now, description.ID, description.StartedMS, need.cacheKey(), need.Parts, need.SharedParts, capacity)
}

// applyCached adopts what other nodes know of caches. The newest changes come first, and are
// applied last, so that they are forgotten last.
func (c *Controller) applyCached(now time.Time, changes []cacher.Change) {
	for i := len(changes) - 1; i >= 0; i-- {
		change := changes[i]
		// A node that starts learns of replicas later than of what they keep.
		capacity := math.MaxInt
		if replica := c.Replicas[change.Replica]; replica != nil {
			if replica.Description.StartedMS != change.StartedMS || !replica.Description.Has(change.Model, change.Adapter) {
				continue
			}
			capacity = c.Caches.Tokens[replica.Description.Service]
		}
		c.Caches.Beliefs.Apply(now, change, capacity)
	}
}

// recordEvents adopts what a replica has reported of its cache.
func (c *Controller) recordEvents(now time.Time, message CacheEvents) {
	if message.Gap {
		c.Caches.Beliefs.Drop(message.Replica, message.StartedMS)
	}
	c.Caches.Beliefs.Observe(now, message.Replica, message.StartedMS, message.Events)
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
