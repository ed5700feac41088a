package balancer

import "time"

const (
	// minFailedAlone and maxFailedAlone bound the number of replicas that must fail attempts,
	// without an answer of any, for the cause to be this node's way to them. Replicas may
	// crash two at a time.
	minFailedAlone = 2
	maxFailedAlone = 3
)

// recordContact records whether a replica has answered an attempt.
func (c *Controller) recordContact(id string, result Result) {
	switch result {
	case Failed, TimedOut:
		c.FailedAlone[id] = true
	case Answered, Refused, ModelMissing, ServerError:
		clear(c.FailedAlone)
	}
}

// isAlone reports whether attempts fail at several replicas and none answers. Then the
// failures are no evidence against the replicas.
func (c *Controller) isAlone() bool {
	return len(c.FailedAlone) >= max(minFailedAlone, min(maxFailedAlone, len(c.Replicas)))
}

// suspects returns the replicas that this node reports as suspect, sorted by ID. The holder
// loads nothing on them.
func (c *Controller) suspects(now time.Time) []string {
	if c.isAlone() {
		return nil
	}
	var suspects []string
	for _, id := range c.sortedIDs() {
		if c.Replicas[id].failures(now) >= suspectThreshold {
			suspects = append(suspects, id)
		}
	}
	return suspects
}
