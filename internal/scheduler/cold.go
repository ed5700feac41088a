package scheduler

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// coldCaution is the part of the learnt load time that counts when a request
// is refused because of it. A wrongful refusal costs more than a wait that
// ends at the deadline.
const coldCaution = 0.8

// maxLearnt bounds the learnt load times. Versions come and go; at the bound
// everything is learnt anew.
const maxLearnt = 4096

// Cold is what is known of loads in progress and of how long loads take.
type Cold struct {
	// Loads lists the loads in progress by model.
	Loads map[string][]LoadInProgress
	// Learnt holds moving averages of load times, for a model and tier, and
	// with an empty model for the tier.
	Learnt map[LoadKind]time.Duration
}

// LoadInProgress is a load together with where its checkpoint came from.
type LoadInProgress struct {
	Load
	Tier tracker.Tier
	// EndedAt is when the placer no longer listed the load; zero before.
	EndedAt time.Time
}

// endedLifetime is how long an ended load is kept. The placer's news may come
// before the endpoint's report, and only the report says that the load
// succeeded.
const endedLifetime = 5 * time.Second

// LoadKind is what load times are learnt for.
type LoadKind struct {
	Model string
	Tier  tracker.Tier
}

func newCold() Cold {
	return Cold{Loads: map[string][]LoadInProgress{}, Learnt: map[LoadKind]time.Duration{}}
}

// placementChanged takes in the loads in progress. A load that was known
// before keeps its start and tier.
func (c *Cold) placementChanged(now time.Time, loads []Load, endpoints map[string]*Endpoint) {
	before := c.Loads
	c.Loads = map[string][]LoadInProgress{}
	for _, load := range loads {
		entry := LoadInProgress{Load: load, Tier: tier(endpoints[load.Endpoint], load.Model)}
		if index := find(before[load.Model], load.Endpoint); index >= 0 && before[load.Model][index].EndedAt.IsZero() {
			entry = before[load.Model][index]
		}
		c.Loads[load.Model] = append(c.Loads[load.Model], entry)
	}
	for model, known := range before {
		c.keepEnded(now, model, known)
	}
}

// keepEnded keeps the loads that are no longer listed for some time.
func (c *Cold) keepEnded(now time.Time, model string, known []LoadInProgress) {
	for _, load := range known {
		if load.EndedAt.IsZero() {
			load.EndedAt = now
		}
		if find(c.Loads[model], load.Endpoint) < 0 && now.Sub(load.EndedAt) < endedLifetime {
			c.Loads[model] = append(c.Loads[model], load)
		}
	}
}

func find(loads []LoadInProgress, endpoint string) int {
	return slices.IndexFunc(loads, func(load LoadInProgress) bool { return load.Endpoint == endpoint })
}

// tier is where an endpoint has a checkpoint before it loads it.
func tier(endpoint *Endpoint, model string) tracker.Tier {
	if endpoint == nil || endpoint.Report == nil {
		return tracker.Remote
	}
	for _, cached := range endpoint.Report.Cached {
		if cached.Model == model {
			return cached.Tier
		}
	}
	return tracker.Remote
}

// reported learns from loads that an endpoint reports as finished.
func (c *Cold) reported(now time.Time, endpoint *Endpoint) {
	if endpoint.Report == nil || len(c.Loads) == 0 {
		return
	}
	for _, model := range endpoint.Report.Models {
		if model.State != tracker.Loaded {
			continue
		}
		if index := find(c.Loads[model.Model], endpoint.Name); index >= 0 {
			c.finished(now, model.Model, index)
		}
	}
}

func (c *Cold) finished(now time.Time, model string, index int) {
	if len(c.Learnt) > maxLearnt {
		clear(c.Learnt)
	}
	load := c.Loads[model][index]
	took := now.Sub(load.Since)
	c.drop(model, index)
	if !load.EndedAt.IsZero() && now.Sub(load.EndedAt) >= endedLifetime {
		return
	}
	for _, kind := range []LoadKind{{Model: model, Tier: load.Tier}, {Tier: load.Tier}} {
		c.Learnt[kind] = router.MovingAverage(c.Learnt[kind], took)
	}
}

func (c *Cold) drop(model string, index int) {
	c.Loads[model] = slices.Delete(c.Loads[model], index, index+1)
	if len(c.Loads[model]) == 0 {
		delete(c.Loads, model)
	}
}

// remaining estimates when a model that is not loaded will be, if a load is
// in progress and the time that such loads take is known.
func (c *Cold) remaining(now time.Time, model string) (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, load := range c.Loads[model] {
		if !load.EndedAt.IsZero() {
			continue
		}
		took, ok := c.learnt(load)
		if !ok {
			return 0, false
		}
		left := max(0, time.Duration(float64(took)*coldCaution)-now.Sub(load.Since))
		if !found || left < earliest {
			earliest, found = left, true
		}
	}
	return earliest, found
}

// learnt is how long such a load takes, if that is known.
func (c *Cold) learnt(load LoadInProgress) (time.Duration, bool) {
	if took, ok := c.Learnt[LoadKind{Model: load.Model, Tier: load.Tier}]; ok {
		return took, true
	}
	took, ok := c.Learnt[LoadKind{Tier: load.Tier}]
	return took, ok
}
