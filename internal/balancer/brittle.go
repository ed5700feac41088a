package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// brittleMemory is how long the replicas of a service that have not answered yet are
	// taken for brittle after another one was. It covers the restart of all of them.
	brittleMemory = 10 * time.Second
	// brittleRefusedBackoff replaces refusedBackoff for a brittle replica: it bears a few
	// refusals in any second, and each node causes at most one.
	brittleRefusedBackoff = time.Second
	// spareShare is the part of the slots of a brittle replica that is left free, rounded
	// down: it may still run requests whose answers were broken off.
	spareShare = 8
	// unlistedRetryDelay is how long a node without a list of nodes waits before it looks
	// for the node that grants permits again.
	unlistedRetryDelay = 250 * time.Millisecond
)

// Brittleness is whether a replica ends if it has to turn more than MaxRefusals requests away
// in a second.
type Brittleness struct {
	Brittle     bool `json:",omitempty"`
	MaxRefusals int  `json:",omitempty"`
}

// PermitNeed is the permit that a request needs before it is sent to a brittle replica.
type PermitNeed struct {
	// Granter is the address for callers of the node that grants permits for the replica.
	Granter string
	// Capacity is the number of requests that the replica may run, and Active the number of
	// others that this node knows of.
	Capacity, Active int
	// MaxRefusals is the number of requests that the replica can turn away in a second, 0 if
	// it is not known.
	MaxRefusals int `json:",omitempty"`
}

// setBrittle sets whether the replica is brittle, and returns a note if that has changed.
func (n *Notice) setBrittle(replica string, state Brittleness) []Effect {
	changed := n.Brittle != state.Brittle
	n.Brittleness = state
	if !changed {
		return nil
	}
	text := "replica is brittle"
	if !state.Brittle {
		text = "replica is not brittle any more"
		n.ThrottledUntil = time.Time{}
	}
	return []Effect{Note{Text: text, Replica: replica, MaxRefusals: state.MaxRefusals}}
}

// noteBrittle remembers that a replica of the service is brittle.
func (c *Controller) noteBrittle(now time.Time, replica *Replica) {
	if replica.Notice.Brittle {
		c.BrittleServices[replica.Description.Service] = now
	}
}

// isBrittle reports whether the replica is brittle, or may be: replicas of a service are
// brittle together, and a replica that has started again has not said so yet.
func (c *Controller) isBrittle(now time.Time, replica *Replica) bool {
	notice := replica.Notice
	published := notice.PublishedLimit != 0 && !notice.BrittleUnpublished
	if notice.Brittle || !notice.NamedAt.IsZero() || published {
		return notice.Brittle
	}
	seenAt, seen := c.BrittleServices[replica.Description.Service]
	return seen && now.Sub(seenAt) < brittleMemory
}

// permitNeed returns the permit that a request needs for a replica, nil if it needs none. If
// this node does not know the nodes, it returns false.
func (c *Controller) permitNeed(now time.Time, replica *Replica) (*PermitNeed, bool) {
	if !c.isBrittle(now, replica) {
		return nil, true
	}
	if len(c.Cold.Nodes) == 0 {
		return nil, false
	}
	slots := max(1, replica.Description.Slots)
	capacity := slots - slots/spareShare
	if nodes := len(c.Cold.Nodes); nodes < c.Cold.Registered {
		// The nodes that are cut off may have a granter of their own.
		capacity = max(1, capacity*nodes/c.Cold.Registered)
	}
	return &PermitNeed{Granter: c.granter(replica), Capacity: capacity, Active: replica.active(), MaxRefusals: replica.Notice.MaxRefusals}, true
}

// granter returns the node with the highest rendezvous hash for a replica.
func (c *Controller) granter(replica *Replica) string {
	best, replicaHash := 0, xxhash.Sum64String(replica.Description.ID)
	for i := range c.Cold.Hashes {
		if weight(c.Cold.Hashes[i], replicaHash) > weight(c.Cold.Hashes[best], replicaHash) {
			best = i
		}
	}
	return c.Cold.Nodes[best]
}

// denyPermit takes back a placement whose request got no permit. The replica is not usable
// until the node may ask again.
func (c *Controller) denyPermit(now time.Time, denied *assignment, retryAfter time.Duration) {
	if at := now.Add(retryAfter); at.After(denied.replica.Notice.ThrottledUntil) {
		denied.replica.Notice.ThrottledUntil = at
	}
	need := denied.need
	if denied.waited {
		c.modelQueue(need).Pace.Retract(need.cost())
	}
	if use := c.Uses[need.useKey()]; use != nil && use.Count > 0 {
		use.Count--
		use.Tokens -= need.Tokens
	}
}

// awaitsPermit reports whether this node waits to ask for a permit again, which other
// requests hold.
func (c *Controller) awaitsPermit(now time.Time, replica *Replica) bool {
	return now.Before(replica.Notice.ThrottledUntil) && c.isBrittle(now, replica)
}
