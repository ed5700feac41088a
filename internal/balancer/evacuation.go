package balancer

import "time"

// evacuatedRetryAfter is the retry delay when all replicas of a service are in evacuated
// data centres. When one is returned to service is not known.
const evacuatedRetryAfter = 2 * time.Second

// isExcluded reports whether the replica takes no new requests and no rest of a stream,
// because it leaves or its data centre is evacuated.
func (r *Replica) isExcluded() bool { return r.isLeaving() || r.Description.Evacuated }

// evacuated returns a refusal if the replicas that may run a request and do not leave are all in
// evacuated data centres, and nil otherwise.
func (c *Controller) evacuated(need Need) *Refusal {
	found := false
	for _, replica := range c.Replicas {
		if !need.allows(replica.Description) || replica.isLeaving() {
			continue
		}
		if !replica.Description.Evacuated {
			return nil
		}
		found = true
	}
	if !found {
		return nil
	}
	return &Refusal{Reason: "all replicas of the service are in evacuated data centres", RetryAfter: evacuatedRetryAfter, Evacuated: true}
}
