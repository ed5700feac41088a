package planner

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// evacuatedPlanInterval is the interval between passes over what only evacuated
	// replicas hold, for each replica of the fleet. A pass takes up to 47 ms with 10,000
	// replicas of 3 models and 12 adapters, and 0.1 ms with 97.
	evacuatedPlanInterval = 200 * time.Microsecond
	// maxEvacuatedVisits bounds the replicas that are considered as places in a pass, over
	// all models and adapters. The most requested of them go first.
	maxEvacuatedVisits = 200_000
)

// displacingRateRatio is how many times as often something must be requested as what it
// displaces. With a ratio of 1, two models of about the same rate would displace each other
// again and again where only one has room.
const displacingRateRatio = 2

// evacuatedItem is a model or an adapter that only replicas in evacuated data centres hold.
type evacuatedItem struct {
	DemandKey
	// Rate is in requests a second, and UsedAt the time of the last known use.
	Rate   float64
	UsedAt time.Time
}

// handleEvacuationsListed replaces the evacuated data centres.
func (c *Controller) handleEvacuationsListed(message EvacuationsListed) {
	same := slices.Equal(c.Evacuated, message.DataCentres)
	c.Evacuated, c.EvacuationsAsOf = message.DataCentres, message.CurrentAsOf
	if same || c.Tenure == nil {
		return
	}
	for _, e := range c.Tenure.Endpoints {
		e.Evacuated = c.isEvacuated(e.Entry)
	}
}

func (c *Controller) isEvacuated(replica surveyor.Replica) bool {
	return slices.Contains(c.Evacuated, replica.DataCentre)
}

// isExcluded reports whether the endpoint gets no loads and serves no new requests, because
// it leaves or its data centre is evacuated.
func (e *Endpoint) isExcluded() bool { return e.Entry.Leaving || e.Evacuated }

// planEvacuated queues loads of what only evacuated replicas hold, before requests wait for
// it, the most requested first. A replica loads one thing at a time, so that a request for
// something else need not wait for long.
func (c *Controller) planEvacuated(now time.Time) []Effect {
	count := len(c.Tenure.Endpoints)
	if len(c.Evacuated) == 0 || now.Sub(c.Tenure.EvacuatedPlannedAt) < time.Duration(count)*evacuatedPlanInterval {
		return nil
	}
	c.Tenure.EvacuatedPlannedAt = now
	items := c.evacuatedItems(now)
	var effects []Effect
	for _, item := range items[:min(len(items), maxEvacuatedVisits/max(1, count))] {
		engine := c.engine(item.Service)
		if engine == nil {
			continue
		}
		switch model, ok := engine.Models[item.Model]; {
		case !ok:
		case item.Adapter == "":
			effects = append(effects, c.planEvacuatedModel(now, item, engine, model)...)
		default:
			effects = append(effects, c.planEvacuatedAdapter(now, item, engine)...)
		}
	}
	return effects
}

func (c *Controller) planEvacuatedModel(now time.Time, item evacuatedItem, engine *resolver.Engine, model resolver.Model) []Effect {
	mayEvict := func(e *Endpoint, name string) bool { return c.mayDisplaceModel(now, item, e, name) }
	best, victims := c.cheapestReplica(now, item.ModelKey, engine, model, loadRule{MayEvict: mayEvict})
	if best == nil {
		return nil
	}
	if best.tier(model.Name) == FromStore &&
		(c.hasLocalCopy(now, item.ModelKey, loadRule{}, engine, model) || c.countStoreLoads() >= max(1, c.storeConcurrency()-prefetchReserve)) {
		return nil
	}
	return c.queueLoad(best, victims, model, "only in evacuated data centres")
}

