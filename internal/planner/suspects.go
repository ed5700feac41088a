package planner

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// suspectedBy returns the names of the live nodes that suspect each replica.
func (c *Controller) suspectedBy(now time.Time) map[string][]string {
	suspectedBy := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Tenure.Peers)) {
		peer := c.Tenure.Peers[name]
		if now.Sub(peer.LastReportAt) >= peerReportTimeout {
			continue
		}
		for _, id := range peer.Suspects {
			suspectedBy[id] = append(suspectedBy[id], name)
		}
	}
	return suspectedBy
}

// noteSuspects returns a note for each replica that nodes have begun or ceased to suspect.
// Models are not loaded on suspected replicas.
func (c *Controller) noteSuspects(suspectedBy map[string][]string) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(suspectedBy)) {
		if _, known := c.Tenure.SuspectedBy[id]; !known {
			effects = append(effects, Note{Text: "replica suspected by nodes", Replica: id, Reason: strings.Join(suspectedBy[id], " ")})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.Tenure.SuspectedBy)) {
		if _, still := suspectedBy[id]; !still {
			effects = append(effects, Note{Text: "replica no longer suspected by nodes", Replica: id})
		}
	}
	c.Tenure.SuspectedBy = suspectedBy
	return effects
}

// noteRead returns a note if a replica has begun or ceased to answer reads of its state.
func (e *Endpoint) noteRead(failed bool) []Effect {
	if e.Silent == failed {
		return nil
	}
	e.Silent = failed
	text := "replica answers reads of its state again"
	if failed {
		text = "replica does not answer reads of its state"
	}
	return []Effect{Note{Text: text, Replica: e.Entry.ID}}
}
