package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// maxStoreLoads is the maximum number of concurrent loads from the weight
	// store. The store does not report how many loads run at full speed. Above
	// that number, each load takes proportionally longer and none ends sooner.
	maxStoreLoads = 4
	// prefetchReserve is the number of these loads that prefetches leave free for
	// models that requests wait for.
	prefetchReserve = 1
	// tokenRatePerReplica is the number of tokens per second above which a model
	// gets another replica. It is a third of what a replica reads at full speed.
	tokenRatePerReplica = 12000
	// busyRequestRate is the number of requests per second from which a model has
	// at least two replicas, so that it survives the loss of one.
	busyRequestRate = 2
	// minResidency is the minimum time that a model stays loaded.
	minResidency = 300 * time.Millisecond
	// recentUseWindow is the time since its last use within which a model is
	// expected to be used again soon.
	recentUseWindow = 2 * time.Second
	// copiesPlanInterval is the interval at which extra replicas of busy models
	// and prefetches are planned.
	copiesPlanInterval = 100 * time.Millisecond
	// saturationLifetime is how long a report that all replicas of a model are
	// full keeps requesting another replica. It is about the time of a load.
	saturationLifetime = 900 * time.Millisecond
	// adapterReserve is the number of adapter slots that stay free.
	adapterReserve = 1
)

// planIndex holds lookups that planning uses repeatedly. It is built once per
// planning pass.
type planIndex struct {
	// suspects are the replicas that live nodes suspect or that want no requests of
	// some node.
	suspects map[string]bool
	// demanded are the models that requests wait for, and heldBack those of them that only
	// replicas without a limit relieve.
	demanded, heldBack map[ModelKey]bool
	// holders is the number of replicas that hold or will hold each model, unlimitedHolders
	// the number of those without a limit, and wanted the number that a busy model needs.
	holders, unlimitedHolders, wanted map[ModelKey]int
	// saturated are the models whose replicas are all full or at their limits.
	saturated map[saturationKey]bool
	// unlimited are the locations with replicas that have no limit and take requests.
	unlimited map[location]bool
	// saturatedIn holds the data centres in which full replicas of a model need another
	// one. It allows all if one of the demands does.
	saturatedIn map[ModelKey]DataCentres
}

// restrict records the data centres of a saturation. Of several restricted ones the first is
// kept: the others are reported again when it has got its replica.
func (i planIndex) restrict(key saturationKey) {
	known, ok := i.saturatedIn[key.ModelKey]
	if !ok || key.dataCentres == "" || known != "" && key.dataCentres < known {
		i.saturatedIn[key.ModelKey] = key.dataCentres
	}
}

func (c *Controller) buildIndex(now time.Time) planIndex {
	index := planIndex{
		suspects: map[string]bool{}, demanded: map[ModelKey]bool{}, heldBack: map[ModelKey]bool{}, holders: map[ModelKey]int{}, unlimitedHolders: map[ModelKey]int{}, wanted: map[ModelKey]int{},
		saturated: map[saturationKey]bool{}, unlimited: map[location]bool{}, saturatedIn: map[ModelKey]DataCentres{},
	}
	for id := range c.Tenure.SuspectedBy {
		index.suspects[id] = true
	}
	for id := range c.closedReplicas(now) {
		index.suspects[id] = true
	}
	for _, e := range c.Tenure.Endpoints {
		if e.isExcluded() {
			continue
		}
		unlimited := !c.hasLimit(e)
		if !e.Synced {
			continue
		}
		if unlimited && !index.suspects[e.Entry.ID] {
			index.unlimited[location{e.Entry.Service, e.Entry.DataCentre}] = true
			index.unlimited[location{Service: e.Entry.Service}] = true
		}
		for _, name := range e.heldModels() {
			key := ModelKey{e.Entry.Service, name}
			index.holders[key]++
			if unlimited {
				index.unlimitedHolders[key]++
			}
		}
	}
	for key := range c.Tenure.Rates {
		if wanted := c.wantedReplicas(now, key); wanted > 0 {
			index.wanted[key] = wanted
		}
	}
	for key, at := range c.Tenure.SaturatedAt {
		if now.Sub(at) < saturationLifetime {
			index.wanted[key.ModelKey] = max(index.wanted[key.ModelKey], index.holders[key.ModelKey]+1)
			index.saturated[key] = true
			index.restrict(key)
		} else {
			delete(c.Tenure.SaturatedAt, key)
		}
	}
	return index
}

