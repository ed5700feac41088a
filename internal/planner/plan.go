package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// storeAtOnce is the largest number of loads from the weight store at a
	// time. Beyond the number that run at full speed, which the store does not
	// tell, each takes longer in proportion and none is done sooner.
	storeAtOnce = 4
	// prefetchReserve is the part of these places that stays free for models
	// that requests wait for.
	prefetchReserve = 1
	// tokensPerReplica is the number of tokens a second above which a model
	// gets another replica: a third of what a replica reads at full speed.
	tokensPerReplica = 12000
	// busyRate is the rate of requests above which a model has two replicas,
	// so that the loss of one does not stop it.
	busyRate = 2
	// loadDelay is the shortest time that a loaded model stays.
	loadDelay = 300 * time.Millisecond
	// recentUse is the time since the last use under which a model counts as
	// wanted again soon.
	recentUse = 2 * time.Second
	// copiesEvery is the time between two looks at busy models and at models
	// without a copy.
	copiesEvery = 100 * time.Millisecond
	// pressure is how long requests that found all replicas of a model full
	// call for another one: about the time to load it.
	pressure = 900 * time.Millisecond
	// adapterReserve is the number of adapter places that stay free.
	adapterReserve = 1
)

// outlook is what planning looks up again and again, worked out once for each
// look at the placement.
type outlook struct {
	// suspects are the replicas that fail requests of live nodes.
	suspects map[string]bool
	// demanded are the models that requests wait for.
	demanded map[ModelKey]bool
	// holders counts the replicas that hold or will hold each model, and
	// wanted how many a busy model needs.
	holders, wanted map[ModelKey]int
}

func (c *Controller) look(now time.Time) outlook {
	o := outlook{
		suspects: map[string]bool{}, demanded: map[ModelKey]bool{}, holders: map[ModelKey]int{}, wanted: map[ModelKey]int{},
	}
	for _, peer := range c.Tenure.Peers {
		if now.Sub(peer.HeardAt) < peerTimeout {
			for _, id := range peer.Suspects {
				o.suspects[id] = true
			}
		}
	}
	for key := range c.Tenure.Demand {
		o.demanded[key.ModelKey] = true
	}
	for _, e := range c.Tenure.Endpoints {
		if !e.Known || e.Listed.Leaving {
			continue
		}
		for _, name := range e.held() {
			o.holders[ModelKey{e.Listed.Service, name}]++
		}
	}
	for key := range c.Tenure.Rates {
		if wanted := c.wanted(now, key); wanted > 0 {
			o.wanted[key] = wanted
		}
	}
	for key, at := range c.Tenure.Pressed {
		if now.Sub(at) < pressure {
			o.wanted[key] = max(o.wanted[key], o.holders[key]+1)
		} else {
			delete(c.Tenure.Pressed, key)
		}
	}
	return o
}

// plan queues the orders that the demand calls for.
func (c *Controller) plan(now time.Time) []Effect {
	c.expireDemand(now)
	c.outlook = c.look(now)
	var effects []Effect
	for _, key := range c.demands(now) {
		if key.Adapter != "" {
			effects = append(effects, c.planAdapter(now, key)...)
		} else {
			effects = append(effects, c.planModel(now, key.ModelKey)...)
		}
	}
	if now.Sub(c.Tenure.CopiesAt) < copiesEvery {
		return effects
	}
	c.Tenure.CopiesAt = now
	effects = append(effects, c.planCopies(now)...)
	return append(effects, c.planPrefetch(now)...)
}

func (c *Controller) expireDemand(now time.Time) {
	for key, waiting := range c.Tenure.Demand {
		if now.Sub(waiting.HeardAt) > demandLifetime || !now.Before(waiting.GiveUpAt) || c.satisfied(key) {
			delete(c.Tenure.Demand, key)
		}
	}
}

