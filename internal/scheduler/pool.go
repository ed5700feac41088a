package scheduler

import (
	"container/list"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/queuer"
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
	Waiting queuer.Heap[*WaitingRequest]
	// NextReportAt is when the demand is next reported to the placer.
	NextReportAt time.Time

	deadlineIndex int
	reportElement *list.Element
}

// Before implements queuer.Item.
func (d *Demand) Before(other *Demand) bool {
	return d.Waiting[0].Before(other.Waiting[0])
}

// SetIndex implements queuer.Item.
func (d *Demand) SetIndex(index int) { d.deadlineIndex = index }

// Queue holds the waiting requests for a model with its adapters, or for a
// service.
type Queue struct {
	Target Target
	// Foreground holds interactive and assured requests, Deferred holds
	// deferred ones.
	Foreground *queuer.Queue[*WaitingRequest]
	Deferred   *queuer.Queue[*WaitingRequest]
	// ForegroundGrants counts foreground grants since the last deferred one.
	ForegroundGrants int
	// GrantPace, in tokens, is measured while requests are waiting.
	GrantPace queuer.Pace

	endpointCount int // number of endpoints that serve the target
}

func (q *Queue) waitingCount() int { return q.Foreground.Waiting + q.Deferred.Waiting }

func (q *Queue) fairQueue(class filter.Class) *queuer.Queue[*WaitingRequest] {
	if class == filter.Deferred {
		return q.Deferred
	}
	return q.Foreground
}
