package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// unknownLatency stands for the latency of a replica without answers.
	unknownLatency = 50 * time.Millisecond
	// affinityGain is the advantage of the replica that has a long prefix.
	affinityCostFactor = 0.6
	// suspectCost is the disadvantage of a replica that fails other nodes.
	suspectCostFactor = 2
	// noiseShare spreads the choices of nodes that know the same.
	costJitter = 0.15
	// relaxAfter is how long a request waits for another replica than those
	// that failed.
	avoidanceTimeout = typicalLoadTime
	// fullLoad is the share of a plain replica's slots from which on requests
	// wait at the node: the replica would queue them without order.
	maxPlainLoad = 2.0
	// fullEngine is that share for an engine, which admits a few requests
	// more; what the other nodes run is known with a delay.
	maxEngineLoad = 1.1
	// usualLoad is the time to make room for a model and to load it from a
	// replica's own copies.
	typicalLoadTime = 900 * time.Millisecond
	// noHolderRetry is when a request may come back that nobody can load a
	// model for, before a holder was heard.
	noHolderRetryAfter = 2500 * time.Millisecond
	// overloadRetry is when a request may come back that found all replicas full.
	overloadRetryAfter = 400 * time.Millisecond
	// waitingCheck is the longest time between two looks at waiting requests.
	maxCheckInterval = 20 * time.Millisecond
	// waitingPause is the shortest such time.
	minCheckInterval = time.Millisecond
	// maxWaiting bounds the waiting requests of a node.
	maxWaiters = 2000
)

// Controller chooses replicas for one node.
type Controller struct {
	Replicas map[string]*Replica
	// IDs are those of the replicas in order, nil after a change.
	SortedIDs []string
	// OrdersFrom is when the holder may order loads, as it said last; zero
	// before a holder was heard.
	OrdersAllowedAt time.Time
	// Waits holds the waiting requests in the order of their arrival.
	Waiters []*Waiter
	// Grants holds the placements that have not ended.
	Grants map[runner.Call]*grant
	// Uses counts what was sent since the last Collect.
	Uses map[useKey]*planner.Use
	// Until is set while the node leaves, and bounds all waits.
	DrainDeadline time.Time
	// LookedAt is when the waiting requests were last looked at.
	CheckedAt time.Time
	// Random makes the choices of this node differ from those of the others.
	Random *rand.Rand
}

// Wait is a request without a replica.
type Waiter struct {
	Call  runner.Call
	Need  Need
	Since time.Time
}

// grant is a placement that has not ended. The replica's record may have been
// replaced since.
type grant struct {
	replica *Replica
	need    Need
}

type useKey struct {
	service string
	modelKey
}

