package planner

import (
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// limitedReplicaCost is added to the cost of a load at a replica that has named a limit:
// more than a load from a replica's own copies takes, and less than one from the weight
// store.
const limitedReplicaCost = time.Second

// hasLimit reports whether a replica has named a limit.
func (c *Controller) hasLimit(e *Endpoint) bool {
	known := c.Tenure.Notices[e.Entry.ID]
	return known != nil && known.Rate > 0 && known.StartedMS == e.Entry.StartedMS
}

// replicasLike returns the number of replicas that could replace a replica that holds a model,
// itself included. One with a limit cannot replace one without.
func (c *Controller) replicasLike(e *Endpoint, key ModelKey) int {
	if c.hasLimit(e) {
		return c.index.holders[key]
	}
	return c.index.unlimitedHolders[key]
}

// countHolder counts an endpoint that will hold a model, or will not hold it any more.
func (c *Controller) countHolder(e *Endpoint, model string, change int) {
	key := ModelKey{e.Entry.Service, model}
	c.index.holders[key] += change
	if !c.hasLimit(e) {
		c.index.unlimitedHolders[key] += change
	}
}

// location is the replicas of a service in a data centre, or in all of them if DataCentre is
// empty.
type location struct{ Service, DataCentre string }

// hasUnlimited reports whether a service has a replica without a limit in the data centres that
// takes requests.
func (c *Controller) hasUnlimited(service string, in DataCentres) bool {
	for name := range strings.SplitSeq(string(in), ",") {
		if c.index.unlimited[location{service, name}] {
			return true
		}
	}
	return false
}

// needsUnlimited reports whether the replicas that have a model hold its requests back, so that
// only a replica without a limit relieves them. The rest of a stream goes on at any replica of its
// version, because there may be few.
func (c *Controller) needsUnlimited(demand DemandKey) bool {
	return demand.Version == "" && c.hasUnlimited(demand.Service, demand.DataCentres) && c.index.saturated[saturationKey{demand.ModelKey, demand.DataCentres}]
}

// holdsBack reports whether a replica that has what a demand is for is at its limit while others
// have none.
func (c *Controller) holdsBack(e *Endpoint, demand DemandKey) bool {
	return c.hasLimit(e) && c.needsUnlimited(demand)
}

// recordLimits adopts the limits in a node's report that are newer than the known ones.
func (c *Controller) recordLimits(now time.Time, report Report) {
	for _, limit := range report.RateLimits {
		known, namedAt := c.Tenure.noticeOf(limit.Replica, limit.StartedMS), now.Add(-limit.Age)
		if known != nil && namedAt.After(known.NamedAt) {
			known.Rate, known.NamedAt = limit.Rate, namedAt
			if !limit.BrittleUnknown {
				known.Brittle, known.MaxRefusals = limit.Brittle, limit.MaxRefusals
			}
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
