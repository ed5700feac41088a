package scheduler

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// serviceSlots is the maximum number of concurrent calls from this node to one
// plain service endpoint. Services report no load, so the limit prevents a slow
// endpoint from accumulating all requests of the node.
const serviceSlots = 32

// Pauses after which an endpoint is used again.
const (
	initialFailurePause = 2 * time.Second
	maxFailurePause     = 30 * time.Second
	// refusalPause is one report interval: the next report shows why the
	// endpoint refused.
	refusalPause = 250 * time.Millisecond
	// zeroShareRecheckDelay is how long a share of 0 slots remains in effect
	// without a new report.
	zeroShareRecheckDelay = time.Second
)

// Endpoint is the scheduler's state for one endpoint.
type Endpoint struct {
	tracker.Endpoint
	// Delisted is whether the fleet no longer lists the endpoint. The entry is
	// kept while slots are in use.
	Delisted bool
	InUse    int
	// ReportSequence is the sequence number of the report that Share was last
	// adapted to.
	ReportSequence uint64
	Share          router.Share
	// ShareExhausted is whether the share was used up since the last report.
	ShareExhausted bool
	Speed          router.Speed
	// SpeedObservedAt is when Speed was last observed.
	SpeedObservedAt time.Time
	InUseHistory    router.InUseHistory
	OtherLoad       router.OtherLoad
	PrefixCache     router.PrefixCache
	// Failures counts failed attempts since the last success.
	Failures int
	// PausedUntil is the end of a pause after failed or refused attempts of
	// this node.
	PausedUntil time.Time
	// ResumeAt is when the endpoint is next checked, or zero.
	ResumeAt time.Time

	members     []member
	queues      []*Queue // in the order of the report's models
	nextQueue   int
	resumeIndex int
	generation  uint64
}

// member is an endpoint's membership in a pool.
type member struct {
	pool  *Pool
	index int // index in pool.Open, or -1
}

// Before implements queuer.Item.
func (e *Endpoint) Before(other *Endpoint) bool {
	if !e.ResumeAt.Equal(other.ResumeAt) {
		return e.ResumeAt.Before(other.ResumeAt)
	}
	return e.Name < other.Name
}

// SetIndex implements queuer.Item.
func (e *Endpoint) SetIndex(index int) { e.resumeIndex = index }

// isLeaving reports whether the endpoint must not receive new requests any more.
func (e *Endpoint) isLeaving() bool {
	return e.Delisted || e.Phase != tracker.Live || e.Report != nil && e.Report.Leaving
}

// unavailableUntil returns when the endpoint may receive new requests again.
func (e *Endpoint) unavailableUntil() time.Time {
	if e.SuspectUntil.After(e.PausedUntil) {
		return e.SuspectUntil
	}
	return e.PausedUntil
}

func (e *Endpoint) isOpen(now time.Time) bool {
	return !e.isLeaving() && !now.Before(e.unavailableUntil()) && e.InUse < e.Share.Limit
}

func (e *Endpoint) slots() int {
	if e.Kind == tracker.Service {
		return serviceSlots
	}
	if e.Report == nil {
		return 0
	}
	return e.Report.Slots
}

// speedLifetime is how long requests are refused because of an observed speed.
// After that, one request is sent again, so that a recovered endpoint is detected.
const speedLifetime = 10 * time.Second

// hasRecentSpeed reports whether the endpoint's speed was observed within
// speedLifetime.
func (e *Endpoint) hasRecentSpeed(now time.Time) bool {
	return !e.SpeedObservedAt.IsZero() && now.Sub(e.SpeedObservedAt) < speedLifetime
}

// hasSpareCapacity reports whether a quarter of the slots remains free for
// foreground requests after a deferred request takes one.
func (e *Endpoint) hasSpareCapacity(now time.Time) bool {
	slots := e.slots()
	free := float64(slots-e.InUse) - e.OtherLoad.Estimate(now)
	return free >= float64(1+slots/4)
}

// pauseUntil pauses new requests to the endpoint until the given time, unless it
// is already paused for longer.
func (e *Endpoint) pauseUntil(until time.Time) {
	if until.After(e.PausedUntil) {
		e.PausedUntil = until
	}
}

// recordFailure records a failed attempt and pauses the endpoint. Failures
// during a pause are not counted, so that concurrent requests that fail
// together count once.
func (e *Endpoint) recordFailure(now time.Time) {
	if now.Before(e.PausedUntil) {
		return
	}
	pause := initialFailurePause << min(e.Failures, 4)
	e.Failures++
	e.pauseUntil(now.Add(min(pause, maxFailurePause)))
}

// recordRefusal records that the endpoint did not run an attempt, either
// because this node's share was too large or because the endpoint no longer has
// the model.
func (e *Endpoint) recordRefusal(now time.Time) {
	e.pauseUntil(now.Add(refusalPause))
	if e.Kind == tracker.Engine {
		e.Share.Limit = min(e.Share.Limit, e.InUse)
		e.Share.Gain /= 2
	}
}

// targets returns the targets that the endpoint serves.
func (e *Endpoint) targets() []Target {
	if e.Delisted {
		return nil
	}
	if e.Kind == tracker.Service {
		return []Target{{Service: e.Service}}
	}
	if e.Report == nil {
		return nil
	}
	var targets []Target
	for _, model := range e.Report.Models {
		if model.State != tracker.Loaded {
			continue
		}
		targets = append(targets, Target{Model: model.Model})
		for _, adapter := range model.Adapters {
			if adapter.State == tracker.Loaded {
				targets = append(targets, Target{Model: model.Model, Adapter: adapter.Adapter})
			}
		}
	}
	return targets
}

// sameModels reports whether two reports list the same models and adapters.
func sameModels(a, b *tracker.Report) bool {
	if a == nil || b == nil {
		return a == b
	}
	if len(a.Models) == len(b.Models) && (len(a.Models) == 0 || &a.Models[0] == &b.Models[0]) {
		return true // copies of a report share the slice
	}
	return slices.EqualFunc(a.Models, b.Models, func(x, y tracker.ModelState) bool {
		return x.Model == y.Model && x.State == y.State && slices.Equal(x.Adapters, y.Adapters)
	})
}
