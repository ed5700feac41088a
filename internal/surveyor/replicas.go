package surveyor

import (
	"slices"
	"time"
)

func (c *Controller) replicasRead(now time.Time, message ReplicasRead) []Effect {
	knownAt := c.ReplicaSource.ProvenAt
	effects := c.ReplicaSource.ended(now, message.StartedAt, message.Failed, "replicas")
	if message.Failed {
		return effects
	}
	if !knownAt.IsZero() && message.StartedAt.Sub(knownAt) > outageAfter {
		c.RetainedUntil = now.Add(returnWithin)
	}
	c.Listed = c.merge(now, message.Replicas)
	c.ListedAt = message.StartedAt
	effects = append(effects, PublishListed{Replicas: c.Listed, ProvenAt: message.StartedAt})
	if c.toldIsNewer(now) {
		return effects
	}
	c.FromHolder = false
	return append(effects, PublishReplicas{Replicas: c.withTold(now), ProvenAt: c.ReplicaSource.ProvenAt})
}

// toldIsNewer says whether what the holder told is as new as this node's own
// list. A holder that is cut off from the store may go on answering.
func (c *Controller) toldIsNewer(now time.Time) bool {
	return now.Sub(c.HeardAt) <= holderSilent && c.Told != nil && c.ToldAsOf.After(c.ListedAt.Add(-listSlack))
}

// withTold returns the listed replicas with the models that the holder told of
// last: nobody gives orders without a holder, and entries in the store lag
// behind the orders.
func (c *Controller) withTold(now time.Time) []Replica {
	if now.Sub(c.HeardAt) > toldSpan {
		return c.Listed
	}
	replicas := slices.Clone(c.Listed)
	for i, listed := range replicas {
		for _, told := range c.Told {
			if told.ID == listed.ID && told.Born == listed.Born {
				replicas[i].Models, replicas[i].Pending = told.Models, told.Pending
			}
		}
	}
	return replicas
}

// merge returns the listed replicas, with those that were listed before an
// outage of the store and may still write their entries again. A replica that
// was leaving stays so.
func (c *Controller) merge(now time.Time, listed []Replica) []Replica {
	found := make(map[string]int, len(listed))
	for i, replica := range listed {
		found[replica.ID] = i
	}
	known := c.Listed
	if c.FromHolder {
		known = c.Told
	}
	for _, known := range known {
		i, ok := found[known.ID]
		switch {
		case ok && known.Leaving && listed[i].Born == known.Born:
			listed[i].Leaving = true
		case !ok && now.Before(c.RetainedUntil):
			listed = append(listed, known)
		}
	}
	return listed
}

// heardReplicas takes over the holder's replicas, unless this node's own list
// is newer.
func (c *Controller) heardReplicas(now time.Time, message HolderHeard) []Effect {
	c.HeardAt = message.StartedAt
	c.ToldAsOf = message.StartedAt.Add(-message.ReplicasAge)
	if c.ToldAsOf.After(c.ReplicaSource.ProvenAt) {
		c.ReplicaSource.ProvenAt = c.ToldAsOf
	}
	changed := message.Full || len(message.Replicas)+len(message.Gone) > 0
	if changed {
		c.Told = updated(c.Told, message)
	}
	newer := c.toldIsNewer(now)
	if !changed && newer == c.FromHolder {
		return nil
	}
	c.FromHolder = newer
	replicas := c.Told
	if !newer {
		replicas = c.withTold(now)
	}
	return []Effect{PublishReplicas{Replicas: replicas, FromHolder: newer, ProvenAt: c.ReplicaSource.ProvenAt}}
}

// updated returns the holder's replicas after a change. The published slice is
// not touched.
func updated(told []Replica, message HolderHeard) []Replica {
	if message.Full {
		return message.Replicas
	}
	replicas := make([]Replica, 0, len(told)+len(message.Replicas))
	for _, replica := range told {
		same := func(other Replica) bool { return other.ID == replica.ID }
		if !slices.Contains(message.Gone, replica.ID) && !slices.ContainsFunc(message.Replicas, same) {
			replicas = append(replicas, replica)
		}
	}
	return append(replicas, message.Replicas...)
}
