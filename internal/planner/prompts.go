package planner

import (
	"fmt"
	"slices"
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
	if c.Tenure.Prompts.ReviewedAt.Equal(now) {
		// Reviews have an interval, so that the work does not grow with the reports.
		effects = append(effects, c.storeRecords(now)...)
	}
	return effects
}

// storeRecords requests that the store contain what must outlive all processes, if that has
// changed. The remaining times of records do not count as a change.
func (c *Controller) storeRecords(now time.Time) []Effect {
	records := c.Tenure.Prompts.Records(now)
	if slices.EqualFunc(records, c.StoredRecords, sameRecord) {
		return nil
	}
	c.StoredRecords = records
	return []Effect{StoreRecords{Tenure: c.Tenure.ID, Records: records}}
}

// releaseRecords leaves the records in the store to the next holder when a tenure has ended.
func (c *Controller) releaseRecords() []Effect {
	if c.Tenure != nil || len(c.StoredRecords) == 0 {
		return nil
	}
	c.StoredRecords = nil
	return []Effect{StoreRecords{}}
}

func sameRecord(a, b screener.Record) bool {
	return a.Trait == b.Trait && a.Quarantined == b.Quarantined
}

// recordRunning records a replica that has answered a read of its state.
func (c *Controller) recordRunning(message StateRead) {
	if !message.Failed {
		c.Tenure.Prompts.RecordAlive(screener.Process{ID: message.Replica, StartedMS: message.State.StartedMS}, message.RequestedAt)
	}
}
