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
}

// LoadKind is what load times are learnt for.
type LoadKind struct {
	Model string
	Tier  tracker.Tier
}

func newCold() Cold {
	return Cold{Loads: map[string][]LoadInProgress{}, Learnt: map[LoadKind]time.Duration{}}
}

// placementChanged replaces the loads in progress. A load that was known
// before keeps its start and tier.
func (c *Cold) placementChanged(loads []Load, endpoints map[string]*Endpoint) {
	before := c.Loads
	c.Loads = map[string][]LoadInProgress{}
	for _, load := range loads {
		entry := LoadInProgress{Load: load, Tier: tier(endpoints[load.Endpoint], load.Model)}
		for _, known := range before[load.Model] {
			if known.Endpoint == load.Endpoint {
				entry = known
			}
		}
		c.Loads[load.Model] = append(c.Loads[load.Model], entry)
	}
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
		index := slices.IndexFunc(c.Loads[model.Model], func(load LoadInProgress) bool {
			return load.Endpoint == endpoint.Name
		})
		if index >= 0 {
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
	for _, kind := range []LoadKind{{Model: model, Tier: load.Tier}, {Tier: load.Tier}} {
		c.Learnt[kind] = router.Average(c.Learnt[kind], took)
	}
	c.Loads[model] = slices.Delete(c.Loads[model], index, index+1)
	if len(c.Loads[model]) == 0 {
		delete(c.Loads, model)
	}
}

// remaining estimates when a model that is not loaded will be, if a load is
// in progress and the time that such loads take is known.
func (c *Cold) remaining(now time.Time, model string) (time.Duration, bool) {
	var earliest time.Duration
	for index, load := range c.Loads[model] {
		took, ok := c.Learnt[LoadKind{Model: model, Tier: load.Tier}]
		if !ok {
			took, ok = c.Learnt[LoadKind{Tier: load.Tier}]
		}
		if !ok {
			return 0, false
		}
		left := max(0, time.Duration(float64(took)*coldCaution)-now.Sub(load.Since))
		if index == 0 || left < earliest {
			earliest = left
		}
	}
	return earliest, len(c.Loads[model]) > 0
}
