package scheduler

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// serviceSlots is the number of calls that this node sends to one plain
// service endpoint at a time. Services report no load; the bound keeps a slow
// one from collecting all requests of the node.
const serviceSlots = 32

// Times without new work after an endpoint's answers.
const (
	initialFailurePause = 2 * time.Second
	maxFailurePause     = 30 * time.Second
	// refusalPause is a report interval: the next report says why.
	refusalPause = 250 * time.Millisecond
	// zeroShareRecheckDelay is how long a share of 0 slots stands without a report.
	zeroShareRecheckDelay = time.Second
)

// Endpoint is what the scheduler knows of an endpoint.
type Endpoint struct {
	tracker.Endpoint
	// Delisted says that the fleet no longer lists the endpoint; it is kept while
	// slots are in use.
	Delisted bool
	InUse    int
	// ReportSequence is that of the report to which Share is adapted.
	ReportSequence uint64
	Share          router.Share
	// ShareExhausted says that the share was used up since the last report.
	ShareExhausted bool
	Speed          router.Speed
	// SpeedObservedAt is when Speed was observed last.
	SpeedObservedAt time.Time
	InUseHistory    router.InUseHistory
	OtherLoad       router.OtherLoad
	PrefixCache     router.PrefixCache
	// Failures counts failed attempts since the last success.
	Failures int
	// PausedUntil ends a pause after failed or refused attempts of this node.
	PausedUntil time.Time
	// ResumeAt is when the endpoint is looked at again.
	ResumeAt time.Time

	members     []member
	queues      []*Queue // in the order of the report's models
	nextQueue   int
	resumeIndex int
	generation  uint64
}

// member is an endpoint's place in a pool.
type member struct {
	pool  *Pool
	index int // in pool.Open, or -1
}

func (e *Endpoint) before(other *Endpoint) bool {
	if !e.ResumeAt.Equal(other.ResumeAt) {
		return e.ResumeAt.Before(other.ResumeAt)
	}
	return e.Name < other.Name
}

func (e *Endpoint) setIndex(index int) { e.resumeIndex = index }

// leaving says that the endpoint must not get new work any more.
func (e *Endpoint) leaving() bool {
	return e.Delisted || e.Phase != tracker.Live || e.Report != nil && e.Report.Leaving
}

// unavailableUntil is when the endpoint may get new work again.
func (e *Endpoint) unavailableUntil() time.Time {
	if e.SuspectUntil.After(e.PausedUntil) {
		return e.SuspectUntil
	}
	return e.PausedUntil
}

func (e *Endpoint) open(now time.Time) bool {
	return !e.leaving() && !now.Before(e.unavailableUntil()) && e.InUse < e.Share.Limit
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

// speedLifetime is how long a request is refused because of a learnt speed.
// After it one is sent again, so that an endpoint that recovered is noticed.
const speedLifetime = 10 * time.Second

// hasRecentSpeed says whether the endpoint's speed was observed lately.
func (e *Endpoint) hasRecentSpeed(now time.Time) bool {
	return !e.SpeedObservedAt.IsZero() && now.Sub(e.SpeedObservedAt) < speedLifetime
}

// hasSpareCapacity says whether a quarter of the slots stays free for prompt requests
// when a deferred request takes one.
func (e *Endpoint) hasSpareCapacity(now time.Time) bool {
	slots := e.slots()
	free := float64(slots-e.InUse) - e.OtherLoad.Estimate(now)
	return free >= float64(1+slots/4)
}

// pauseUntil stops new work to the endpoint until a time.
func (e *Endpoint) pauseUntil(until time.Time) {
	if until.After(e.PausedUntil) {
		e.PausedUntil = until
	}
}

// recordFailure notes that an attempt did not get the answer it should. Requests
// that fail together count once.
func (e *Endpoint) recordFailure(now time.Time) {
	if now.Before(e.PausedUntil) {
		return
	}
	pause := initialFailurePause << min(e.Failures, 4)
	e.Failures++
	e.pauseUntil(now.Add(min(pause, maxFailurePause)))
}

// recordRefusal notes that the endpoint took an attempt not to run it: the share
// was too large, or it has lost the model.
func (e *Endpoint) recordRefusal(now time.Time) {
	e.pauseUntil(now.Add(refusalPause))
	if e.Kind == tracker.Engine {
		e.Share.Limit = min(e.Share.Limit, e.InUse)
		e.Share.Gain /= 2
	}
}

// targets lists what the endpoint serves.
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

// sameModels says whether two reports name the same models and adapters.
func sameModels(a, b *tracker.Report) bool {
	if a == nil || b == nil {
		return a == b
	}
	if len(a.Models) == len(b.Models) && (len(a.Models) == 0 || &a.Models[0] == &b.Models[0]) {
		return true // copies of a report share the list
	}
	return slices.EqualFunc(a.Models, b.Models, func(x, y tracker.ModelState) bool {
		return x.Model == y.Model && x.State == y.State && slices.Equal(x.Adapters, y.Adapters)
	})
}
