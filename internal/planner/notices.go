package planner

import (
	"maps"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// limitPrefix begins the names under which requests to replicas with limits are counted
// beside the units of workspaces. No workspace has such a name.
const limitPrefix = "replica "

// LimitName returns the name under which the requests to a replica are counted.
func LimitName(replica string) string { return limitPrefix + replica }

// notice is what one start of a replica has announced in answers to any node.
type notice struct {
	StartedMS int64
	// Rate is the limit as an answer named it at NamedAt, 0 for none. NamedAt is zero if
	// nothing is known of a limit.
	Rate    float64
	NamedAt time.Time
	// Brittle and MaxRefusals are as the same answer named them.
	Brittle     bool
	MaxRefusals int
	// Leaving is set if the replica has announced that it leaves, and ClosedUntil is the end
	// of the longest time for which it wants no requests of a node.
	Leaving     bool
	ClosedUntil time.Time
}

// noticeOf returns the notice of one start of a replica for a change, or nil if a later
// start is known.
func (t *Tenure) noticeOf(replica string, startedMS int64) *notice {
	known := t.Notices[replica]
	switch {
	case known == nil || known.StartedMS < startedMS:
		known = &notice{StartedMS: startedMS}
		t.Notices[replica] = known
	case known.StartedMS > startedMS:
		return nil
	}
	return known
}

// recordNotices adopts what replicas have announced to a node.
func (c *Controller) recordNotices(now time.Time, report Report) {
	for _, reported := range report.Notices {
		known := c.Tenure.noticeOf(reported.Replica, reported.StartedMS)
		if known == nil {
			continue
		}
		known.ClosedUntil = later(known.ClosedUntil, now.Add(reported.ClosedFor))
		if reported.Leaving {
			c.markLeaving(reported.Replica, known)
		}
	}
}

// recordOwnNotice records whether a replica has announced to the holder itself that it leaves.
func (c *Controller) recordOwnNotice(e *Endpoint, leaving bool) {
	if !leaving {
		return
	}
	if known := c.Tenure.noticeOf(e.Entry.ID, e.Entry.StartedMS); known != nil {
		c.markLeaving(e.Entry.ID, known)
	}
}

// markLeaving records that a replica has announced that it leaves.
func (c *Controller) markLeaving(replica string, known *notice) {
	if known.Leaving {
		return
	}
	known.Leaving, c.Tenure.TableStale = true, true
	if endpoint := c.Tenure.Endpoints[replica]; endpoint != nil && endpoint.Entry.StartedMS == known.StartedMS {
		endpoint.Entry.Leaving, endpoint.Queue = true, nil
	}
}

// hasAnnouncedLeaving reports whether a replica has announced that it leaves, whatever its entry in
// the store shows.
func (c *Controller) hasAnnouncedLeaving(replica surveyor.Replica) bool {
	known := c.Tenure.Notices[replica.ID]
	return known != nil && known.Leaving && known.StartedMS == replica.StartedMS
}

// closedReplicas returns the replicas that want no requests of a node, with the
// remaining times, or nil if there are none.
func (c *Controller) closedReplicas(now time.Time) map[string]time.Duration {
	var closed map[string]time.Duration
	for id, known := range c.Tenure.Notices {
		if remaining := known.ClosedUntil.Sub(now); remaining > 0 {
			if closed == nil {
				closed = map[string]time.Duration{}
			}
			closed[id] = remaining
		}
	}
	return closed
}

// limitedReplicaCost is added to the cost of a load at a replica that has named a limit:
// more than a load from a replica's own copies takes, and less than one from the weight
// store.
const limitedReplicaCost = time.Second

// hasLimit reports whether a replica has named a limit.
func (c *Controller) hasLimit(e *Endpoint) bool {
	known := c.Tenure.Notices[e.Entry.ID]
	return known != nil && known.Rate > 0 && known.StartedMS == e.Entry.StartedMS
}

// hasUnlimitedReplica reports whether a service has a replica without a limit that is not
// leaving.
func (c *Controller) hasUnlimitedReplica(service string) bool {
	for _, e := range c.Tenure.Endpoints {
		if e.Entry.Service == service && !e.isExcluded() && !c.hasLimit(e) {
			return true
		}
	}
	return false
}

// recordLimits adopts the limits in a node's report that are newer than the known ones.
func (c *Controller) recordLimits(now time.Time, report Report) {
	for _, limit := range report.RateLimits {
		known, namedAt := c.Tenure.noticeOf(limit.Replica, limit.StartedMS), now.Add(-limit.Age)
		if known != nil && namedAt.After(known.NamedAt) {
			known.Rate, known.NamedAt = limit.Rate, namedAt
			known.Brittle, known.MaxRefusals = limit.Brittle, limit.MaxRefusals
		}
	}
}

// NoLimit is published for a replica that names no limit any more. Without it nodes
// could not distinguish that from a limit which a new holder does not know yet.
const NoLimit = -1

// publishedLimits returns the limits of the replicas of the table, nil if none has named
// one. They are 0 for replicas of which the holder knows nothing.
func (c *Controller) publishedLimits(table []surveyor.Replica) []float64 {
	limits, found := make([]float64, len(table)), false
	for i, replica := range table {
		known := c.Tenure.Notices[replica.ID]
		if known == nil || known.NamedAt.IsZero() || known.StartedMS != replica.StartedMS {
			continue
		}
		limits[i], found = known.Rate, true
		if known.Rate == 0 {
			limits[i] = NoLimit
		}
	}
	if !found {
		return nil
	}
	return limits
}

// brittleReplicas returns the brittle replicas of the table with the requests that each can
// turn away in a second, nil if there are none.
func (c *Controller) brittleReplicas(table []surveyor.Replica) map[string]int {
	var brittle map[string]int
	for _, replica := range table {
		known := c.Tenure.Notices[replica.ID]
		if known == nil || !known.Brittle || known.StartedMS != replica.StartedMS {
			continue
		}
		if brittle == nil {
			brittle = map[string]int{}
		}
		brittle[replica.ID] = known.MaxRefusals
	}
	return brittle
}

// forgetNotices removes the notices of replicas that are not in the table or have started
// again, and what was counted for the limits of the former. The nodes keep those that they
// need and report them again.
func (c *Controller) forgetNotices(table []surveyor.Replica) {
	t := c.Tenure
	listed := make(map[string]int64, len(table))
	for _, replica := range table {
		listed[replica.ID] = replica.StartedMS
	}
	maps.DeleteFunc(t.Notices, func(replica string, known *notice) bool {
		startedMS, ok := listed[replica]
		return !ok || startedMS > known.StartedMS
	})
	for name := range t.Totals.Consumed {
		replica, counted := strings.CutPrefix(name, limitPrefix)
		if _, ok := listed[replica]; counted && !ok {
			delete(t.Totals.Consumed, name)
			for _, peer := range t.Peers {
				delete(peer.Consumed, name)
			}
		}
	}
}
