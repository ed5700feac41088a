package balancer

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/queuer"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// maxCheckInterval is the longest time after which the replicas are scanned again for
	// requests that wait although nothing has changed, as a safeguard.
	maxCheckInterval = 100 * time.Millisecond
	// suspectCheckInterval replaces it while a suspect replica has room.
	suspectCheckInterval = 20 * time.Millisecond
)

// Lane holds the waiting requests that the same replicas can serve. It remembers that
// none of them has room, so that the replicas are not scanned again for each request
// while nothing has changed.
type Lane struct {
	Key string
	// ByGiveUp holds the requests, the one that is given up first at the top.
	ByGiveUp queuer.Heap[*Waiter]
	// Blocked is set if no replica had room when the replicas were last scanned. Changes is
	// the value of Controller.Changes then, and RecheckAt when the lane has to be scanned
	// again without a change.
	Blocked   bool
	Changes   uint64
	RecheckAt time.Time
	// Avoiding is set if a replica has room that the requests avoid for a time.
	Avoiding bool
	// Saturated is set if replicas would serve the requests, but are full.
	Saturated bool
	// ComparedAt is when the requests were last compared with the pace of their queue.
	ComparedAt time.Time
	// Rescanned is set until it has been checked which requests cannot be served any more.
	Rescanned bool

	byArrival list.List // of *Waiter
}

// laneKey returns what determines the replicas that may serve the request.
func (n Need) laneKey() string {
	parts := []string{n.Model, n.Adapter, "", n.Version}
	switch {
	case n.Continued:
		parts[2] = "continued"
	case n.AssignedTo != nil:
		parts[2], parts[3] = "assigned", *n.AssignedTo
	case n.Stream:
		parts[2] = "stream"
	}
	parts = append(parts, n.dataCentresKey(), n.Replaced)
	return strings.Join(append(parts, slices.Sorted(slices.Values(n.Excluded))...), "\x00")
}

// laneOf returns the lane of a request, which is a new one if no request waits there.
func (c *Controller) laneOf(need Need) *Lane {
	key := need.laneKey()
	if service := c.Waiting.Services[need.Service]; service != nil && service.Lanes[key] != nil {
		return service.Lanes[key]
	}
	return &Lane{Key: key}
}

// noteChange records which lanes have to be scanned again because of a message.
func (c *Controller) noteChange(message Message) {
	switch message := message.(type) {
	case SetReplicas, SetPeerState, SetBeginning, SetColdRules, SetNodes, Leave:
		c.Changes++
	case AttemptEnded:
		c.noteFreed(message.PlacementID)
	case Cancel:
		c.noteFreed(message.Call)
	case NoticeReceived:
		if message.Leaving || message.RetryAfter > 0 {
			c.Changes++
		}
		c.noteFreed(message.PlacementID)
		c.Freed = append(c.Freed, message.Replica)
	}
}

func (c *Controller) noteFreed(id runner.Call) {
	if ended := c.Assignments[id]; ended != nil {
		c.Freed = append(c.Freed, ended.replica.Description.ID)
	}
}

// isCurrent reports whether nothing can have changed for the lane since the replicas
// were scanned.
func (c *Controller) isCurrent(now time.Time, lane *Lane) bool {
	return lane.Blocked && lane.Changes == c.Changes && now.Before(lane.RecheckAt)
}

// hasRoom reports whether a replica can take a request now. It scans the replicas only if
// something has changed for the request's lane.
func (c *Controller) hasRoom(now time.Time, waiter *Waiter) bool {
	lane := waiter.lane
	if c.isCurrent(now, lane) {
		return c.isFreed(now, waiter)
	}
	lane.Blocked = !c.scan(now, waiter)
	if lane.Blocked {
		c.measurePace(now, lane, waiter.Need)
	}
	return !lane.Blocked
}

