package surveyor

import (
	"slices"
	"time"
)

// coldEntry is the cold time of a replica as of its latest known heartbeat.
type coldEntry struct {
	startedMS int64
	heartbeat uint64
	remaining time.Duration
	until     time.Time
}

// recordCold records until when the listed replicas are cold. An entry does not change
// between two heartbeats, so its remaining time counts from the first list that shows the
// heartbeat. An entry of an older copy of the store can only prolong the cold time.
func (c *Controller) recordCold(message ReplicasRead) {
	cold := map[string]coldEntry{}
	for _, replica := range message.Replicas {
		if !replica.ColdKnown {
			continue
		}
		found := coldEntry{replica.StartedMS, replica.Heartbeat, replica.ColdFor, message.StartedAt.Add(replica.ColdFor)}
		known := c.Cold[replica.ID]
		switch {
		case known.startedMS != found.startedMS:
		case known.heartbeat == found.heartbeat && known.remaining == found.remaining:
			found = known
		case known.heartbeat > found.heartbeat:
			found.until = later(known.until, found.until)
		}
		cold[replica.ID] = found
	}
	c.Cold = cold
}

// recordHolderCold records until when replicas are cold according to the holder. The time
// counts from the arrival of the message, so that a slow answer prolongs it.
func (c *Controller) recordHolderCold(now time.Time, message HolderUpdate) {
	if c.HolderCold == nil || message.Full {
		c.HolderCold = map[string]time.Time{}
	}
	for _, id := range message.Removed {
		delete(c.HolderCold, id)
	}
	record := func(id string, remaining time.Duration) {
		delete(c.HolderCold, id)
		if remaining > 0 {
			c.HolderCold[id] = now.Add(remaining)
		}
	}
	for _, replica := range message.Replicas {
		record(replica.ID, replica.ColdFor)
	}
	for _, update := range message.Updates {
		record(update.ID, update.ColdFor)
	}
}

// withColdTimes returns the replicas with the remaining cold times as of the given time:
// the longer one of the store and the holder. It does not modify the slice.
func (c *Controller) withColdTimes(asOf time.Time, replicas []Replica) []Replica {
	var changed []Replica
	for i, replica := range replicas {
		until := c.HolderCold[replica.ID]
		if entry := c.Cold[replica.ID]; entry.startedMS == replica.StartedMS {
			until = later(until, entry.until)
		}
		remaining := max(0, until.Sub(asOf))
		if until.IsZero() {
			remaining = 0
		}
		if remaining == replica.ColdFor {
			continue
		}
		if changed == nil {
			changed = slices.Clone(replicas)
		}
		changed[i].ColdFor = remaining
	}
	if changed == nil {
		return replicas
	}
	return changed
}
