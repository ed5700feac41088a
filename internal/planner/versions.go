package planner

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// assignInterval is the minimum time between two changes of the assignments of streams to
	// software versions. It grows with the number of replicas by assignIntervalPerReplica,
	// because the holder counts the copies of all models for each.
	assignInterval           = 250 * time.Millisecond
	assignIntervalPerReplica = 100 * time.Microsecond
	// minSuspecting is the number of nodes that have to suspect a replica before no streams
	// are assigned to it. A single one may have lost its own way to the replica.
	minSuspecting = 2
	// keepersKnownTime is how long a node knows all keepers of streams after it has had or
	// published a state without KeepersUnknown.
	keepersKnownTime = 10 * time.Second
)

// inheritVersions adds what another holder knows of software versions.
func (c *Controller) inheritVersions(now time.Time, message VersionsInherited) {
	if message.Stored {
		c.inheritStored(now, message.Versions, message.Assignments)
		return
	}
	c.Versions.Inherit(now, message.AsOf, message.Versions)
	if !message.Versions.KeepersUnknown {
		c.KeepersKnownAt = now
	}
	if c.Tenure == nil && message.Versions.Complete && !resumer.SameList(c.Inherited, message.Assignments) {
		c.Inherited = message.Assignments
		c.Versions.InheritAssignments(now, message.Assignments, c.streamFleet(nil))
	}
}

// inheritStored adds what the lease contains of software versions. Its assignments are only for a
// node that does not assign streams, since it may not know all versions.
func (c *Controller) inheritStored(now time.Time, versions resumer.Published, assignments []resumer.Assignment) {
	c.Versions.InheritStored(now, versions)
	if versions.Complete && len(c.Versions.Assigner.Models) == 0 {
		c.Versions.InheritAssignments(now, assignments, c.streamFleet(nil))
	}
}

// assignStreams assigns the streams of each model to software versions and reports whether it
// has. A node that may not know all versions does not, so that others keep to the assignments
// that they have. All nodes are known to follow once the holder has had their reports for as long
// as streams last.
func (c *Controller) assignStreams(now time.Time) bool {
	t := c.Tenure
	interval := assignInterval + time.Duration(len(t.Table.Entries))*assignIntervalPerReplica
	if now.Sub(t.AssignedAt) < interval || !c.Versions.Complete {
		return false
	}
	t.AssignedAt = now
	since := t.Since
	if c.UnassignedAt.After(since) {
		since = c.UnassignedAt
	}
	c.Versions.Assigned = c.Versions.Assigned || now.Sub(since) >= resumer.StreamLifetime
	c.Versions.Assign(now, c.streamFleet(t.Table.Entries))
	return true
}

// recordAssigning records whether a node that has reported begins streams as they are assigned.
func (c *Controller) recordAssigning(now time.Time, report Report) {
	if !report.Assigning {
		c.UnassignedAt, c.Versions.Assigned = now, false
	}
}

// streamFleet returns what the assignment of streams depends on: the replicas of the table that
// neither leave nor are suspected, and the time limits of routes, beyond which callers do not take
// a stream up again. Those with a longer limit of their own have taken it up at a node that has
// recorded its origin anew.
func (c *Controller) streamFleet(table []surveyor.Replica) resumer.Fleet {
	fleet := resumer.Fleet{ViewLifetime: resumer.ViewLifetime(c.nodeCount()), Lifetimes: map[string]time.Duration{}}
	for _, replica := range table {
		if !replica.Leaving && len(c.Tenure.SuspectedBy[replica.ID]) < minSuspecting {
			fleet.Replicas = append(fleet.Replicas, replica)
		}
	}
	if c.Configuration == nil {
		return fleet
	}
	for _, route := range c.Configuration.Routes {
		if route.Kind != resolver.Streaming || !route.Resumable {
			continue
		}
		for _, target := range route.Targets {
			fleet.Lifetimes[target.Service] = max(fleet.Lifetimes[target.Service], route.Timeout)
		}
	}
	return fleet
}

// nodeCount returns the number of registered nodes, as far as it is known.
func (c *Controller) nodeCount() int {
	if c.Tenure == nil {
		return len(c.Nodes)
	}
	return max(len(c.Nodes), c.Tenure.MinRegistered)
}

// publishVersions returns what the nodes need to know of software versions, and records whether
// it names all keepers.
func (c *Controller) publishVersions(now time.Time) resumer.Published {
	published := c.Versions.Publish(now, c.nodeCount())
	published.KeepersUnknown = !c.knowsKeepers(now)
	if !published.KeepersUnknown {
		c.KeepersKnownAt = now
	}
	return published
}

// knowsKeepers reports whether this node knows all nodes that keep origins of streams. After a
// start of all nodes, several may act for the holder, each for a part of the others, until the
// registered ones have reported to one of them or have not for nodeRemovalTimeout.
func (c *Controller) knowsKeepers(now time.Time) bool {
	t := c.Tenure
	if now.Sub(c.KeepersKnownAt) < keepersKnownTime || now.Sub(t.Since) >= nodeRemovalTimeout {
		return true
	}
	known := make(map[string]bool, len(t.Peers))
	for _, caller := range t.InheritedCallers {
		known[caller.Address] = true
	}
	for _, peer := range t.Peers {
		known[peer.Node.CallerAddress] = true
	}
	return len(known) >= t.MinRegistered &&
		!slices.ContainsFunc(c.Nodes, func(node surveyor.Node) bool { return !known[node.CallerAddress] })
}
