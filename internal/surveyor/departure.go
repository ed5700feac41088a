package surveyor

import "time"

// departureLifetime is how long a replica that has left is remembered. It is above the
// age of the copies from which the store is restored.
const departureLifetime = time.Minute

// departure is the end of a replica's run as this node has observed it.
type departure struct {
	startedMS int64
	at        time.Time
}

// recordDepartures remembers the replicas that are in the first list and not in the
// second one, which is as of listedAt, and forgets those that have come back since.
func (c *Controller) recordDepartures(now, listedAt time.Time, before, after []Replica) {
	remaining := make(map[string]int64, len(after))
	for _, replica := range after {
		remaining[replica.ID] = replica.StartedMS
		departed := c.Departed[replica.ID]
		if departed.startedMS == replica.StartedMS && !replica.Unlisted && listedAt.After(departed.at) {
			delete(c.Departed, replica.ID)
		}
	}
	for _, replica := range before {
		if startedMS, ok := remaining[replica.ID]; ok && startedMS == replica.StartedMS {
			continue
		}
		if c.Departed == nil {
			c.Departed = map[string]departure{}
		}
		c.Departed[replica.ID] = departure{replica.StartedMS, now}
	}
	for id, departed := range c.Departed {
		if now.Sub(departed.at) > departureLifetime {
			delete(c.Departed, id)
		}
	}
}

// isGone reports whether another node keeps a replica that the store does not list, while
// this node knows that it has left. The other node may not have read the store for a while.
func (c *Controller) isGone(replica Replica) bool { return replica.Unlisted && c.hasDeparted(replica) }

// hasDeparted reports whether this start of a replica has left, as far as this node knows.
func (c *Controller) hasDeparted(replica Replica) bool {
	departed, ok := c.Departed[replica.ID]
	return ok && departed.startedMS == replica.StartedMS
}
