package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// storeAtOnce is the largest number of loads from the weight store at a
	// time. Beyond the number that run at full speed, which the store does not
	// tell, each takes longer in proportion and none is done sooner.
	maxStoreLoads = 4
	// prefetchReserve is the part of these places that stays free for models
	// that requests wait for.
	prefetchReserve = 1
	// tokensPerReplica is the number of tokens a second above which a model
	// gets another replica: a third of what a replica reads at full speed.
	tokenRatePerReplica = 12000
	// busyRate is the rate of requests above which a model has two replicas,
	// so that the loss of one does not stop it.
	busyRequestRate = 2
	// loadDelay is the shortest time that a loaded model stays.
	minResidency = 300 * time.Millisecond
	// recentUse is the time since the last use under which a model counts as
	// wanted again soon.
	recentUseWindow = 2 * time.Second
	// copiesEvery is the time between two looks at busy models and at models
	// without a copy.
	copiesPlanInterval = 100 * time.Millisecond
	// pressure is how long requests that found all replicas of a model full
	// call for another one: about the time to load it.
	saturationLifetime = 900 * time.Millisecond
	// adapterReserve is the number of adapter places that stay free.
	adapterReserve = 1
)

// outlook is what planning looks up again and again, worked out once for each
// look at the placement.
type planIndex struct {
	// suspects are the replicas that fail requests of live nodes.
	suspects map[string]bool
	// demanded are the models that requests wait for.
	demanded map[ModelKey]bool
	// holders counts the replicas that hold or will hold each model, and
	// wanted how many a busy model needs.
	holders, wanted map[ModelKey]int
}

func (c *Controller) buildIndex(now time.Time) planIndex {
	index := planIndex{
		suspects: map[string]bool{}, demanded: map[ModelKey]bool{}, holders: map[ModelKey]int{}, wanted: map[ModelKey]int{},
	}
	for _, peer := range c.Tenure.Peers {
		if now.Sub(peer.LastReportAt) < peerReportTimeout {
			for _, id := range peer.Suspects {
				index.suspects[id] = true
			}
		}
	}
	for key := range c.Tenure.Demand {
		index.demanded[key.ModelKey] = true
	}
	for _, e := range c.Tenure.Endpoints {
		if !e.Synced || e.Entry.Leaving {
			continue
		}
		for _, name := range e.heldModels() {
			index.holders[ModelKey{e.Entry.Service, name}]++
		}
	}
	for key := range c.Tenure.Rates {
		if wanted := c.wantedReplicas(now, key); wanted > 0 {
			index.wanted[key] = wanted
		}
	}
	for key, at := range c.Tenure.SaturatedAt {
		if now.Sub(at) < saturationLifetime {
			index.wanted[key] = max(index.wanted[key], index.holders[key]+1)
		} else {
			delete(c.Tenure.SaturatedAt, key)
		}
	}
	return index
}

// plan queues the orders that the demand calls for.
func (c *Controller) plan(now time.Time) []Effect {
	c.expireDemand(now)
	c.index = c.buildIndex(now)
	var effects []Effect
	for _, key := range c.sortedDemands(now) {
		if key.Adapter != "" {
			effects = append(effects, c.planAdapter(now, key)...)
		} else {
			effects = append(effects, c.planModel(now, key.ModelKey)...)
		}
	}
	if now.Sub(c.Tenure.CopiesPlannedAt) < copiesPlanInterval {
		return effects
	}
	c.Tenure.CopiesPlannedAt = now
	effects = append(effects, c.planExtraReplicas(now)...)
	return append(effects, c.planPrefetch(now)...)
}

func (c *Controller) expireDemand(now time.Time) {
	for key, waiting := range c.Tenure.Demand {
		if now.Sub(waiting.LastReportAt) > demandLifetime || !now.Before(waiting.ExpiresAt) || c.satisfied(key) {
			delete(c.Tenure.Demand, key)
		}
	}
}

// satisfied says whether a sound replica has what requests wait for.
func (c *Controller) satisfied(key DemandKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Entry.Service != key.Service || e.Entry.Leaving || !e.Synced || c.index.suspects[id] {
			continue
		}
		if resident := e.Models[key.Model]; resident != nil && !e.unloading(key.Model) {
			if _, ok := resident.Adapters[key.Adapter]; ok || key.Adapter == "" {
				return true
			}
		}
	}
	return false
}

// demands returns what is waited for. What can still be in time comes first,
// by the time that is left; when the replicas cannot load all of it, serving
// what is late already would make the rest late too.
func (c *Controller) sortedDemands(now time.Time) []DemandKey {
	keys := make([]DemandKey, 0, len(c.Tenure.Demand))
	for key := range c.Tenure.Demand {
		keys = append(keys, key)
	}
	late := func(key DemandKey) int {
		if now.After(c.Tenure.Demand[key].LateAt) {
			return 1
		}
		return 0
	}
	slices.SortFunc(keys, func(a, b DemandKey) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), c.Tenure.Demand[a].LateAt.Compare(c.Tenure.Demand[b].LateAt),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return keys
}

// planModel queues the load of a model that no replica has.
func (c *Controller) planModel(now time.Time, key ModelKey) []Effect {
	engine := c.engine(key.Service)
	if engine == nil {
		return nil
	}
	model, ok := engine.Models[key.Model]
	if !ok || c.hasHealthyHolder(key) {
		return nil
	}
	best, victims := c.cheapestReplica(now, key, engine, model, false)
	if best == nil && c.filledByBusyModels(key, engine, model) {
		best, victims = c.cheapestReplica(now, key, engine, model, true)
	}
	if best == nil || best.tier(model.Name) == FromStore && (c.hasLocalCopy(key) || c.countStoreLoads() >= c.storeConcurrency()) {
		return nil
	}
	return c.queueLoad(best, victims, model, "requests wait")
}

// copyComing says whether a replica that is busy now has a copy of the model,
// so that waiting for it takes less time than the weight store.
func (c *Controller) hasLocalCopy(key ModelKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Entry.Service == key.Service && !e.Entry.Leaving && e.Synced && e.tier(key.Model) != FromStore && !c.index.suspects[id] {
			return true
		}
	}
	return false
}

// sound says whether a replica that fails no requests has a model or loads it.
func (c *Controller) hasHealthyHolder(key ModelKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Entry.Service == key.Service && e.Synced && !e.Entry.Leaving && e.holdsOrLoads(key.Model) && !c.index.suspects[id] {
			return true
		}
	}
	return false
}

// wanted returns how many replicas a busy model needs, 0 for a rare one.
func (c *Controller) wantedReplicas(now time.Time, key ModelKey) int {
	rate := c.Tenure.Rates[key]
	if rate == nil {
		return 0
	}
	factor := max(0, 1-float64(now.Sub(rate.UsedAt))/float64(rateWindow))
	requests, tokens := rate.Requests*factor, rate.Tokens*factor
	if requests < busyRequestRate {
		return 0
	}
	return max(2, int(math.Ceil(tokens/tokenRatePerReplica)))
}