// satisfied says whether a sound replica has what requests wait for.
func (c *Controller) satisfied(key DemandKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Listed.Service != key.Service || e.Listed.Leaving || !e.Known || c.outlook.suspects[id] {
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
func (c *Controller) demands(now time.Time) []DemandKey {
	keys := make([]DemandKey, 0, len(c.Tenure.Demand))
	for key := range c.Tenure.Demand {
		keys = append(keys, key)
	}
	late := func(key DemandKey) int {
		if now.After(c.Tenure.Demand[key].InTimeUntil) {
			return 1
		}
		return 0
	}
	slices.SortFunc(keys, func(a, b DemandKey) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), c.Tenure.Demand[a].InTimeUntil.Compare(c.Tenure.Demand[b].InTimeUntil),
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
	if !ok || c.sound(key) {
		return nil
	}
	best, victims := c.cheapest(now, key, engine, model)
	if best == nil || best.tier(model.Name) == FromStore && (c.copyComing(key) || c.storeLoading() >= c.storePlaces()) {
		return nil
	}
	return c.queueLoad(best, victims, model, "requests wait")
}

// copyComing says whether a replica that is busy now has a copy of the model,
// so that waiting for it takes less time than the weight store.
func (c *Controller) copyComing(key ModelKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Listed.Service == key.Service && !e.Listed.Leaving && e.Known && e.tier(key.Model) != FromStore && !c.outlook.suspects[id] {
			return true
		}
	}
	return false
}

// sound says whether a replica that fails no requests has a model or loads it.
func (c *Controller) sound(key ModelKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Listed.Service == key.Service && e.Known && !e.Listed.Leaving && e.holds(key.Model) && !c.outlook.suspects[id] {
			return true
		}
	}
	return false
}

// cheapest returns the idle replica that has a model soonest, with the models
// that must go there.
func (c *Controller) cheapest(now time.Time, key ModelKey, engine *resolver.Engine, model resolver.Model) (*Endpoint, []string) {
	var best *Endpoint
	var bestVictims []string
	bestCost := time.Duration(math.MaxInt64)
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Listed.Service != key.Service || !e.idle() || e.holds(model.Name) || c.outlook.suspects[id] {
			continue
		}
		victims, loss, ok := c.makeRoom(now, e, engine, model)
		if !ok {
			continue
		}
		cost := loadTime(model, e.tier(model.Name)) + loss
		if cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	return best, bestVictims
}

// makeRoom returns the models to unload for another one, the least recently
// used first, and what their loss costs as a time.
func (c *Controller) makeRoom(now time.Time, e *Endpoint, engine *resolver.Engine, model resolver.Model) ([]string, time.Duration, bool) {
	free := engine.MemoryMB - e.used(engine)
	if free >= model.MemoryMB {
		return nil, 0, true
	}
	names := make([]string, 0, len(e.Models))
	for name := range e.Models {
		if !c.needed(now, e, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(min(1, e.Models[a].Active), min(1, e.Models[b].Active)),
			e.Models[a].UsedAt.Compare(e.Models[b].UsedAt), cmp.Compare(a, b))
	})
	var victims []string
	var loss time.Duration
	for _, name := range names {
		if free >= model.MemoryMB {
			break
		}
		resident := e.Models[name]
		free += engine.Models[name].MemoryMB + engine.Models[name].AdapterMB*float64(len(resident.Adapters))
		victims = append(victims, name)
		if resident.Active > 0 {
			loss += 400 * time.Millisecond
		}
		if now.Sub(resident.UsedAt) < recentUse {
			loss += 100 * time.Millisecond
		}
		loss += 10 * time.Millisecond
	}
	return victims, loss, free >= model.MemoryMB
}

// needed says whether a model must stay at a replica: requests wait for it, it
// has just been loaded, or the model has no replica to spare.
func (c *Controller) needed(now time.Time, e *Endpoint, name string) bool {
	key := ModelKey{e.Listed.Service, name}
	if now.Sub(e.Models[name].LoadedAt) < loadDelay {
		return true
	}
	if c.outlook.demanded[key] {
		return true
	}
	wanted := c.outlook.wanted[key]
	return wanted > 0 && c.outlook.holders[key] <= wanted
}