// plan queues the orders that meet the demand and, at longer intervals, loads of
// extra replicas and prefetches.
func (c *Controller) plan(now time.Time) []Effect {
	effects := c.noteSuspects(c.suspectedBy(now))
	c.index = c.buildIndex(now)
	c.expireDemand(now)
	for key := range c.Tenure.Demand {
		if c.needsUnlimited(key) {
			c.index.heldBack[key.ModelKey] = true
		} else {
			c.index.demanded[key.ModelKey] = true
		}
	}
	for _, key := range c.sortedDemands(now) {
		if key.Adapter != "" {
			effects = append(effects, c.planAdapter(now, key)...)
		} else {
			effects = append(effects, c.planModel(now, key)...)
		}
	}
	if now.Sub(c.Tenure.CopiesPlannedAt) < copiesPlanInterval {
		return effects
	}
	c.Tenure.CopiesPlannedAt = now
	c.forgetUnmet(now)
	effects = append(effects, c.planEvacuated(now)...)
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

// satisfied reports whether a replica that is not suspected has loaded what
// requests wait for.
func (c *Controller) satisfied(key DemandKey) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Entry.Service != key.Service || !key.allows(e) || e.isExcluded() || !e.Synced || c.index.suspects[id] || c.holdsBack(e, key) {
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

// sortedDemands returns the demands that can still meet their latency objective,
// most urgent first, followed by those that are late. If the replicas cannot load
// everything, serving late demands first would make the others late as well.
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
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.DataCentres, b.DataCentres), cmp.Compare(a.Version, b.Version))
	})
	return keys
}

// planModel queues the load of a model that no healthy replica holds or loads.
func (c *Controller) planModel(now time.Time, demand DemandKey) []Effect {
	choice := c.chooseLoad(now, demand)
	if choice.obstacle != "" {
		return c.noteUnmet(now, demand.ModelKey, choice.obstacle)
	}
	return c.queueLoad(choice.endpoint, choice.victims, choice.model, "requests wait")
}

// loadChoice is the load of a model that requests wait for: where, and what is unloaded there.
// If there is an obstacle, it is why nothing is loaded now.
type loadChoice struct {
	endpoint *Endpoint
	victims  []string
	model    resolver.Model
	obstacle Obstacle
}

// chooseLoad chooses the load of a model that no healthy replica holds or loads.
func (c *Controller) chooseLoad(now time.Time, demand DemandKey) loadChoice {
	key := demand.ModelKey
	engine := c.engine(key.Service)
	if engine == nil {
		return loadChoice{obstacle: NoEngine}
	}
	model, ok := engine.Models[key.Model]
	if !ok {
		return loadChoice{obstacle: UnknownModel}
	}
	readyIn, held := c.holderReadyIn(now, demand, model)
	if held && readyIn <= model.DiskLoadTime {
		return loadChoice{obstacle: HasReplica}
	}
	rule := loadRule{Scope: demand.Scope, AvoidLimits: c.needsUnlimited(demand)}
	best, victims := c.cheapestReplica(now, key, engine, model, rule)
	if best == nil && c.filledByBusyModels(key, rule, engine, model) {
		rule.EvictSpares = true
		best, victims = c.cheapestReplica(now, key, engine, model, rule)
	}
	switch {
	case held && (best == nil || best.tier(model.Name) == FromStore || loadTime(model, best.tier(model.Name)) >= readyIn):
		return loadChoice{obstacle: HasReplica}
	case best == nil:
		return loadChoice{obstacle: NoRoom}
	case best.tier(model.Name) != FromStore:
	case c.hasLocalCopy(now, key, rule, engine, model):
		return loadChoice{obstacle: CopyElsewhere}
	case c.countStoreLoads() >= c.storeConcurrency():
		return loadChoice{obstacle: StoreBusy}
	}
	return loadChoice{endpoint: best, victims: victims, model: model}
}

// hasLocalCopy reports whether some replica has a copy of the model in host memory
// or on disk and can load it sooner than the weight store. One that busy models fill may never
// have room.
func (c *Controller) hasLocalCopy(now time.Time, key ModelKey, rule loadRule, engine *resolver.Engine, model resolver.Model) bool {
	for id, e := range c.Tenure.Endpoints {
		if e.Entry.Service != key.Service || !c.meets(e, rule) || e.isExcluded() || !e.Synced || e.tier(key.Model) == FromStore || c.index.suspects[id] {
			continue
		}
		if _, _, hasRoom := c.selectVictims(now.Add(minResidency), e, engine, model, false); !hasRoom && e.idle() {
			continue
		}
		if e.busyFor(now)+loadTime(model, e.tier(key.Model)) <= model.StoreLoadTime {
			return true
		}
	}
	return false
}

// holderReadyIn returns the time until a replica that is not suspected, nor at its limit while
// others have none, has what a demand is for, and false if none holds or loads it. The time is 0
// unless all of them load it from the weight store.
func (c *Controller) holderReadyIn(now time.Time, demand DemandKey, model resolver.Model) (time.Duration, bool) {
	readyIn, held := time.Duration(math.MaxInt64), false
	for id, e := range c.Tenure.Endpoints {
		if e.Entry.Service == demand.Service && demand.allows(e) && e.Synced && !e.isExcluded() && e.holdsOrLoads(demand.Model) && !c.index.suspects[id] && !c.holdsBack(e, demand) {
			readyIn, held = min(readyIn, e.storeLoadEndsIn(now, model)), true
		}
	}
	return readyIn, held
}

// wantedReplicas returns the number of replicas that a busy model needs, or 0 if
// the model is not busy.
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
