package balancer

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/queuer"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// oldestInterval is the number of dispatches of a service of which one goes to the
	// request that has waited longest, so that less urgent requests do not starve.
	oldestInterval = 10
	// promotionShare is the share of its waiting time after which a request goes before
	// the others of its workspace and rank, so that requests with less time do not
	// overtake it indefinitely.
	promotionShare = 0.5
	// maxRank is the least urgent rank that is distinguished.
	maxRank = 9
)

// Waiting holds the requests that have no replica yet.
type Waiting struct {
	ByCall map[runner.Call]*Waiter
	// Services holds the queue of each service with waiting requests.
	Services map[string]*ServiceQueue
	// Models holds what is known of the queue of each model and adapter, by rank.
	Models map[modelQueueKey]*ModelQueue

	backlogs  *queuer.Backlogs[*Waiter]
	byArrival list.List // of *Waiter
}

// Waiter is a request that has no replica yet.
type Waiter struct {
	Call  runner.Call
	Need  Need
	Since time.Time

	lane *Lane
	// Positions in the structures above, for removal.
	entry        *queuer.Entry[*Waiter]
	backlogEntry queuer.BacklogEntry[*Waiter]
	arrival      *list.Element
	laneArrival  *list.Element
	giveUpIndex  int
}

// Before implements queuer.Item: it orders the requests of a lane by the time at which
// they are given up.
func (w *Waiter) Before(other *Waiter) bool {
	if !w.Need.GiveUpAt.Equal(other.Need.GiveUpAt) {
		return w.Need.GiveUpAt.Before(other.Need.GiveUpAt)
	}
	return w.entry.Number < other.entry.Number
}

// SetIndex implements queuer.Item.
func (w *Waiter) SetIndex(index int) { w.giveUpIndex = index }

// ServiceQueue holds the waiting requests of a service, whose replicas they share.
type ServiceQueue struct {
	*queuer.Queue[*Waiter]
	// Lanes holds the groups of requests that the same replicas can serve.
	Lanes map[string]*Lane
}

func newWaiting() Waiting {
	return Waiting{
		ByCall:   map[runner.Call]*Waiter{},
		Services: map[string]*ServiceQueue{},
		Models:   map[modelQueueKey]*ModelQueue{},
		backlogs: queuer.NewBacklogs[*Waiter](),
	}
}

func (n Need) rank() int { return min(max(0, n.Rank), maxRank) }

// cost returns the tokens for which the request is charged. Requests of plain services
// cost the same.
func (n Need) cost() float64 { return float64(max(1, n.Cost, n.Tokens)) }

func (n Need) useKey() useKey { return useKey{n.Service, modelKey{n.Model, n.Adapter}} }

// enqueue adds a request to the waiting ones.
func (c *Controller) enqueue(waiter *Waiter) {
	need := waiter.Need
	service := c.Waiting.Services[need.Service]
	if service == nil {
		service = &ServiceQueue{Queue: queuer.New[*Waiter](oldestInterval), Lanes: map[string]*Lane{}}
		c.Waiting.Services[need.Service] = service
	}
	lane := service.Lanes[waiter.lane.Key]
	if lane == nil {
		lane = waiter.lane
		service.Lanes[lane.Key] = lane
	}
	waiter.lane = lane
	waiter.entry = service.Push(waiter, queuer.Attributes{
		Lane:      lane.Key,
		Rank:      need.rank(),
		Workspace: need.Workspace,
		Weight:    1,
		Cost:      need.cost(),
		Due:       need.GiveUpAt,
		PromoteAt: waiter.Since.Add(time.Duration(promotionShare * float64(need.GiveUpAt.Sub(waiter.Since)))),
	})
	lane.ByGiveUp.Push(waiter)
	waiter.laneArrival = lane.byArrival.PushBack(waiter)
	waiter.backlogEntry = c.Waiting.backlogs.Add(waiter, need.rank(), need.Workspace, 1)
	waiter.arrival = c.Waiting.byArrival.PushBack(waiter)
	c.Waiting.ByCall[waiter.Call] = waiter
	c.modelQueue(need).add(need)
}

