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

// namedLimit is the limit of a replica as an answer named it at NamedAt, 0 for none.
type namedLimit struct {
	StartedMS int64
	Rate      float64
	NamedAt   time.Time
}

// limitedReplicaCost is added to the cost of a load at a replica that has named a limit:
// more than a load from a replica's own copies takes, and less than one from the weight
// store.
const limitedReplicaCost = time.Second

// hasLimit reports whether a replica has named a limit.
func (c *Controller) hasLimit(e *Endpoint) bool {
	limit := c.Tenure.Limits[e.Entry.ID]
	return limit.Rate > 0 && limit.StartedMS == e.Entry.StartedMS
}

// hasUnlimitedReplica reports whether a service has a replica without a limit that is not
// leaving.
func (c *Controller) hasUnlimitedReplica(service string) bool {
	for _, e := range c.Tenure.Endpoints {
		if e.Entry.Service == service && !e.Entry.Leaving && !c.hasLimit(e) {
			return true
		}
	}
	return false
}

// recordLimits adopts the limits in a node's report that are newer than the known ones.
func (c *Controller) recordLimits(now time.Time, report Report) {
	for _, limit := range report.RateLimits {
		namedAt := now.Add(-limit.Age)
		if known, ok := c.Tenure.Limits[limit.Replica]; ok && (limit.StartedMS < known.StartedMS || !namedAt.After(known.NamedAt)) {
			continue
		}
		c.Tenure.Limits[limit.Replica] = namedLimit{StartedMS: limit.StartedMS, Rate: limit.Rate, NamedAt: namedAt}
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
		limit, ok := c.Tenure.Limits[replica.ID]
		if !ok || limit.StartedMS != replica.StartedMS {
			continue
		}
		limits[i], found = limit.Rate, true
		if limit.Rate == 0 {
			limits[i] = NoLimit
		}
	}
	if !found {
		return nil
	}
	return limits
}

// forgetLimits removes the limits of replicas that are not in the table, and what was
// counted for them.
func (c *Controller) forgetLimits(table []surveyor.Replica) {
	t := c.Tenure
	listed := make(map[string]bool, len(table))
	for _, replica := range table {
		listed[replica.ID] = true
	}
	maps.DeleteFunc(t.Limits, func(replica string, _ namedLimit) bool { return !listed[replica] })
	for name := range t.Totals.Consumed {
		if replica, ok := strings.CutPrefix(name, limitPrefix); ok && !listed[replica] {
			delete(t.Totals.Consumed, name)
			for _, peer := range t.Peers {
				delete(peer.Consumed, name)
			}
		}
	}
}
