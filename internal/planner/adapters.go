package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// planAdapter queues the load of an adapter on a replica that has loaded its
// model. Without such a replica it plans the load of the model.
func (c *Controller) planAdapter(now time.Time, key DemandKey) []Effect {
	engine := c.engine(key.Service)
	if engine == nil {
		return nil
	}
	best, held := c.adapterReplica(key)
	switch {
	case held:
		return nil
	case best == nil:
		return c.planModel(now, key)
	}
	return c.queueAdapter(best, engine, key)
}

// adapterReplica returns the replica on which an adapter is to be loaded, nil if none has
// loaded its model, and whether a replica holds or loads the adapter already.
func (c *Controller) adapterReplica(key DemandKey) (best *Endpoint, held bool) {
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Entry.Service != key.Service || !key.allows(e) || e.isExcluded() || !e.Synced || c.index.suspects[id] || c.holdsBack(e, key) {
			continue
		}
		if e.holdsAdapter(key.Model, key.Adapter) {
			return nil, true
		}
		resident := e.Models[key.Model]
		if resident == nil || e.unloading(key.Model) || e.Running != nil && e.Running.Adapter == "" {
			continue
		}
		if best == nil || len(e.Queue)*10+e.adapterCount() < len(best.Queue)*10+best.adapterCount() {
			best = e
		}
	}
	return best, false
}

// queueAdapter queues the load of an adapter, preceded by the unload of the least
// recently used one if slots or memory run short.
func (c *Controller) queueAdapter(e *Endpoint, engine *resolver.Engine, key DemandKey) []Effect {
	if e.lacksAdapterRoom(engine, key.Model) {
		victim, ok := e.leastRecentlyUsedAdapter()
		if !ok {
			return nil
		}
		e.Queue = append(e.Queue, victim)
	}
	c.Tenure.TableStale = true
	e.Queue = append(e.Queue, Order{Load: true, Model: key.Model, Adapter: key.Adapter})
	return []Effect{Note{Text: "adapter load planned", Replica: e.Entry.ID, Model: key.Model + "/" + key.Adapter}}
}

// lacksAdapterRoom reports whether slots or memory run short for another adapter of a model.
func (e *Endpoint) lacksAdapterRoom(engine *resolver.Engine, model string) bool {
	planned := e.adapterCount()
	for _, order := range e.Queue {
		switch {
		case order.Adapter == "":
		case order.Load:
			planned++
		default:
			planned--
		}
	}
	free := engine.MemoryMB - e.memoryUsed(engine)
	return planned+adapterReserve >= engine.AdapterSlots || free < 2*engine.Models[model].AdapterMB
}

// leastRecentlyUsedAdapter returns the order that unloads the least recently used
// adapter, and false if there is none to unload.
func (e *Endpoint) leastRecentlyUsedAdapter() (Order, bool) {
	var oldest Order
	var usedAt time.Time
	for model, resident := range e.Models {
		for adapter, at := range resident.Adapters {
			order := Order{Model: model, Adapter: adapter}
			if e.hasOrder(order) {
				continue
			}
			if oldest.Model == "" || at.Before(usedAt) || at.Equal(usedAt) && model+adapter < oldest.Model+oldest.Adapter {
				oldest, usedAt = order, at
			}
		}
	}
	return oldest, oldest.Model != ""
}
