package scheduler

import (
	"container/list"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/queuer"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// DefaultMaxWaiting is the default limit of waiting requests per node.
const DefaultMaxWaiting = 2000

// Controller is the scheduler of a node as a deterministic state machine.
type Controller struct {
	// Location is where this node runs.
	Location router.Location
	// MaxWaiting is the limit of waiting requests on this node.
	MaxWaiting int
	// Random is the seeded source of all random choices.
	Random router.Source

	// Fleet is the latest view of the fleet. NodeCount is the number of nodes
	// in it that may send requests to the same endpoints, including this node.
	Fleet     tracker.Fleet
	NodeCount int
	Endpoints map[string]*Endpoint
	Queues    map[Target]*Queue
	Pools     map[Target]*Pool

	// Waiting maps calls to waiting requests, Slots maps slot IDs to slots in
	// use, and SlotByCall maps a granted call to its slot ID.
	Waiting    map[runner.Call]*WaitingRequest
	Slots      map[uint64]*Slot
	SlotByCall map[runner.Call]uint64
	// LastSlotID and LastArrivalNumber are the last numbers assigned to a slot
	// and to a request.
	LastSlotID        uint64
	LastArrivalNumber uint64

	// ByDeadline is ordered by earliest deadline, ByResumeTime by ResumeAt.
	ByDeadline   queuer.Heap[*Demand]
	ByResumeTime queuer.Heap[*Endpoint]

	// AttainedService is the number of tokens that each workspace received
	// recently across the fleet.
	AttainedService map[string]float64
	LoadTimes       LoadTimes

	Draining   bool
	DrainUntil time.Time
	// Published is the load last published, and PublishedAt is when.
	Published   PublishLoad
	PublishedAt time.Time

	demandReports list.List // of *Demand, ordered by NextReportAt
	backlogs      *queuer.Backlogs[*WaitingRequest]
	effects       []Effect
	generation    uint64
}

// Slot is a slot in use.
type Slot struct {
	ID        uint64
	Call      runner.Call
	Endpoint  *Endpoint
	Admission filter.Admission
	// ComputedPromptTokens is the estimated number of prompt tokens that were
	// not in the endpoint's prefix cache.
	ComputedPromptTokens float64
	// ExpectedWait is the estimated time in the endpoint's own queue.
	ExpectedWait time.Duration
}

// NewController returns a controller without endpoints.
func NewController(location router.Location, seed uint64) *Controller {
	return &Controller{
		Location:   location,
		MaxWaiting: DefaultMaxWaiting,
		Random:     router.Source{State: seed},
		NodeCount:  1,
		Endpoints:  map[string]*Endpoint{},
		Queues:     map[Target]*Queue{},
		Pools:      map[Target]*Pool{},
		Waiting:    map[runner.Call]*WaitingRequest{},
		Slots:      map[uint64]*Slot{},
		SlotByCall: map[runner.Call]uint64{},
		LoadTimes:  newLoadTimes(),
		Published:  PublishLoad{MaxWaiting: DefaultMaxWaiting},
		backlogs:   queuer.NewBacklogs[*WaitingRequest](),
	}
}

// Step implements runner.Controller. It expires deadlines before it handles the
// message, so that a slot released exactly at a deadline goes to a request that
// is still in time.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	c.effects = nil
	c.expire(now)
	c.handle(now, message)
	c.resumeEndpoints(now)
	c.reportDueDemands(now)
	c.publishLoad(now)
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
			endpoint.PrefixCache.Apply(message.Events, message.Last)
		}
	case AttainedService:
		c.AttainedService = message.Tokens
	case PlacementChanged:
		c.LoadTimes.placementChanged(now, message.Loads, c.Endpoints)
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
	consider := func(at time.Time) {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	if len(c.ByDeadline) > 0 {
		consider(c.ByDeadline[0].Waiting[0].Admission.Deadline)
		consider(c.drainDeadline())
	}
	if len(c.ByResumeTime) > 0 {
		consider(c.ByResumeTime[0].ResumeAt)
	}
	if first := c.demandReports.Front(); first != nil {
		consider(first.Value.(*Demand).NextReportAt)
	}
	if c.currentLoad() != c.Published {
		consider(c.PublishedAt.Add(publishInterval))
	}
	return wake
}

func (c *Controller) emit(effect Effect) { c.effects = append(c.effects, effect) }

// refuse answers a call that is not waiting, or was just removed from its
// queue.
func (c *Controller) refuse(call runner.Call, reason filter.Reason, after time.Duration, format string, arguments ...any) {
	c.emit(RefuseCall{Call: call, Refusal: filter.Refusal{
		Reason:     reason,
		Detail:     fmt.Sprintf(format, arguments...),
		Run:        filter.NotRun,
		RetryAfter: after,
	}})
}

// publishInterval is the minimum time between two publications of the node's
// load.
const publishInterval = time.Second

func (c *Controller) currentLoad() PublishLoad {
	return PublishLoad{Waiting: len(c.Waiting), MaxWaiting: c.MaxWaiting, InUse: len(c.Slots), Draining: c.Draining}
}

// publishLoad publishes a changed load at most once per publishInterval, except
// that the start of a drain is published immediately.
func (c *Controller) publishLoad(now time.Time) {
	load := c.currentLoad()
	due := !now.Before(c.PublishedAt.Add(publishInterval)) || load.Draining != c.Published.Draining
	if load == c.Published || !due {
		return
	}
	c.Published, c.PublishedAt = load, now
	c.emit(load)
}
