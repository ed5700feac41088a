package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/sequencer"
)

const (
	// operatorRewriteTime is the time after a restoration of the store within which the
	// operator writes the newest configuration again. Until then no version in the store
	// is proven to be the newest.
	operatorRewriteTime = time.Second
	// firstAnswerTime replaces it at a node that has had no answer of another node as the holder
	// since its start. After the loss of a holder, another node acts for it within this time.
	firstAnswerTime = 2500 * time.Millisecond
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
// found the store without the operator's newest configuration. A node that no other
// node has answered as the holder cannot know that others have a later one.
func (c *Controller) provesNothing(startedAt time.Time) bool {
	wait := operatorRewriteTime
	if !c.Answered {
		wait = firstAnswerTime
	}
	return !c.RestoredAt.IsZero() && startedAt.Before(c.RestoredAt.Add(wait))
}

// isSuperseded reports whether another node has had a later version in force than this node will have
// after a read, which found nil if the store has the known version. The store has lost that
// version in a restoration, and the operator has not written it again.
func (c *Controller) isSuperseded(found *resolver.Configuration) bool {
	version := uint64(0)
	for _, one := range []*resolver.Configuration{found, c.Configuration} {
		if one != nil {
			version = max(version, one.Version)
		}
	}
	return version < c.HolderVersion
}

// applyHolderVersion records the latest version that a node has had in force. If it is a later one from
// before a restoration, what this node has read since proves nothing.
func (c *Controller) applyHolderVersion(position sequencer.Position, version uint64) []Effect {
	c.HolderVersion = max(c.HolderVersion, version)
	if c.Configuration == nil || c.ConfigSource.CurrentAsOf.IsZero() || position.Era >= c.Configuration.Era || !c.isSuperseded(nil) {
		return nil
	}
	c.ConfigSource.CurrentAsOf = time.Time{}
	note := Note{Text: "store has an older configuration than the holder", Source: "holder", Version: c.Configuration.Version, Position: c.Configuration.Position}
	return append([]Effect{note}, c.publishConfiguration()...)
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
