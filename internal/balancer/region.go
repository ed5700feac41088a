package balancer

import (
	"slices"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// allows reports whether a replica belongs to the service of the request, in a data centre
// that may run it, and is not the one to replace.
func (n Need) allows(replica surveyor.Replica) bool {
	return replica.Service == n.Service &&
		(n.Replaced == "" || replica.ID != n.Replaced) &&
		(len(n.DataCentres) == 0 || slices.Contains(n.DataCentres, replica.DataCentre))
}

// dataCentresKey returns the data centres as a map key.
func (n Need) dataCentresKey() string { return strings.Join(n.DataCentres, ",") }

// noReplicas returns the reason why a request has no replica at all.
func (c *Controller) noReplicas(need Need) string {
	if len(need.DataCentres) > 0 && c.hasService(Need{Service: need.Service}) {
		return "service has no replicas in the allowed regions"
	}
	return "service has no replicas"
}

// replicasWait is the time after the start of a node in which new requests wait for the first
// list of replicas. It comes with the answer to the first report, or from the store.
const replicasWait = 500 * time.Millisecond

// awaitsReplicas reports whether a node that has just started expects its first list.
func (c *Controller) awaitsReplicas(now time.Time) bool {
	return !c.ReplicasListed && now.Sub(c.StartedAt) < replicasWait
}
