package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/sequencer"
)

const (
	// operatorRewriteTime is the time after a restoration of the store within which the
	// operator writes the newest configuration again. Until then no version in the store
	// is proven to be the newest.
	operatorRewriteTime = time.Second
	// expiryHeartbeats is the number of heartbeats after which an entry expires, and
	// expiryMargin the time that this may take.
	expiryHeartbeats = 3
	expiryMargin     = 1400 * time.Millisecond
)

// staleEntryTime returns the time after a restoration within which entries of replicas
// that had left expire again.
func (c *Controller) staleEntryTime() time.Duration {
	return expiryHeartbeats*c.Bounds.HeartbeatInterval + expiryMargin
}

// observeEra records the era of an answer of the store or of another node. When the
// store has been restored from an older copy, entries may be missing until their
// owners have written them again, and entries of replicas that had left may be back.
// The first era that a process learns of may have begun just before.
func (c *Controller) observeEra(now time.Time, era uint64) []Effect {
	if era <= c.Era {
		return nil
	}
	restored := c.Era != 0
	c.Era = era
	if !restored && c.FirstStart {
		return nil
	}
	c.RestoredAt = now
	delayed := ProofDelayed{Until: now.Add(operatorRewriteTime)}
	if !restored {
		return []Effect{delayed}
	}
	c.RetainedUntil = now.Add(reregistrationTime)
	c.NodesRetainedUntil = now.Add(2*c.maxNodesAge() + reregistrationTime)
	c.retainEvacuations(now)
	return []Effect{
		Note{Text: "store was restored from an older copy", Source: "store", Position: sequencer.Position{Era: era}},
		StoreRestored{Era: era},
		delayed,
	}
}

// isLost reports whether an answer shows the store as it was before a restoration. Its
// content may since have been lost.
func (c *Controller) isLost(era uint64) bool { return era < c.Era }

// configurationDueAt returns when the configuration is next read. Until a read can prove
// that a version is the newest, a node on which no other relies waits for the holder.
func (c *Controller) configurationDueAt() time.Time {
	maxAge := c.maxConfigurationAge()
	due := c.dueAt(c.ConfigSource, maxAge)
	if due.IsZero() || maxAge == 0 || c.readsForOthers() || c.RestoredAt.IsZero() {
		return due
	}
	return later(due, c.RestoredAt.Add(operatorRewriteTime))
}

// provesNothing reports whether a read that was started at the given time may have
// found the store without the operator's newest configuration.
func (c *Controller) provesNothing(startedAt time.Time) bool {
	return !c.RestoredAt.IsZero() && startedAt.Before(c.RestoredAt.Add(operatorRewriteTime))
}

// isStaleEntry reports whether an entry of the store describes a replica that had left
// before the store was restored from a copy that still has it.
func (c *Controller) isStaleEntry(now time.Time, listed Replica) bool {
	if c.RestoredAt.IsZero() || now.Sub(c.RestoredAt) > c.staleEntryTime() {
		return false
	}
	departed, ok := c.Departed[listed.ID]
	return ok && departed.startedMS == listed.StartedMS && departed.at.Before(c.RestoredAt)
}

// retainNodes returns the listed nodes plus, for a while after a restoration of the
// store, the previously known ones, which register again when they find their entries
// missing.
func (c *Controller) retainNodes(now time.Time, listed []Node) []Node {
	if !now.Before(c.NodesRetainedUntil) {
		return listed
	}
	found := make(map[string]bool, len(listed))
	for _, node := range listed {
		found[node.Name] = true
	}
	for _, known := range c.Nodes {
		if !found[known.Name] {
			known.Unlisted = true
			listed = append(listed, known)
		}
	}
	return listed
}
