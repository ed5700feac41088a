package planner

import (
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/screener"
)

// reviewPrompts quarantines the requests and the parts of prompts that crash replicas, and
// finds out whether the replicas that broke off suspect requests still run.
func (c *Controller) reviewPrompts(now time.Time) []Effect {
	var effects []Effect
	var verdicts []screener.Verdict
	if c.Tenure.Acting || !c.isSuspended(now) {
		// Otherwise it does not count against replicas that they do not answer.
		verdicts = c.Tenure.Prompts.Review(now)
	}
	for _, verdict := range verdicts {
		text, kind, id := "prompt part found to crash replicas", "part", verdict.Trait
		if fingerprint, ok := screener.RequestFingerprint(verdict.Trait); ok {
			text, kind, id = "request found to crash replicas", "request", fingerprint
		}
		effects = append(effects, Note{
			Text:   text,
			Reason: fmt.Sprintf("%s %s: %d requests broke off on %d replicas", kind, id, verdict.Requests, verdict.Replicas),
		})
	}
	for _, replica := range c.Tenure.Prompts.Check(now) {
		if endpoint := c.Tenure.Endpoints[replica.ID]; endpoint != nil && endpoint.Entry.StartedMS == replica.StartedMS {
			effects = append(effects, ReadState{Replica: replica.ID, Address: endpoint.Entry.Address})
		}
	}
	return effects
}

// recordRunning records a replica that has answered a read of its state.
func (c *Controller) recordRunning(message StateRead) {
	if !message.Failed {
		c.Tenure.Prompts.RecordAlive(screener.Process{ID: message.Replica, StartedMS: message.State.StartedMS}, message.RequestedAt)
	}
}
