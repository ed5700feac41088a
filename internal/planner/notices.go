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
