package scheduler

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// loadTimeFactor scales the expected load time before it is used to refuse a
// request. A wrongful refusal costs more than a request that waits until its
// deadline.
const loadTimeFactor = 0.8

// maxLoadTimes limits the number of averages. Model versions come and go, so at
// the limit all averages are cleared and measured again.
const maxLoadTimes = 4096

// LoadTimes tracks model loads in progress and estimates how long loads take.
type LoadTimes struct {
	// InProgress lists the loads in progress by model.
	InProgress map[string][]LoadInProgress
	// Averages holds moving averages of load times per model and tier, and per
	// tier under an empty model name.
	Averages map[LoadTimeKey]time.Duration
}

// LoadInProgress is a load and the storage tier that its checkpoint is read
// from.
type LoadInProgress struct {
	Load
	Tier tracker.Tier
	// EndedAt is when the placer stopped listing the load, or zero while the
	// load is listed.
	EndedAt time.Time
}

// endedLoadRetention is how long a load is kept after the placer stops listing
// it. The placer's update may arrive before the endpoint's report, and only the
// report shows that the load succeeded.
const endedLoadRetention = 5 * time.Second

// LoadTimeKey is the key of an average load time.
type LoadTimeKey struct {
	Model string
	Tier  tracker.Tier
}

func newLoadTimes() LoadTimes {
	return LoadTimes{InProgress: map[string][]LoadInProgress{}, Averages: map[LoadTimeKey]time.Duration{}}
}

// placementChanged replaces the loads in progress. A load that is already known
// keeps its start time and tier.
func (t *LoadTimes) placementChanged(now time.Time, loads []Load, endpoints map[string]*Endpoint) {
	previousByModel := t.InProgress
	t.InProgress = map[string][]LoadInProgress{}
	for _, load := range loads {
		entry := LoadInProgress{Load: load, Tier: checkpointTier(endpoints[load.Endpoint], load.Model)}
		if index := indexOfEndpoint(previousByModel[load.Model], load.Endpoint); index >= 0 && previousByModel[load.Model][index].EndedAt.IsZero() {
			entry = previousByModel[load.Model][index]
		}
		t.InProgress[load.Model] = append(t.InProgress[load.Model], entry)
	}
	for model, previous := range previousByModel {
		t.retainEnded(now, model, previous)
	}
}

// retainEnded keeps loads that are no longer listed for endedLoadRetention.
func (t *LoadTimes) retainEnded(now time.Time, model string, previous []LoadInProgress) {
	for _, load := range previous {
		if load.EndedAt.IsZero() {
			load.EndedAt = now
		}
		if indexOfEndpoint(t.InProgress[model], load.Endpoint) < 0 && now.Sub(load.EndedAt) < endedLoadRetention {
			t.InProgress[model] = append(t.InProgress[model], load)
		}
	}
}

func indexOfEndpoint(loads []LoadInProgress, endpoint string) int {
	return slices.IndexFunc(loads, func(load LoadInProgress) bool { return load.Endpoint == endpoint })
}

// checkpointTier returns the storage tier from which an endpoint would load a
// checkpoint.
func checkpointTier(endpoint *Endpoint, model string) tracker.Tier {
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

// observeReport updates the averages from loads that an endpoint reports as
// complete.
func (t *LoadTimes) observeReport(now time.Time, endpoint *Endpoint) {
	if endpoint.Report == nil || len(t.InProgress) == 0 {
		return
	}
	for _, model := range endpoint.Report.Models {
		if model.State != tracker.Loaded {
			continue
		}
		if index := indexOfEndpoint(t.InProgress[model.Model], endpoint.Name); index >= 0 {
			t.recordFinished(now, model.Model, index)
		}
	}
}

func (t *LoadTimes) recordFinished(now time.Time, model string, index int) {
	if len(t.Averages) > maxLoadTimes {
		clear(t.Averages)
	}
	load := t.InProgress[model][index]
	duration := now.Sub(load.StartedAt)
	t.remove(model, index)
	if !load.EndedAt.IsZero() && now.Sub(load.EndedAt) >= endedLoadRetention {
		return
	}
	for _, key := range []LoadTimeKey{{Model: model, Tier: load.Tier}, {Tier: load.Tier}} {
		t.Averages[key] = estimator.MovingAverage(t.Averages[key], duration)
	}
}

func (t *LoadTimes) remove(model string, index int) {
	t.InProgress[model] = slices.Delete(t.InProgress[model], index, index+1)
	if len(t.InProgress[model]) == 0 {
		delete(t.InProgress, model)
	}
}

// estimateRemaining estimates the time until a model that is loading becomes
// ready. It returns false if no load is in progress or the load time is
// unknown.
func (t *LoadTimes) estimateRemaining(now time.Time, model string) (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, load := range t.InProgress[model] {
		if !load.EndedAt.IsZero() {
			continue
		}
		duration, ok := t.average(load)
		if !ok {
			return 0, false
		}
		remaining := max(0, time.Duration(float64(duration)*loadTimeFactor)-now.Sub(load.StartedAt))
		if !found || remaining < earliest {
			earliest, found = remaining, true
		}
	}
	return earliest, found
}

// average returns the average duration of loads of the same model and tier or,
// if none was measured, of all loads from the tier. It returns false if neither
// is known.
func (t *LoadTimes) average(load LoadInProgress) (time.Duration, bool) {
	if duration, ok := t.Averages[LoadTimeKey{Model: load.Model, Tier: load.Tier}]; ok {
		return duration, true
	}
	duration, ok := t.Averages[LoadTimeKey{Tier: load.Tier}]
	return duration, ok
}