// NewController returns a controller whose choices are drawn from a seed.
func NewController(seed uint64) *Controller {
	return &Controller{
		Replicas: map[string]*Replica{},
		Grants:   map[runner.Call]*grant{},
		Uses:     map[useKey]*planner.Use{},
		Random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Wake returns when the waiting requests are looked at next: when a load ends,
// when one of them is given up, and otherwise at intervals.
func (c *Controller) Wake() time.Time {
	if len(c.Waiters) == 0 {
		return time.Time{}
	}
	wake := c.CheckedAt.Add(maxCheckInterval)
	soonest := c.CheckedAt.Add(minCheckInterval)
	for _, wait := range c.Waiters {
		wake = earlier(wake, wait.Need.GiveUpAt)
		for _, replica := range c.Replicas {
			if ready, ok := replica.loadEndsAt(modelKey{wait.Need.Model, wait.Need.Adapter}); ok && ready.After(c.CheckedAt) {
				wake = earlier(wake, ready)
			}
		}
	}
	if wake.Before(soonest) {
		return soonest
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case Tick:
	case SetReplicas:
		c.setReplicas(now, message)
	case SetPeerState:
		c.OrdersAllowedAt = now.Add(message.OrdersAllowedIn)
		for id, replica := range c.Replicas {
			replica.RunningElsewhere = message.Active[id]
			if slices.Contains(message.Suspects, id) {
				replica.SuspectedUntil = now.Add(peerSuspicionTTL)
			}
		}
	case Place:
		return c.place(now, message)
	case Cancel:
		c.Waiters = slices.DeleteFunc(c.Waiters, func(wait *Waiter) bool { return wait.Call == message.Call })
		c.endAttempt(now, AttemptEnded{PlacementID: message.Call, Result: Abandoned})
	case AttemptEnded:
		return append(c.endAttempt(now, message), c.serveWaiters(now)...)
	case Leave:
		c.DrainDeadline = message.Until
		for _, wait := range c.Waiters {
			wait.Need.GiveUpAt = c.beforeDrainDeadline(wait.Need.GiveUpAt)
		}
	case Collect:
		return []Effect{c.collect(now, message.Call)}
	}
	return c.serveWaiters(now)
}

func (c *Controller) setReplicas(now time.Time, message SetReplicas) {
	c.SortedIDs = nil
	found := make(map[string]bool, len(message.Replicas))
	for _, told := range message.Replicas {
		found[told.ID] = true
		known := c.Replicas[told.ID]
		if known == nil || known.Description.StartedMS != told.StartedMS || known.Description.Address != told.Address {
			known = &Replica{
				LoadEndsAt:   map[modelKey]time.Time{},
				MissingUntil: map[modelKey]time.Time{},
				Running:      map[string]int{},
			}
			c.Replicas[told.ID] = known
		}
		known.update(now, told)
	}
	for id := range c.Replicas {
		if !found[id] {
			delete(c.Replicas, id)
		}
	}
}

// place grants a replica at once, refuses, or lets the request wait.
func (c *Controller) place(now time.Time, message Place) []Effect {
	waiter := &Waiter{Call: message.Call, Need: message.Need, Since: now}
	waiter.Need.GiveUpAt = c.beforeDrainDeadline(waiter.Need.GiveUpAt)
	if placement, ok := c.chooseReplica(now, waiter); ok {
		return []Effect{Grant{message.Call, placement}}
	}
	if refusal := c.refusalFor(now, waiter); refusal != nil {
		return []Effect{Grant{message.Call, Placement{Refused: refusal}}}
	}
	c.Waiters = append(c.Waiters, waiter)
	c.CheckedAt = now
	if message.Need.Model != "" && !c.isLoading(message.Need) {
		return []Effect{NewDemand{}}
	}
	return nil
}

// bounded returns the end of a wait, earlier if the node leaves before.
func (c *Controller) beforeDrainDeadline(giveUpAt time.Time) time.Time {
	if c.DrainDeadline.IsZero() {
		return giveUpAt
	}
	return earlier(giveUpAt, c.DrainDeadline)
}

// hopeless returns a refusal for a request that waiting cannot help.
func (c *Controller) refusalFor(now time.Time, waiter *Waiter) *Refusal {
	need := waiter.Need
	switch {
	case !now.Before(need.GiveUpAt):
		return &Refusal{Reason: "no replica in time", RetryAfter: overloadRetryAfter}
	case len(c.Waiters) >= maxWaiters:
		return &Refusal{Reason: "too many requests wait", RetryAfter: overloadRetryAfter}
	case !c.hasService(need.Service):
		return &Refusal{Reason: "service has no replicas", RetryAfter: overloadRetryAfter}
	case need.Model == "":
		return nil
	}
	if c.ordersAllowed(now) || c.isLoading(need) || c.isLoaded(need) {
		return nil
	}
	if c.OrdersAllowedAt.IsZero() {
		return &Refusal{Reason: "model is not loaded and no holder can order it", RetryAfter: noHolderRetryAfter}
	}
	if loadedAt := c.OrdersAllowedAt.Add(typicalLoadTime); loadedAt.After(need.GiveUpAt) {
		return &Refusal{Reason: "model is not loaded and the holder cannot order it in time", RetryAfter: loadedAt.Sub(now)}
	}
	return nil
}

// ordering says whether the holder may order loads.
func (c *Controller) ordersAllowed(now time.Time) bool {
	return !c.OrdersAllowedAt.IsZero() && !now.Before(c.OrdersAllowedAt)
}

func (c *Controller) hasService(service string) bool {
	for _, replica := range c.Replicas {
		if replica.Description.Service == service {
			return true
		}
	}
	return false
}

// coming says whether a load of what the request needs is in progress.
func (c *Controller) isLoading(need Need) bool {
	for _, replica := range c.Replicas {
		if replica.Description.Service == need.Service && !replica.Description.Leaving {
			if _, ok := replica.loadEndsAt(modelKey{need.Model, need.Adapter}); ok {
				return true
			}
		}
	}
	return false
}

// present says whether a replica has what the request needs, full or not.
func (c *Controller) isLoaded(need Need) bool {
	for _, replica := range c.Replicas {
		if replica.Description.Service == need.Service && !replica.Description.Leaving && replica.Description.Has(need.Model, need.Adapter) {
			return true
		}
	}
	return false
}

// full says whether all replicas that have what the request needs are full.
func (c *Controller) allFull(need Need) bool {
	found := false
	for _, replica := range c.Replicas {
		if replica.Description.Service != need.Service || replica.Description.Leaving || !replica.Description.Has(need.Model, need.Adapter) {
			continue
		}
		if !replica.isFull() {
			return false
		}
		found = true
	}
	return found
}

// ended settles a placement and notes when a replica becomes suspect or is
// trusted again.
func (c *Controller) endAttempt(now time.Time, message AttemptEnded) []Effect {
	granted := c.Grants[message.PlacementID]
	if granted == nil {
		return nil
	}
	delete(c.Grants, message.PlacementID)
	replica := granted.replica
	replica.recordResult(now, granted.need, message)
	suspect := replica.failures(now) >= suspectThreshold
	if suspect == replica.SuspicionLogged {
		return nil
	}
	replica.SuspicionLogged = suspect
	text := "replica trusted again"
	if suspect {
		text = "replica suspected"
	}
	return []Effect{Note{Text: text, Replica: replica.Description.ID, Result: message.Result, Failures: replica.failures(now)}}
}

// serveWaits grants what has become possible and refuses what is over.
func (c *Controller) serveWaiters(now time.Time) []Effect {
	c.CheckedAt = now
	var effects []Effect
	c.Waiters = slices.DeleteFunc(c.Waiters, func(wait *Waiter) bool {
		if placement, ok := c.chooseReplica(now, wait); ok {
			effects = append(effects, Grant{wait.Call, placement})
			return true
		}
		if refusal := c.refusalFor(now, wait); refusal != nil {
			effects = append(effects, Grant{wait.Call, Placement{Refused: refusal, Waited: now.Sub(wait.Since)}})
			return true
		}
		return false
	})
	return effects
}
