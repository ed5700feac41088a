package assembler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// evacuationsWait is the time after the start of the process from which a node that knows
// no list of evacuations is ready: the store may not answer.
const evacuationsWait = 2 * time.Second

// knowsEvacuations reports whether the node knows which data centres are evacuated, need not
// know it, or has waited for long enough.
func (n *Node) knowsEvacuations() bool {
	return n.settings.Bounds.EvacuateWithin == 0 || n.view.evacuated.Load() != nil || n.clock.Since(n.startedAt) >= evacuationsWait
}

// countEvacuations returns the number of evacuated data centres.
func (v *view) countEvacuations() int {
	dataCentres := v.evacuated.Load()
	if dataCentres == nil {
		return 0
	}
	return len(*dataCentres)
}

func countEvacuated(replicas []surveyor.Replica) int64 {
	count := int64(0)
	for _, replica := range replicas {
		if replica.Evacuated {
			count++
		}
	}
	return count
}
