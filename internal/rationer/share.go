package rationer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// liveShare returns the fraction of a limit that is available to the nodes that
// report to the holder. Each of the other nodes continues with an equal share.
func (c *Controller) liveShare() float64 {
	if c.Registered == 0 || c.LiveNodes == 0 {
		return 1
	}
	return float64(c.LiveNodes) / float64(c.Registered)
}

// usageIsFresh reports whether the other nodes' current usage is known.
func (c *Controller) usageIsFresh(now time.Time) bool {
	return c.OthersReported && now.Sub(c.UpdatedAt) <= usageTTL
}

// equalShare returns the fraction of a limit that each node gets if it is
// divided equally.
func (c *Controller) equalShare() float64 {
	if c.Registered == 0 {
		return 1.0 / assumedNodes
	}
	return 1 / float64(c.Registered)
}

// isolatedShare returns the fraction of a limit that a node uses while the others'
// usage is not known: the mean of an equal share and its part of the last known
// usage. An equal share alone refuses requests at the nodes that get more callers
// than others, and the part of the usage alone at those that had none before. The
// shares of all nodes add up to 1 once all of them have been measured; before that, a
// node has an equal share.
func (c *Controller) isolatedShare(bucket *Bucket) float64 {
	if !bucket.ShareMeasured {
		return c.equalShare()
	}
	return (c.equalShare() + bucket.UsageShare) / 2
}

// isolatedCapacity returns the number of units that all nodes together may hold in
// their isolated levels. A node of a large fleet, whose share is smaller than a
// request, would otherwise refuse most requests of a workspace below its rate.
func (c *Controller) isolatedCapacity(workspace resolver.Workspace) float64 {
	return workspace.Burst + c.Slack*isolatedSlackShare + workspace.Rate*isolatedSlackTime.Seconds()
}

// bucketCapacity returns the maximum number of units in a bucket for all nodes
// together.
func (c *Controller) bucketCapacity(workspace resolver.Workspace) float64 {
	return (workspace.Burst + c.Slack*bucketSlackShare) * c.liveShare()
}