// planEvacuatedAdapter queues the load of an adapter on an idle replica that has loaded its
// model.
func (c *Controller) planEvacuatedAdapter(now time.Time, item evacuatedItem, engine *resolver.Engine) []Effect {
	var best *Endpoint
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Entry.Service != item.Service || !e.idle() || e.Models[item.Model] == nil || c.index.suspects[id] {
			continue
		}
		if e.lacksAdapterRoom(engine, item.Model) && !c.mayDisplaceAdapter(now, item, e) {
			continue
		}
		if best == nil || e.adapterCount() < best.adapterCount() {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return c.queueAdapter(best, engine, item.DemandKey)
}

// mayDisplaceModel reports whether a model may be unloaded from a replica to make room for
// one that only evacuated replicas hold.
func (c *Controller) mayDisplaceModel(now time.Time, item evacuatedItem, e *Endpoint, name string) bool {
	key := ModelKey{e.Entry.Service, name}
	switch {
	case !isListed(c.engine(e.Entry.Service), name):
		return true
	case c.hasRunningRequests(e, name):
		return false
	case c.index.holders[key] > 1:
		return true
	}
	return item.outranks(c.Tenure.Rates[key].at(now), e.Models[name].UsedAt)
}

// mayDisplaceAdapter does the same for the least recently used adapter of a replica.
func (c *Controller) mayDisplaceAdapter(now time.Time, item evacuatedItem, e *Endpoint) bool {
	victim, ok := e.leastRecentlyUsedAdapter()
	if !ok {
		return false
	}
	rate := c.Tenure.AdapterRates[DemandKey{ModelKey: ModelKey{e.Entry.Service, victim.Model}, Adapter: victim.Adapter}]
	return item.outranks(rate.at(now), e.Models[victim.Model].Adapters[victim.Adapter])
}

// outranks reports whether the item is requested clearly more than something with the given
// rate and last use. Of two that are not requested at present, the last use decides.
func (i evacuatedItem) outranks(rate float64, usedAt time.Time) bool {
	if i.Rate > 0 || rate > 0 {
		return i.Rate > displacingRateRatio*rate
	}
	return i.UsedAt.After(usedAt.Add(recentUseWindow))
}

// evacuatedItems returns the models and adapters of engines that only evacuated replicas
// hold, the most requested first.
func (c *Controller) evacuatedItems(now time.Time) []evacuatedItem {
	models, adapters := map[ModelKey]time.Time{}, map[ModelKey]map[string]time.Time{}
	for _, e := range c.Tenure.Endpoints {
		if e.Evacuated {
			e.addHeld(models, adapters)
		}
	}
	c.removeAdaptersElsewhere(adapters)
	var items []evacuatedItem
	for key, at := range models {
		if c.index.holders[key] == 0 {
			items = append(items, evacuatedItem{DemandKey{ModelKey: key}, c.Tenure.Rates[key].at(now), at})
		}
	}
	for model, names := range adapters {
		for name, at := range names {
			key := DemandKey{ModelKey: model, Adapter: name}
			items = append(items, evacuatedItem{key, c.Tenure.AdapterRates[key].at(now), at})
		}
	}
	slices.SortFunc(items, func(a, b evacuatedItem) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), b.UsedAt.Compare(a.UsedAt),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return items
}

// addHeld adds the models and adapters that the endpoint holds, with the latest known use.
// Of a replica whose report has not been read, they are those of its entry in the store.
func (e *Endpoint) addHeld(models map[ModelKey]time.Time, adapters map[ModelKey]map[string]time.Time) {
	addAdapter := func(key ModelKey, adapter string, at time.Time) {
		if adapters[key] == nil {
			adapters[key] = map[string]time.Time{}
		}
		adapters[key][adapter] = later(adapters[key][adapter], at)
	}
	if !e.Synced {
		for _, loaded := range e.Entry.Models {
			key := ModelKey{e.Entry.Service, loaded.Name}
			models[key] = later(models[key], time.Time{})
			for _, adapter := range loaded.Adapters {
				addAdapter(key, adapter, time.Time{})
			}
		}
		return
	}
	for name, resident := range e.Models {
		if e.unloading(name) {
			continue
		}
		key := ModelKey{e.Entry.Service, name}
		models[key] = later(models[key], resident.UsedAt)
		for adapter, at := range resident.Adapters {
			addAdapter(key, adapter, at)
		}
	}
}

// removeAdaptersElsewhere removes the adapters that replicas outside the evacuated data
// centres hold or load. Models without adapters left are removed, so that the work for most
// replicas of a large fleet is a look-up for each of their models.
func (c *Controller) removeAdaptersElsewhere(adapters map[ModelKey]map[string]time.Time) {
	for _, e := range c.Tenure.Endpoints {
		if len(adapters) == 0 {
			return
		}
		if e.isExcluded() || !e.Synced {
			continue
		}
		remove := func(model, adapter string) {
			key := ModelKey{e.Entry.Service, model}
			if delete(adapters[key], adapter); len(adapters[key]) == 0 {
				delete(adapters, key)
			}
		}
		for model, resident := range e.Models {
			if adapters[ModelKey{e.Entry.Service, model}] == nil {
				continue
			}
			for adapter := range resident.Adapters {
				remove(model, adapter)
			}
		}
		for _, order := range e.Queue {
			if order.Load {
				remove(order.Model, order.Adapter)
			}
		}
		if e.Sending != nil && e.Sending.Load {
			remove(e.Sending.Model, e.Sending.Adapter)
		}
		if e.Running != nil && e.Running.Load {
			remove(e.Running.Model, e.Running.Adapter)
		}
	}
}

// at returns the requests per second at a time, 0 for an unknown rate.
func (r *Rate) at(now time.Time) float64 {
	if r == nil {
		return 0
	}
	return r.Requests * max(0, 1-float64(now.Sub(r.UsedAt))/float64(rateWindow))
}
