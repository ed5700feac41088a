package planner

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
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
	if len(c.Evacuated) == 0 {
		return nil
	}
	var effects []Effect
	for _, item := range c.evacuatedItems(now) {
		engine := c.engine(item.Service)
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
		(c.hasLocalCopy(now, item.ModelKey, "", engine, model) || c.countStoreLoads() >= max(1, c.storeConcurrency()-prefetchReserve)) {
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
	usedAt := map[DemandKey]time.Time{}
	for _, e := range c.Tenure.Endpoints {
		if e.Evacuated {
			e.addHeld(usedAt)
		}
	}
	if len(usedAt) == 0 {
		return nil
	}
	c.removeAdaptersElsewhere(usedAt)
	items := make([]evacuatedItem, 0, len(usedAt))
	for key, at := range usedAt {
		switch {
		case key.Adapter != "":
			items = append(items, evacuatedItem{key, c.Tenure.AdapterRates[key].at(now), at})
		case c.index.holders[key.ModelKey] == 0:
			items = append(items, evacuatedItem{key, c.Tenure.Rates[key.ModelKey].at(now), at})
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
func (e *Endpoint) addHeld(usedAt map[DemandKey]time.Time) {
	add := func(model, adapter string, at time.Time) {
		key := DemandKey{ModelKey: ModelKey{e.Entry.Service, model}, Adapter: adapter}
		usedAt[key] = later(usedAt[key], at)
	}
	if !e.Synced {
		for _, loaded := range e.Entry.Models {
			add(loaded.Name, "", time.Time{})
			for _, adapter := range loaded.Adapters {
				add(loaded.Name, adapter, time.Time{})
			}
		}
		return
	}
	for model, resident := range e.Models {
		if e.unloading(model) {
			continue
		}
		add(model, "", resident.UsedAt)
		for adapter, at := range resident.Adapters {
			add(model, adapter, at)
		}
	}
}

// removeAdaptersElsewhere removes the adapters that replicas outside the evacuated data
// centres hold or load.
func (c *Controller) removeAdaptersElsewhere(usedAt map[DemandKey]time.Time) {
	for _, e := range c.Tenure.Endpoints {
		if e.isExcluded() || !e.Synced {
			continue
		}
		for model, resident := range e.Models {
			for adapter := range resident.Adapters {
				delete(usedAt, DemandKey{ModelKey: ModelKey{e.Entry.Service, model}, Adapter: adapter})
			}
		}
		remove := func(order Order) {
			if order.Load && order.Adapter != "" {
				delete(usedAt, DemandKey{ModelKey: ModelKey{e.Entry.Service, order.Model}, Adapter: order.Adapter})
			}
		}
		for _, order := range e.Queue {
			remove(order)
		}
		if e.Sending != nil {
			remove(*e.Sending)
		}
		if e.Running != nil {
			remove(e.Running.Order)
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
