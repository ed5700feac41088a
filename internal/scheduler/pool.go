package scheduler

import (
	"container/list"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Target names what a request needs at an endpoint: a service, or a model and
// perhaps an adapter.
type Target struct {
	Service string
	Model   string
	Adapter string
}

func target(admission filter.Admission) Target {
	return Target{Service: admission.Service, Model: admission.Model, Adapter: admission.Adapter}
}

// queueTarget is the target that all targets of the same model or service share.
func (t Target) queueTarget() Target {
	t.Adapter = ""
	return t
}

// Pool is the set of endpoints that serve a target, and the demand for it.
type Pool struct {
	Target Target
	// Replicas is the number of endpoints that have the target.
	Replicas int
	// Open lists those of them that take one more request of this node now.
	Open []OpenEndpoint
	// Demands holds the waiting requests by class.
	Demands map[filter.Class]*Demand
}

// OpenEndpoint is an endpoint in a pool's open list.
type OpenEndpoint struct {
	*Endpoint
	memberIndex int // the endpoint's member that points here
}

// Demand is the waiting requests of one class for a target.
type Demand struct {
	Pool  *Pool
	Class filter.Class
	// Waiting is ordered by deadline.
	Waiting heap[*WaitingRequest]
	// NextReportAt is when the placer is told again.
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
	// Foreground holds interactive and assured requests, Deferred the others.
	Foreground *FairQueue
	Deferred   *FairQueue
	// ForegroundGrants counts the requests that went since the last deferred one.
	ForegroundGrants int
	// GrantRate is learnt from how fast a backlog went.
	GrantRate GrantRate

	endpointCount int // endpoints that have the target
}

func (q *Queue) waitingCount() int { return q.Foreground.Waiting + q.Deferred.Waiting }

func (q *Queue) fairQueue(class filter.Class) *FairQueue {
	if class == filter.Deferred {
		return q.Deferred
	}
	return q.Foreground
}

// avoids says whether a lane does not use an endpoint.
func (l *Lane) avoids(endpoint *Endpoint) bool {
	return slices.Contains(l.Avoid, endpoint.Name)
}

// hasOpenEndpoint says whether the lane has an endpoint that takes a request now. It
// looks at no more endpoints than the lane avoids, and one.
func (l *Lane) hasOpenEndpoint() bool {
	for _, endpoint := range l.pool.Open {
		if !l.avoids(endpoint.Endpoint) {
			return true
		}
	}
	return false
}

// sampleSize bounds the endpoints that are estimated for one request. Two
// random picks among 16 are close to two among all.
const sampleSize = 16

// hasSpareCapacity says whether one of the lane's first endpoints has spare capacity.
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

// grantRateWindow is how long a backlog is watched for one observation.
const grantRateWindow = time.Second

// GrantRate is how many tokens of waiting requests get a slot a second while there
// is a backlog.
type GrantRate struct {
	// TokensPerSecond is 0 until it is learnt.
	TokensPerSecond float64
	// WindowStart is when the current window began; zero without a backlog.
	WindowStart  time.Time
	WindowTokens float64
}

// startWindow starts a window when a backlog begins.
func (p *GrantRate) startWindow(now time.Time) {
	if p.WindowStart.IsZero() {
		p.WindowStart, p.WindowTokens = now, 0
	}
}

// recordGrant notes that a request went.
func (p *GrantRate) recordGrant(now time.Time, tokens float64, backlog bool) {
	if p.WindowStart.IsZero() {
		return
	}
	p.WindowTokens += tokens
	if elapsed := now.Sub(p.WindowStart); elapsed >= grantRateWindow {
		rate := p.WindowTokens / elapsed.Seconds()
		if p.TokensPerSecond == 0 {
			p.TokensPerSecond = rate
		}
		p.TokensPerSecond += (rate - p.TokensPerSecond) / 4
		p.WindowStart, p.WindowTokens = now, 0
	}
	if !backlog {
		p.WindowStart = time.Time{}
	}
}
