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

// queue is the target that all targets of the same model or service share.
func (t Target) queue() Target {
	t.Adapter = ""
	return t
}

// Pool is the set of endpoints that serve a target, and the demand for it.
type Pool struct {
	Target Target
	// Replicas is the number of endpoints that have the target.
	Replicas int
	// Open lists those of them that take one more request of this node now.
	Open []Opening
	// Demands holds the waiting requests by class.
	Demands map[filter.Class]*Demand
}

// Opening is an endpoint in a pool's open list.
type Opening struct {
	*Endpoint
	member int // the endpoint's member that points here
}

// Demand is the waiting requests of one class for a target.
type Demand struct {
	Pool  *Pool
	Class filter.Class
	// Waiting is ordered by deadline.
	Waiting heap[*Waiting]
	// Next is when the placer is told again.
	Next time.Time

	inDeadlines int
	inPeriodic  *list.Element
}

func (d *Demand) before(other *Demand) bool {
	return d.Waiting[0].before(other.Waiting[0])
}

func (d *Demand) place(index int) { d.inDeadlines = index }

// Queue holds the waiting requests for a model with its adapters, or for a
// service.
type Queue struct {
	Target Target
	// Prompt holds interactive and assured requests, Deferred the others.
	Prompt   *FairQueue
	Deferred *FairQueue
	// Since counts the requests that went since the last deferred one.
	Since int
	// Pace is learnt from how fast a backlog went.
	Pace Pace

	references int // endpoints that have the target
}

func (q *Queue) waiting() int { return q.Prompt.Waiting + q.Deferred.Waiting }

func (q *Queue) of(class filter.Class) *FairQueue {
	if class == filter.Deferred {
		return q.Deferred
	}
	return q.Prompt
}

// avoids says whether a lane does not use an endpoint.
func (l *Lane) avoids(endpoint *Endpoint) bool {
	return slices.Contains(l.Avoid, endpoint.Name)
}

// ready says whether the lane has an endpoint that takes a request now. It
// looks at no more endpoints than the lane avoids, and one.
func (l *Lane) ready() bool {
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

// spare says whether one of the lane's first endpoints has spare capacity.
func (l *Lane) spare(now time.Time) bool {
	for index, endpoint := range l.pool.Open {
		if index == sampleSize {
			break
		}
		if !l.avoids(endpoint.Endpoint) && endpoint.spare(now) {
			return true
		}
	}
	return false
}

// paceWindow is how long a backlog is watched for one observation.
const paceWindow = time.Second

// Pace is how many tokens of waiting requests get a slot a second while there
// is a backlog.
type Pace struct {
	// TokensPerSecond is 0 until it is learnt.
	TokensPerSecond float64
	// From is when the current window began; zero without a backlog.
	From   time.Time
	Tokens float64
}

// begin starts a window when a backlog begins.
func (p *Pace) begin(now time.Time) {
	if p.From.IsZero() {
		p.From, p.Tokens = now, 0
	}
}

// took notes that a request went.
func (p *Pace) took(now time.Time, tokens float64, backlog bool) {
	if p.From.IsZero() {
		return
	}
	p.Tokens += tokens
	if elapsed := now.Sub(p.From); elapsed >= paceWindow {
		rate := p.Tokens / elapsed.Seconds()
		if p.TokensPerSecond == 0 {
			p.TokensPerSecond = rate
		}
		p.TokensPerSecond += (rate - p.TokensPerSecond) / 4
		p.From, p.Tokens = now, 0
	}
	if !backlog {
		p.From = time.Time{}
	}
}
