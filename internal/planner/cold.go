package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// knownStart is one start of a replica and when this node first listed it or, if that is later,
// last listed it in an evacuated data centre.
type knownStart struct {
	startedMS int64
	at        time.Time
}

// recordStarts records since when the starts of replicas that may be cold are listed in service.
func (c *Controller) recordStarts(now time.Time) {
	starts := map[string]knownStart{}
	for _, replica := range c.Replicas {
		if c.Configuration == nil || c.Configuration.Services[replica.Service].ColdRate <= 0 {
			continue
		}
		start, ok := c.Starts[replica.ID]
		if !ok || start.startedMS != replica.StartedMS || c.isEvacuated(replica) {
			start = knownStart{replica.StartedMS, now}
		}
		starts[replica.ID] = start
	}
	c.Starts = starts
}

// isKnownWarm reports whether this node has listed a start of a replica in service for longer
// than it is cold afterwards. A node that has just started would otherwise take all replicas whose
// entries do not state anything for cold.
func (c *Controller) isKnownWarm(now time.Time, replica surveyor.Replica) bool {
	start, ok := c.Starts[replica.ID]
	return ok && start.startedMS == replica.StartedMS && replica.ColdFor == 0 &&
		now.Sub(start.at) >= c.Configuration.Services[replica.Service].ColdTime
}
