package scheduler

import (
	"container/list"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// DefaultBound is the number of requests that may wait at a node.
const DefaultBound = 2000

// Controller is the Scheduler controller of a node.
type Controller struct {
	// Self is this node's place.
	Self router.Location
	// Bound is the number of requests that may wait.
	Bound int
	// Source is the source of all random choices.
	Source router.Source

	// Fleet is the newest view, Nodes the number of nodes in it that may send
	// to the same endpoints, this one included.
	Fleet     tracker.Fleet
	Nodes     int
	Endpoints map[string]*Endpoint
	Queues    map[Target]*Queue
	Pools     map[Target]*Pool

	// Calls finds the waiting requests by call, Slots the slots by ID, and
	// Granted the slot of an answered call.
	Calls   map[runner.Call]*Waiting
	Slots   map[uint64]*Slot
	Granted map[runner.Call]uint64
	// LastSlot and LastNumber count slots and requests.
	LastSlot   uint64
	LastNumber uint64

	// Deadlines is ordered by the earliest deadline, Resume by ResumeAt.
	Deadlines heap[*Demand]
	Resume    heap[*Endpoint]

	// Attained is the tokens that workspaces received lately, fleet-wide.
	Attained map[string]float64
	Cold     Cold

	Draining   bool
	DrainUntil time.Time
	// Published is the load that was published last, at PublishedAt.
	Published   Publish
	PublishedAt time.Time

	periodic   list.List // of *Demand, by Next
	backlogs   backlogs
	effects    []Effect
	generation uint64
}

// Slot is a slot in use.
type Slot struct {
	ID        uint64
	Call      runner.Call
	Endpoint  *Endpoint
	Admission filter.Admission
	// Work is the part of the prompt that the endpoint had to compute.
	Work float64
	// Wait is the time that was expected in the endpoint's queue.
	Wait time.Duration
}

// NewController returns a controller that knows no endpoints.
func NewController(self router.Location, seed uint64) *Controller {
	return &Controller{
		Self:      self,
		Bound:     DefaultBound,
		Source:    router.Source{State: seed},
		Nodes:     1,
		Endpoints: map[string]*Endpoint{},
		Queues:    map[Target]*Queue{},
		Pools:     map[Target]*Pool{},
		Calls:     map[runner.Call]*Waiting{},
		Slots:     map[uint64]*Slot{},
		Granted:   map[runner.Call]uint64{},
		Cold:      newCold(),
		Published: Publish{Bound: DefaultBound},
		backlogs:  newBacklogs(),
	}
}

// Step implements runner.Controller. Deadlines come before the message, so
// that a slot that becomes free at a deadline goes to a request in time.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	c.expire(now)
	c.handle(now, message)
	c.resume(now)
	c.remind(now)
	c.publish(now)
	return c.effects
}

func (c *Controller) handle(now time.Time, message Message) {
	switch message := message.(type) {
	case Admit:
		c.admit(now, message)
	case Cancel:
		c.cancel(now, message.Call)
	case Release:
		c.release(now, message)
	case FleetChanged:
		c.fleetChanged(now, message.Fleet)
	case CacheEvents:
		if endpoint, ok := c.Endpoints[message.Endpoint]; ok {
			endpoint.Locality.Apply(message.Events, message.Last)
		}
	case AttainedService:
		c.Attained = message.Tokens
	case PlacementChanged:
		c.Cold.placementChanged(now, message.Loads, c.Endpoints)
	case Drain:
		c.drain(now, message.Until)
	case Tick:
	default:
		panic(fmt.Sprintf("unknown message %T", message))
	}
}

// Wake implements runner.Controller.
func (c *Controller) Wake() time.Time {
	var wake time.Time
	sooner := func(at time.Time) {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	if len(c.Deadlines) > 0 {
		sooner(c.Deadlines[0].Waiting[0].Admission.Deadline)
		sooner(c.drainAt())
	}
	if len(c.Resume) > 0 {
		sooner(c.Resume[0].ResumeAt)
	}
	if first := c.periodic.Front(); first != nil {
		sooner(first.Value.(*Demand).Next)
	}
	if c.load() != c.Published {
		sooner(c.PublishedAt.Add(publishPeriod))
	}
	return wake
}

func (c *Controller) emit(effect Effect) { c.effects = append(c.effects, effect) }

// refuse answers a call that does not wait, or no longer.
func (c *Controller) refuse(call runner.Call, reason filter.Reason, after time.Duration, format string, arguments ...any) {
	c.emit(RefuseCall{Call: call, Refusal: filter.Refusal{
		Reason:     reason,
		Detail:     fmt.Sprintf(format, arguments...),
		Run:        filter.NotRun,
		RetryAfter: after,
	}})
}

// publishPeriod bounds how often the node's load is published.
const publishPeriod = time.Second

func (c *Controller) load() Publish {
	return Publish{Waiting: len(c.Calls), Bound: c.Bound, InUse: len(c.Slots), Draining: c.Draining}
}

// publish spreads a changed load once a period, and the start of a drain at
// once.
func (c *Controller) publish(now time.Time) {
	load := c.load()
	due := !now.Before(c.PublishedAt.Add(publishPeriod)) || load.Draining != c.Published.Draining
	if load == c.Published || !due {
		return
	}
	c.Published, c.PublishedAt = load, now
	c.emit(load)
}
