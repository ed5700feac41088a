package scheduler

import (
	"container/list"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Target is what a request needs at an endpoint: a service, or a model with an
// optional adapter.
type Target struct {
	Service string
	Model   string
	Adapter string
}

func target(admission filter.Admission) Target {
	return Target{Service: admission.Service, Model: admission.Model, Adapter: admission.Adapter}
}

// queueTarget returns the target without its adapter. All targets of the same
// model or service share the queue of that target.
func (t Target) queueTarget() Target {
	t.Adapter = ""
	return t
}

// Pool is the set of endpoints that serve a target, and the demand for it.
type Pool struct {
	Target Target
	// Replicas is the number of endpoints that serve the target.
	Replicas int
	// Open lists the endpoints of the pool that can accept another request from
	// this node now.
	Open []OpenEndpoint
	// Demands holds the waiting requests by class.
	Demands map[filter.Class]*Demand
}

// OpenEndpoint is an endpoint in a pool's open list.
type OpenEndpoint struct {
	*Endpoint
	memberIndex int // index in Endpoint.members of the membership in this pool
}

// Demand holds the waiting requests of one class for a target.
type Demand struct {
	Pool  *Pool
	Class filter.Class
	// Waiting is ordered by deadline.
	Waiting heap[*WaitingRequest]
	// NextReportAt is when the demand is next reported to the placer.
	NextReportAt time.Time

	deadlineIndex int
	reportElement *list.Element
}

func (d *Demand) before(other *Demand) bool {
	return d.Waiting[0].before(other.Waiting[0])
}

func (d *Demand) setIndex(index int) { d.deadlineIndex = index }

// Queue holds the waiting requests for a model with its adapters, or for a
// service.
type Queue struct {
	Target Target
	// Foreground holds interactive and assured requests, Deferred holds
	// deferred ones.
	Foreground *FairQueue
	Deferred   *FairQueue
	// ForegroundGrants counts foreground grants since the last deferred one.
	ForegroundGrants int
	// GrantRate is measured while requests are waiting.
	GrantRate GrantRate

	endpointCount int // number of endpoints that serve the target
}

func (q *Queue) waitingCount() int { return q.Foreground.Waiting + q.Deferred.Waiting }

func (q *Queue) fairQueue(class filter.Class) *FairQueue {
	if class == filter.Deferred {
		return q.Deferred
	}
	return q.Foreground
}

// avoids reports whether the lane must not use an endpoint.
func (l *Lane) avoids(endpoint *Endpoint) bool {
	return slices.Contains(l.Avoid, endpoint.Name)
}

// hasOpenEndpoint reports whether an endpoint can accept a request of the lane
// now. It checks at most one endpoint more than the lane avoids.
func (l *Lane) hasOpenEndpoint() bool {
	for _, endpoint := range l.pool.Open {
		if !l.avoids(endpoint.Endpoint) {
			return true
		}
	}
	return false
}

// sampleSize limits the endpoints that are estimated for one request. The
// better of two random picks among 16 is close to that of two among all.
const sampleSize = 16

// hasSpareCapacity reports whether one of the first sampleSize open endpoints
// has spare capacity.
func (l *Lane) hasSpareCapacity(now time.Time) bool {
	for index, endpoint := range l.pool.Open {
		if index == sampleSize {
			break
		}
		if !l.avoids(endpoint.Endpoint) && endpoint.hasSpareCapacity(now) {
			return true
		}
	}
	return false
}

// grantRateWindow is the minimum duration of one rate measurement.
const grantRateWindow = time.Second

// GrantRate is the rate in tokens/s at which waiting requests are granted slots
// while there is a backlog.
type GrantRate struct {
	// TokensPerSecond is a moving average, or 0 before the first measurement.
	TokensPerSecond float64
	// WindowStart is when the current window started, or zero without a
	// backlog.
	WindowStart  time.Time
	WindowTokens float64
}

// startWindow starts a window when a backlog begins.
func (r *GrantRate) startWindow(now time.Time) {
	if r.WindowStart.IsZero() {
		r.WindowStart, r.WindowTokens = now, 0
	}
}

// recordGrant records a grant and ends the window when it is long enough.
func (r *GrantRate) recordGrant(now time.Time, tokens float64, backlog bool) {
	if r.WindowStart.IsZero() {
		return
	}
	r.WindowTokens += tokens
	if elapsed := now.Sub(r.WindowStart); elapsed >= grantRateWindow {
		rate := r.WindowTokens / elapsed.Seconds()
		if r.TokensPerSecond == 0 {
			r.TokensPerSecond = rate
		}
		r.TokensPerSecond += (rate - r.TokensPerSecond) / 4
		r.WindowStart, r.WindowTokens = now, 0
	}
	if !backlog {
		r.WindowStart = time.Time{}
	}
}
