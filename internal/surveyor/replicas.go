package surveyor

import (
	"slices"
	"time"
)

func (c *Controller) handleReplicasRead(now time.Time, message ReplicasRead) []Effect {
	if !message.Failed && c.isLost(message.Era) {
		c.ReplicaSource.Reading = false
		return nil
	}
	previousAsOf := c.ReplicaSource.CurrentAsOf
	effects := c.ReplicaSource.endRead(now, message.StartedAt, message.Failed, "replicas")
	if message.Failed {
		return effects
	}
	effects = append(effects, c.observeEra(now, message.Era)...)
	if !previousAsOf.IsZero() && message.StartedAt.Sub(previousAsOf) > max(outageThreshold, c.maxReplicasAge()+outageMargin) {
		c.RetainedUntil = now.Add(reregistrationTime)
	}
	c.recordCold(message)
	before := c.latestReplicas()
	c.Listed = c.merge(now, message.Replicas)
	c.recordDepartures(now, message.StartedAt, before, c.Listed)
	c.ListedAt = message.StartedAt
	effects = append(effects, PublishStoreReplicas{Replicas: c.withColdTimes(message.StartedAt, c.Listed), Era: c.Era, CurrentAsOf: message.StartedAt})
	if c.holderListIsCurrent(now) {
		return effects
	}
	c.FromHolder = false
	return append(effects, c.publication(now))
}

// publication returns the replicas to publish, with their cold times as of now: those of the
// holder or this node's own.
func (c *Controller) publication(now time.Time) PublishReplicas {
	var replicas []Replica
	if c.FromHolder {
		replicas = slices.DeleteFunc(slices.Clone(c.HolderReplicas), c.isGone)
	} else {
		replicas = c.withHolderModels(now)
	}
	return PublishReplicas{Replicas: c.withColdTimes(now, replicas), FromHolder: c.FromHolder, CurrentAsOf: c.ReplicaSource.CurrentAsOf}
}

// holderListIsCurrent reports whether the holder's replicas are about as recent
// as this node's own list. A holder that is cut off from the store may continue
// to answer with old data.
func (c *Controller) holderListIsCurrent(now time.Time) bool {
	return now.Sub(c.HolderExchangeAt) <= holderTimeout && c.HolderReplicas != nil && c.HolderListedAt.After(c.ListedAt.Add(-holderListTolerance))
}

// withHolderModels returns the listed replicas with the models that the holder
// reported last. These stay valid for a while, because no orders are issued
// without a holder and entries in the store lag behind the orders.
func (c *Controller) withHolderModels(now time.Time) []Replica {
	if now.Sub(c.HolderExchangeAt) > holderModelsTTL {
		return c.Listed
	}
	replicas := slices.Clone(c.Listed)
	for i, listed := range replicas {
		for _, reported := range c.HolderReplicas {
			if reported.ID == listed.ID && reported.StartedMS == listed.StartedMS {
				replicas[i].Models, replicas[i].Pending = reported.Models, reported.Pending
			}
		}
	}
	return replicas
}

// latestReplicas returns the holder's replicas or, if it is newer, this node's own list.
func (c *Controller) latestReplicas() []Replica {
	if c.FromHolder {
		return c.HolderReplicas
	}
	return c.Listed
}

// merge returns the listed replicas plus, after an outage or a restoration of the
// store, the previously known replicas that may still write their entries again. A
// replica that was leaving remains marked as leaving, and one that had left before a
// restoration is not listed again.
func (c *Controller) merge(now time.Time, listed []Replica) []Replica {
	listed = slices.DeleteFunc(listed, func(replica Replica) bool { return c.isStaleEntry(now, replica) || c.isGone(replica) })
	found := make(map[string]int, len(listed))
	for i, replica := range listed {
		found[replica.ID] = i
	}
	for _, known := range c.latestReplicas() {
		i, ok := found[known.ID]
		switch {
		case ok && known.Leaving && listed[i].StartedMS == known.StartedMS:
			listed[i].Leaving = true
		case !ok && now.Before(c.RetainedUntil) && !c.hasDeparted(known):
			known.Unlisted = true
			listed = append(listed, known)
		}
	}
	return listed
}

// applyHolderReplicas adopts the holder's replicas unless this node's own list
// is newer.
func (c *Controller) applyHolderReplicas(now time.Time, message HolderUpdate) []Effect {
	c.HolderExchangeAt = message.StartedAt
	c.HolderListedAt = message.StartedAt.Add(-message.ReplicasAge)
	if c.HolderListedAt.After(c.ReplicaSource.CurrentAsOf) {
		c.ReplicaSource.CurrentAsOf = c.HolderListedAt
	}
	changed := message.Full || len(message.Replicas)+len(message.Updates)+len(message.Removed) > 0
	if changed {
		c.recordHolderCold(now, message)
		before := c.HolderReplicas
		c.HolderReplicas = applyChanges(before, message)
		if message.Full || len(message.Removed) > 0 {
			c.recordDepartures(now, c.HolderListedAt, before, c.HolderReplicas)
		}
	}
	useHolder := c.holderListIsCurrent(now)
	if !changed && useHolder == c.FromHolder {
		return nil
	}
	c.FromHolder = useHolder
	return []Effect{c.publication(now)}
}

// applyChanges returns the holder's replicas after an update. The slice that
// was published before is not modified.
func applyChanges(known []Replica, message HolderUpdate) []Replica {
	if message.Full {
		return message.Replicas
	}
	replaced := make(map[string]bool, len(message.Replicas)+len(message.Removed))
	for _, replica := range message.Replicas {
		replaced[replica.ID] = true
	}
	for _, id := range message.Removed {
		replaced[id] = true
	}
	updates := make(map[string]ReplicaUpdate, len(message.Updates))
	for _, update := range message.Updates {
		updates[update.ID] = update
	}
	replicas := make([]Replica, 0, len(known)+len(message.Replicas))
	for _, replica := range known {
		if replaced[replica.ID] {
			continue
		}
		if update, ok := updates[replica.ID]; ok {
			replica = replica.Apply(update)
		}
		replicas = append(replicas, replica)
	}
	return append(replicas, message.Replicas...)
}
