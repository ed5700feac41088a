package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// loadRule selects the replicas that may load a model and what they may unload.
type loadRule struct {
	// EvictSpares allows spare copies of busy models to be unloaded.
	EvictSpares bool
	// AvoidLimits excludes replicas that have named a limit.
	AvoidLimits bool
	// Scope excludes all other replicas.
	Scope
	// MayEvict reports whether a model may be unloaded. nil stands for all those that need
	// not be kept.
	MayEvict func(e *Endpoint, model string) bool
}

// meets reports whether a replica may load a model under the rule.
func (c *Controller) meets(e *Endpoint, rule loadRule) bool {
	return rule.allows(e) && !(rule.AvoidLimits && c.hasLimit(e))
}

// cheapestReplica returns the idle replica that can load a model at the lowest
// cost under the rule, with the models to unload there. The replica is nil if there is
// none.
func (c *Controller) cheapestReplica(now time.Time, key ModelKey, engine *resolver.Engine, model resolver.Model, rule loadRule) (*Endpoint, []string) {
	var best *Endpoint
	var bestVictims []string
	bestCost := time.Duration(math.MaxInt64)
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Entry.Service != key.Service || !c.meets(e, rule) || !e.idle() || e.holdsOrLoads(model.Name) || c.index.suspects[id] {
			continue
		}
		victims, loss, ok := c.selectVictims(now, e, engine, model, rule.EvictSpares)
		if !ok || rule.MayEvict != nil && slices.ContainsFunc(victims, func(victim string) bool { return !rule.MayEvict(e, victim) }) {
			continue
		}
		cost := loadTime(model, e.tier(model.Name)) + loss
		if c.hasLimit(e) {
			cost += limitedReplicaCost
		}
		if cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	return best, bestVictims
}

// selectVictims returns the models to unload to make room for another one, withdrawn ones
// and then the least recently used first, and the cost of their loss as a time. Models with
// running requests come last. The result is false if the room does not suffice.
func (c *Controller) selectVictims(now time.Time, e *Endpoint, engine *resolver.Engine, model resolver.Model, evictSpares bool) ([]string, time.Duration, bool) {
	free := engine.MemoryMB - e.memoryUsed(engine)
	if free >= model.MemoryMB {
		return nil, 0, true
	}
	names := make([]string, 0, len(e.Models))
	for name := range e.Models {
		if !c.mustKeep(now, e, name, evictSpares) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(compareBool(isListed(engine, a), isListed(engine, b)), compareBool(c.hasRunningRequests(e, a), c.hasRunningRequests(e, b)),
			e.Models[a].UsedAt.Compare(e.Models[b].UsedAt), cmp.Compare(a, b))
	})
	var victims []string
	var loss time.Duration
	for _, name := range names {
		if free >= model.MemoryMB {
			break
		}
		resident := e.Models[name]
		free += resident.memory(engine, name)
		victims = append(victims, name)
		if c.hasRunningRequests(e, name) {
			loss += 400 * time.Millisecond
		}
		if now.Sub(resident.UsedAt) < recentUseWindow {
			loss += 100 * time.Millisecond
		}
		loss += 10 * time.Millisecond
	}
	return victims, loss, free >= model.MemoryMB
}

// isListed reports whether the configuration lists a model. The engine is nil if the
// configuration does not list the service, of which replicas may remain for a while.
func isListed(engine *resolver.Engine, name string) bool {
	if engine == nil {
		return false
	}
	_, ok := engine.Models[name]
	return ok
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// mustKeep reports whether a model must stay loaded on a replica, because requests
// wait for it, it was loaded within minResidency, or it has no replica to spare.
func (c *Controller) mustKeep(now time.Time, e *Endpoint, name string, evictSpares bool) bool {
	key := ModelKey{e.Entry.Service, name}
	if !isListed(c.engine(e.Entry.Service), name) {
		return false
	}
	if now.Sub(e.Models[name].LoadedAt) < minResidency {
		return true
	}
	if c.index.demanded[key] || c.index.heldBack[key] && !c.hasLimit(e) {
		return true
	}
	if evictSpares {
		return c.index.wanted[key] > 0 && c.replicasLike(e, key) <= 1
	}
	return c.hasNoSpareReplica(e, name)
}

// hasNoSpareReplica reports whether a model is busy and has no more replicas than
// it needs.
func (c *Controller) hasNoSpareReplica(e *Endpoint, name string) bool {
	key := ModelKey{e.Entry.Service, name}
	wanted := c.index.wanted[key]
	return wanted > 0 && c.replicasLike(e, key) <= wanted
}

// filledByBusyModels reports whether busy models take so much memory on every
// replica of the service that may load the model that it would never fit.
func (c *Controller) filledByBusyModels(key ModelKey, rule loadRule, engine *resolver.Engine, model resolver.Model) bool {
	for _, e := range c.Tenure.Endpoints {
		if e.Entry.Service != key.Service || !c.meets(e, rule) || e.isExcluded() {
			continue
		}
		available := engine.MemoryMB - e.memoryUsed(engine)
		for name := range e.Models {
			if !c.hasNoSpareReplica(e, name) {
				available += e.Models[name].size(engine, name).MemoryMB
			}
		}
		if !e.Synced || available >= model.MemoryMB {
			return false
		}
	}
	return true
}

// queueLoad queues the unloads of the victims and the load of a model.
func (c *Controller) queueLoad(e *Endpoint, victims []string, model resolver.Model, reason string) []Effect {
	c.Tenure.TableStale = true
	for _, victim := range victims {
		e.Queue = append(e.Queue, Order{Model: victim})
		c.countHolder(e, victim, -1)
	}
	c.countHolder(e, model.Name, 1)
	e.Queue = append(e.Queue, Order{Load: true, Model: model.Name})
	text := "load planned"
	if e.tier(model.Name) == FromStore {
		text = "load from the weight store planned"
	}
	return []Effect{Note{Text: text, Replica: e.Entry.ID, Model: model.Name, Reason: reason}}
}