// isFreed reports whether a replica of which an attempt has ended since the last check
// can take a request.
func (c *Controller) isFreed(now time.Time, waiter *Waiter) bool {
	need := waiter.Need
	key := modelKey{need.Model, need.Adapter}
	for _, id := range c.Freed {
		replica := c.Replicas[id]
		if replica == nil || !need.allows(replica.Description) {
			continue
		}
		switch {
		case !c.isUsable(now, replica, need, key):
			waiter.lane.RecheckAt = earlier(waiter.lane.RecheckAt, replica.nextChangeAt(now, key))
		case now.Sub(waiter.Since) > avoidanceTimeout || !c.shouldAvoid(now, need, id, replica.isSuspect(now)):
			return true
		default:
			waiter.lane.avoid(now)
		}
	}
	return false
}

// scan looks for a replica that can take the request. If there is none, it sets when the
// lane must be scanned again.
func (c *Controller) scan(now time.Time, waiter *Waiter) bool {
	need, lane := waiter.Need, waiter.lane
	key := modelKey{need.Model, need.Adapter}
	avoidanceOver := now.Sub(waiter.Since) > avoidanceTimeout
	lane.Changes, lane.RecheckAt = c.Changes, now.Add(maxCheckInterval)
	lane.Avoiding, lane.Saturated, lane.Rescanned = false, false, true
	for _, replica := range c.holders(need.Service, need.Model) {
		if !need.allows(replica.Description) {
			continue
		}
		if !c.isUsable(now, replica, need, key) {
			lane.Saturated = lane.Saturated || c.isSaturated(now, replica, need, key)
			lane.RecheckAt = earlier(lane.RecheckAt, replica.nextChangeAt(now, key))
			continue
		}
		if avoidanceOver || !c.shouldAvoid(now, need, replica.Description.ID, replica.isSuspect(now)) {
			return true
		}
		lane.avoid(now)
	}
	return false
}

// avoid records that a replica has room that the requests avoid. They are checked again
// soon, because a suspicion fades without a message.
func (l *Lane) avoid(now time.Time) {
	l.Avoiding = true
	l.RecheckAt = earlier(l.RecheckAt, now.Add(suspectCheckInterval))
}

// isSaturated reports whether a replica would serve the request if it were not full.
func (c *Controller) isSaturated(now time.Time, replica *Replica, need Need, key modelKey) bool {
	switch {
	case replica.isExcluded(), replica.isClosed(now), !replica.mayReopen(), !c.fits(now, need, replica.Description.Version):
		return false
	case c.awaitsPermit(now, replica):
		return replica.canServe(now, key)
	case need.Model == "":
		return replica.load() >= maxPlainLoad
	}
	return replica.isFull() && replica.canServe(now, key)
}

// measurePace measures the pace of the queue while requests wait because replicas are full.
// While they wait for a load, or for replicas that take none, the pace shows nothing about
// the time after that. The rest of a stream can use only some of the replicas.
func (c *Controller) measurePace(now time.Time, lane *Lane, need Need) {
	if need.Continued {
		return
	}
	for rank := range maxRank + 1 {
		queue := c.Waiting.Models[modelQueueKey{need.useKey(), need.dataCentresKey(), rank}]
		switch {
		case queue == nil:
		case !lane.Saturated:
			queue.forget()
		case queue.Waiting > 0:
			queue.Pace.Start(now)
		}
	}
}

// nextChangeAt returns the first time after now at which the replica may become usable
// for a model without a message, or a time long after it.
func (r *Replica) nextChangeAt(now time.Time, key modelKey) time.Time {
	next := now.Add(time.Hour)
	loadEndsAt, _ := r.loadEndsAt(key)
	for _, at := range [...]time.Time{r.RefusedUntil, r.Notice.ThrottledUntil, r.Notice.ReopensAt, r.MissingUntil[key], loadEndsAt} {
		if at.After(now) {
			next = earlier(next, at)
		}
	}
	return next
}
