package balancer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resumer"
)

func (c *Controller) setBeginning(message SetBeginning) {
	c.Beginning = message.Versions
	c.Assigned = make(map[resumer.ModelKey][]resumer.Share, len(message.Assignments))
	for _, assignment := range message.Assignments {
		c.Assigned[assignment.ModelKey] = assignment.Current
	}
}

// assignVersion sets the version at which a stream begins. If fewer replicas of a version can serve
// it than the assignment counts, it begins where it will be assigned once the holder has put their
// number in force. Until then only its keepers know the origin of such a stream.
func (c *Controller) assignVersion(now time.Time, need Need) Need {
	need.AssignedTo = nil
	if !need.Stream || need.Continued {
		return need
	}
	shares := c.Assigned[resumer.ModelKey{Service: need.Service, Model: need.Model, Adapter: need.Adapter}]
	if version, ok := resumer.Choose(c.servingShares(now, need, shares), need.StreamKey); ok {
		need.AssignedTo = &version
	}
	return need
}

// servingShares returns the shares without the replicas that cannot serve the request. Those that
// have failed it count, so that another attempt goes to the same version.
func (c *Controller) servingShares(now time.Time, need Need, shares []resumer.Share) []resumer.Share {
	var serving []resumer.Share
	for _, share := range shares {
		count := 0
		for _, replica := range c.holders(need.Service, need.Model) {
			if replica.Description.Version == share.Version && c.servesStreams(now, replica, need) {
				count++
			}
		}
		if share.Replicas = min(share.Replicas, count); share.Replicas > 0 {
			serving = append(serving, share)
		}
	}
	return serving
}

// servesStreams reports whether a replica can begin a stream, now or when it is not full any more.
func (c *Controller) servesStreams(now time.Time, replica *Replica, need Need) bool {
	return c.mayBegin(need, replica.Description.Version) && need.allows(replica.Description) &&
		!replica.isExcluded() && !replica.isClosed(now) && !replica.isSuspect(now) &&
		(need.Model == "" || replica.canServe(now, modelKey{need.Model, need.Adapter}))
}

// fits reports whether a replica with a software version may begin the stream, or go on
// with it.
func (c *Controller) fits(now time.Time, need Need, version string) bool {
	if need.Continued || !need.Stream {
		return !need.Continued || version == need.Version
	}
	return c.mayBegin(need, version) && (need.AssignedTo == nil || version == *need.AssignedTo || !c.servesAssigned(now, need))
}

// mayBegin reports whether streams of the service begin at a version.
func (c *Controller) mayBegin(need Need, version string) bool {
	versions, limited := c.Beginning[need.Service]
	return !limited || slices.Contains(versions, version)
}

// servesAssigned reports whether a replica of the version to which a stream is assigned can still
// serve it.
func (c *Controller) servesAssigned(now time.Time, need Need) bool {
	served, known := c.assignedServed[need.AssignedTo]
	if !known {
		served = slices.ContainsFunc(c.holders(need.Service, need.Model), func(replica *Replica) bool {
			return replica.Description.Version == *need.AssignedTo && c.servesStreams(now, replica, need) &&
				!slices.Contains(need.Excluded, replica.Description.ID)
		})
		c.assignedServed[need.AssignedTo] = served
	}
	return served
}