// wanted returns how many replicas a busy model needs, 0 for a rare one.
func (c *Controller) wanted(now time.Time, key ModelKey) int {
	rate := c.Tenure.Rates[key]
	if rate == nil {
		return 0
	}
	left := max(0, 1-float64(now.Sub(rate.UsedAt))/float64(rateWindow))
	requests, tokens := rate.Requests*left, rate.Tokens*left
	if requests < busyRate {
		return 0
	}
	return max(2, int(math.Ceil(tokens/tokensPerReplica)))
}

// queueLoad queues the orders that replace models by another one.
func (c *Controller) queueLoad(e *Endpoint, victims []string, model resolver.Model, reason string) []Effect {
	c.Tenure.Stale = true
	for _, victim := range victims {
		e.Queue = append(e.Queue, Order{Model: victim})
		c.outlook.holders[ModelKey{e.Listed.Service, victim}]--
	}
	c.outlook.holders[ModelKey{e.Listed.Service, model.Name}]++
	e.Queue = append(e.Queue, Order{Load: true, Model: model.Name})
	text := "load planned"
	if e.tier(model.Name) == FromStore {
		text = "load from the weight store planned"
	}
	return []Effect{Note{Text: text, Replica: e.Listed.ID, Model: model.Name, Reason: reason}}
}

// planCopies gives busy models more replicas.
func (c *Controller) planCopies(now time.Time) []Effect {
	var effects []Effect
	for _, key := range c.busy() {
		engine := c.engine(key.Service)
		if engine == nil {
			continue
		}
		model, ok := engine.Models[key.Model]
		if !ok || c.outlook.holders[key] >= c.outlook.wanted[key] {
			continue
		}
		best, victims := c.cheapest(now, key, engine, model)
		if best == nil || best.tier(model.Name) == FromStore && c.storeLoading() >= c.storePlaces() {
			continue
		}
		effects = append(effects, c.queueLoad(best, victims, model, "busy model")...)
	}
	return effects
}