// dequeue removes a request from the waiting ones. Served is set if it got a replica.
func (c *Controller) dequeue(now time.Time, waiter *Waiter, served bool) {
	service := c.Waiting.Services[waiter.Need.Service]
	if served {
		service.Serve(waiter.entry)
	} else {
		service.Remove(waiter.entry)
	}
	lane := waiter.lane
	lane.ByGiveUp.Remove(waiter.giveUpIndex)
	lane.byArrival.Remove(waiter.laneArrival)
	if len(lane.ByGiveUp) == 0 {
		delete(service.Lanes, lane.Key)
	}
	c.Waiting.backlogs.Remove(waiter.backlogEntry)
	c.Waiting.byArrival.Remove(waiter.arrival)
	delete(c.Waiting.ByCall, waiter.Call)
	c.modelQueue(waiter.Need).remove(now, waiter.Need, served)
	if service.Waiting == 0 {
		delete(c.Waiting.Services, waiter.Need.Service)
	}
}

// serveWaiters assigns replicas to the waiting requests for which one has
// become available and refuses those that can no longer be served.
func (c *Controller) serveWaiters(now time.Time) []Effect {
	c.CheckedAt = now
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(c.Waiting.Services)) {
		service := c.Waiting.Services[name]
		effects = append(effects, c.serveService(now, service)...)
		effects = append(effects, c.refuseHopeless(now, service)...)
		effects = append(effects, c.refuseUnreachable(now, service)...)
	}
	c.Freed = c.Freed[:0]
	return effects
}

// serveService assigns replicas to the waiting requests of a service, in their order,
// until no replica has room for any of them.
func (c *Controller) serveService(now time.Time, service *ServiceQueue) []Effect {
	service.Advance(now)
	var effects []Effect
	for {
		next := service.Next(func(waiter *Waiter) bool { return c.hasRoom(now, waiter) })
		if next == nil {
			return append(effects, c.serveAvoiding(now, service)...)
		}
		if effect, ok := c.serveWaiter(now, next.Value); ok {
			effects = append(effects, effect)
		}
		// Otherwise the replica is at its limit, and hasRoom now knows that.
	}
}

// serveAvoiding assigns replicas to the requests that have waited long enough for a
// replica other than those that they avoid, although others of their lane, which go
// before them, still avoid them.
func (c *Controller) serveAvoiding(now time.Time, service *ServiceQueue) []Effect {
	var effects []Effect
	for _, key := range slices.Sorted(maps.Keys(service.Lanes)) {
		lane := service.Lanes[key]
		for lane.Avoiding && lane.byArrival.Len() > 0 {
			oldest := lane.byArrival.Front().Value.(*Waiter)
			if now.Sub(oldest.Since) <= avoidanceTimeout {
				break
			}
			effect, ok := c.serveWaiter(now, oldest)
			if !ok {
				break
			}
			effects = append(effects, effect)
		}
	}
	return effects
}

// serveWaiter assigns a replica to a waiting request, or returns false if none has
// room.
func (c *Controller) serveWaiter(now time.Time, waiter *Waiter) (Effect, bool) {
	placement, ok := c.chooseReplica(now, waiter)
	if !ok {
		return nil, false
	}
	c.dequeue(now, waiter, true)
	c.Assignments[waiter.Call].waited = true
	return AnswerPlace{waiter.Call, placement}, true
}

// refuseWaiter removes a waiting request and refuses it.
func (c *Controller) refuseWaiter(now time.Time, waiter *Waiter, refusal *Refusal) Effect {
	c.dequeue(now, waiter, false)
	return AnswerPlace{waiter.Call, Placement{Refused: refusal, Waited: now.Sub(waiter.Since)}}
}

// boundWaits moves the time at which waiting requests are given up to the drain
// deadline.
func (c *Controller) boundWaits() {
	for _, waiter := range c.Waiting.ByCall {
		waiter.Need.GiveUpAt = c.beforeDrainDeadline(waiter.Need.GiveUpAt)
		waiter.lane.ByGiveUp.Fix(waiter.giveUpIndex)
	}
}

// nextCheckAt returns when the waiting requests are next checked without a message: when
// one of them is given up, and when a replica may have room for one.
func (c *Controller) nextCheckAt() time.Time {
	var at time.Time
	for _, service := range c.Waiting.Services {
		for _, lane := range service.Lanes {
			laneAt := earlier(lane.RecheckAt, lane.ByGiveUp[0].Need.GiveUpAt)
			if at.IsZero() || laneAt.Before(at) {
				at = laneAt
			}
		}
	}
	return at
}
