package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// planExtraReplicas queues loads of busy models that have fewer replicas than
// they need.
func (c *Controller) planExtraReplicas(now time.Time) []Effect {
	var effects []Effect
	for _, key := range c.busyModels() {
		engine := c.engine(key.Service)
		if engine == nil {
			continue
		}
		model, ok := engine.Models[key.Model]
		if !ok || c.index.holders[key] >= c.index.wanted[key] {
			continue
		}
		// A copy that its replica's limit holds back does not relieve the others.
		rule := loadRule{AvoidLimits: c.hasUnlimited(key.Service, c.index.saturatedIn[key]), Scope: Scope{DataCentres: c.index.saturatedIn[key]}}
		best, victims := c.cheapestReplica(now, key, engine, model, rule)
		if best == nil && rule.DataCentres != "" && c.index.holders[key] < c.wantedReplicas(now, key) {
			// The full data centres have no room. The rate needs a copy, wherever it is.
			rule.DataCentres = ""
			best, victims = c.cheapestReplica(now, key, engine, model, rule)
		}
		switch {
		case best == nil:
			effects = append(effects, c.noteUnmet(now, key, NoRoom)...)
		case best.tier(model.Name) == FromStore && c.countStoreLoads() >= c.storeConcurrency():
			effects = append(effects, c.noteUnmet(now, key, StoreBusy)...)
		default:
			effects = append(effects, c.queueLoad(best, victims, model, "busy model")...)
		}
	}
	return effects
}

// busyModels returns the models with a wanted number of replicas, highest number
// first.
func (c *Controller) busyModels() []ModelKey {
	keys := make([]ModelKey, 0, len(c.index.wanted))
	for key := range c.index.wanted {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ModelKey) int {
		return cmp.Or(cmp.Compare(c.index.wanted[b], c.index.wanted[a]),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return keys
}

// planPrefetch queues loads of models of which no replica has a copy, so that
// the first request for such a model finds it on a disk.
func (c *Controller) planPrefetch(now time.Time) []Effect {
	if c.countStoreLoads() >= max(1, c.storeConcurrency()-prefetchReserve) {
		return nil
	}
	existing := c.modelsWithCopies()
	var effects []Effect
	for _, service := range c.engineServices() {
		engine := c.engine(service)
		for _, name := range sortedModels(engine) {
			key := ModelKey{service, name}
			if existing[key] {
				continue
			}
			best, victims := c.prefetchTarget(now, key, engine, engine.Models[name])
			if best == nil || c.countStoreLoads() >= max(1, c.storeConcurrency()-prefetchReserve) {
				return effects
			}
			effects = append(effects, c.queueLoad(best, victims, engine.Models[name], "first copy")...)
		}
	}
	return effects
}

// modelsWithCopies returns the models that some replica has loaded, is to load or
// can load without the weight store. Replicas in evacuated data centres do not count.
func (c *Controller) modelsWithCopies() map[ModelKey]bool {
	copied := map[ModelKey]bool{}
	for _, e := range c.Tenure.Endpoints {
		if e.Evacuated {
			continue
		}
		for _, names := range [][]string{e.heldModels(), e.InMemory, e.OnDisk} {
			for _, name := range names {
				copied[ModelKey{e.Entry.Service, name}] = true
			}
		}
	}
	return copied
}

// storeConcurrency returns how many loads from the weight store may run
// concurrently, as estimated from the durations of earlier loads.
func (c *Controller) storeConcurrency() int {
	if c.Tenure.StoreConcurrency == 0 {
		return maxStoreLoads
	}
	return c.Tenure.StoreConcurrency
}

// updateStoreConcurrency lowers the estimated concurrency of the weight store if
// a load took clearly longer than one that runs alone.
func (c *Controller) updateStoreConcurrency(now time.Time, e *Endpoint, operation Operation) {
	engine := c.engine(e.Entry.Service)
	if engine == nil || operation.Tier != FromStore || operation.Adapter != "" {
		return
	}
	soloTime := engine.Models[operation.Model].StoreLoadTime
	ratio := float64(now.Sub(operation.StartedAt)) / float64(max(soloTime, time.Millisecond))
	if ratio > slowLoadRatio {
		concurrency := int(math.Round(float64(operation.ConcurrentStoreLoads) / ratio))
		c.Tenure.StoreConcurrency = min(c.storeConcurrency(), max(1, concurrency))
	}
}

// slowLoadRatio is the duration of a load, relative to one that runs alone, above
// which it counts as slowed down by concurrent loads. The end of a load is
// observed up to half a second late.
const slowLoadRatio = 1.3

// countStoreLoads counts the loads from the weight store that are running, sent
// or queued.
func (c *Controller) countStoreLoads() int {
	count := 0
	for _, e := range c.Tenure.Endpoints {
		if e.Running != nil && e.Running.Load && e.Running.Adapter == "" && e.Running.Tier == FromStore {
			count++
		}
		for _, order := range e.Queue {
			if order.Load && order.Adapter == "" && e.tier(order.Model) == FromStore {
				count++
			}
		}
		if e.Sending != nil && e.Sending.Load && e.Sending.Adapter == "" && e.tier(e.Sending.Model) == FromStore {
			count++
		}
	}
	return count
}

// prefetchTarget returns the idle replica that has the fewest copies on disk and
// can make room for the model, with the models to unload there. While data centres are
// evacuated, none is unloaded: the disks that are left may be too small for all models, and
// copies that displace each other would cost what requests use.
func (c *Controller) prefetchTarget(now time.Time, key ModelKey, engine *resolver.Engine, model resolver.Model) (*Endpoint, []string) {
	var best *Endpoint
	var bestVictims []string
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Entry.Service != key.Service || !e.idle() {
			continue
		}
		victims, _, ok := c.selectVictims(now, e, engine, model, false)
		if len(c.Evacuated) > 0 && len(victims) > 0 {
			continue
		}
		if ok && (best == nil || len(e.OnDisk) < len(best.OnDisk)) {
			best, bestVictims = e, victims
		}
	}
	return best, bestVictims
}

// engineServices returns the sorted names of the services with an engine that
// have replicas.
func (c *Controller) engineServices() []string {
	var services []string
	for _, e := range c.Tenure.Endpoints {
		services = append(services, e.Entry.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

func sortedModels(engine *resolver.Engine) []string {
	if engine == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(engine.Models))
}