// busy returns the models that need several replicas, the busiest first.
func (c *Controller) busy() []ModelKey {
	keys := make([]ModelKey, 0, len(c.outlook.wanted))
	for key := range c.outlook.wanted {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ModelKey) int {
		return cmp.Or(cmp.Compare(c.outlook.wanted[b], c.outlook.wanted[a]),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return keys
}

// planPrefetch fetches models of which no replica has a copy, so that their
// first request finds them on a disk.
func (c *Controller) planPrefetch(now time.Time) []Effect {
	if c.storeLoading() >= max(1, c.storePlaces()-prefetchReserve) {
		return nil
	}
	copied := c.copied()
	var effects []Effect
	for _, service := range c.services() {
		engine := c.engine(service)
		for _, name := range sortedModels(engine) {
			key := ModelKey{service, name}
			if copied[key] {
				continue
			}
			best, victims := c.home(now, key, engine, engine.Models[name])
			if best == nil || c.storeLoading() >= max(1, c.storePlaces()-prefetchReserve) {
				return effects
			}
			effects = append(effects, c.queueLoad(best, victims, engine.Models[name], "first copy")...)
		}
	}
	return effects
}

// copied returns the models that a replica holds or can load without the
// weight store.
func (c *Controller) copied() map[ModelKey]bool {
	copied := map[ModelKey]bool{}
	for _, e := range c.Tenure.Endpoints {
		for _, names := range [][]string{e.held(), e.InMemory, e.OnDisk} {
			for _, name := range names {
				copied[ModelKey{e.Listed.Service, name}] = true
			}
		}
	}
	return copied
}

// storePlaces returns how many loads from the weight store may run at a time,
// as far as earlier loads have shown.
func (c *Controller) storePlaces() int {
	if c.Tenure.StorePlaces == 0 {
		return storeAtOnce
	}
	return c.Tenure.StorePlaces
}

// learnStore compares the time of a load from the weight store with that of a
// load alone.
func (c *Controller) learnStore(now time.Time, e *Endpoint, operation Operation) {
	engine := c.engine(e.Listed.Service)
	if engine == nil || operation.Tier != FromStore || operation.Adapter != "" {
		return
	}
	alone := engine.Models[operation.Model].StoreLoad
	ratio := float64(now.Sub(operation.StartedAt)) / float64(max(alone, time.Millisecond))
	if ratio > slowLoad {
		places := int(math.Round(float64(operation.Together) / ratio))
		c.Tenure.StorePlaces = min(c.storePlaces(), max(1, places))
	}
}

// slowLoad is the time of a load, relative to one alone, from which on it was
// held up by others. Loads are seen to end up to half a second late.
const slowLoad = 1.3

// storeLoading counts the loads from the weight store that run or are queued.
func (c *Controller) storeLoading() int {
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

// home returns the idle replica that has the fewest copies.
func (c *Controller) home(now time.Time, key ModelKey, engine *resolver.Engine, model resolver.Model) (*Endpoint, []string) {
	var best *Endpoint
	var bestVictims []string
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Listed.Service != key.Service || !e.idle() {
			continue
		}
		victims, _, ok := c.makeRoom(now, e, engine, model)
		if ok && (best == nil || len(e.OnDisk) < len(best.OnDisk)) {
			best, bestVictims = e, victims
		}
	}
	return best, bestVictims
}

// services returns the services with engines that have replicas.
func (c *Controller) services() []string {
	var services []string
	for _, e := range c.Tenure.Endpoints {
		services = append(services, e.Listed.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

func sortedModels(engine *resolver.Engine) []string {
	if engine == nil {
		return nil
	}
	names := make([]string, 0, len(engine.Models))
	for name := range engine.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// planAdapter queues the load of an adapter at a replica that has its model.
func (c *Controller) planAdapter(now time.Time, key DemandKey) []Effect {
	engine := c.engine(key.Service)
	if engine == nil {
		return nil
	}
	var best *Endpoint
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		if e.Listed.Service != key.Service || e.Listed.Leaving || !e.Known || c.outlook.suspects[id] {
			continue
		}
		if e.holdsAdapter(key.Model, key.Adapter) {
			return nil
		}
		resident := e.Models[key.Model]
		if resident == nil || e.unloading(key.Model) || e.Running != nil && e.Running.Adapter == "" {
			continue
		}
		if best == nil || len(e.Queue)*10+e.adapters() < len(best.Queue)*10+best.adapters() {
			best = e
		}
	}
	if best == nil {
		return c.planModel(now, key.ModelKey)
	}
	return c.queueAdapter(best, engine, key)
}

// queueAdapter queues the load of an adapter, and the unload of the least
// recently used one if the places are taken.
func (c *Controller) queueAdapter(e *Endpoint, engine *resolver.Engine, key DemandKey) []Effect {
	planned := e.adapters()
	for _, order := range e.Queue {
		switch {
		case order.Adapter == "":
		case order.Load:
			planned++
		default:
			planned--
		}
	}
	free := engine.MemoryMB - e.used(engine)
	if planned+adapterReserve >= engine.AdapterSlots || free < 2*engine.Models[key.Model].AdapterMB {
		victim, ok := e.oldestAdapter()
		if !ok {
			return nil
		}
		e.Queue = append(e.Queue, victim)
	}
	c.Tenure.Stale = true
	e.Queue = append(e.Queue, Order{Load: true, Model: key.Model, Adapter: key.Adapter})
	return []Effect{Note{Text: "adapter load planned", Replica: e.Listed.ID, Model: key.Model + "/" + key.Adapter}}
}

// oldestAdapter returns the order that unloads the least recently used adapter.
func (e *Endpoint) oldestAdapter() (Order, bool) {
	var oldest Order
	var usedAt time.Time
	for model, resident := range e.Models {
		for adapter, at := range resident.Adapters {
			order := Order{Model: model, Adapter: adapter}
			if e.planned(order) {
				continue
			}
			if oldest.Model == "" || at.Before(usedAt) || at.Equal(usedAt) && model+adapter < oldest.Model+oldest.Adapter {
				oldest, usedAt = order, at
			}
		}
	}
	return oldest, oldest.Model != ""
}
