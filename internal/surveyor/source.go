package surveyor

import (
	"time"
)

// Source is the read state of one part of the view.
type Source struct {
	// CurrentAsOf is the latest time at which the data is known to have been
	// current.
	CurrentAsOf time.Time
	// LastReadAt is when this node last started a read of its own.
	LastReadAt time.Time
	Reading    bool
	// Failures counts the consecutive failed reads.
	Failures int
}

// readsForOthers reports whether the other nodes rely on what this node reads.
func (c *Controller) readsForOthers() bool { return c.Holding || c.Acting }

func share(bound time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(bound) * fraction)
}

func (c *Controller) maxConfigurationAge() time.Duration {
	switch {
	case c.readsForOthers():
		return max(holderConfigurationInterval, share(c.Bounds.ApplyWithin, holderConfigurationShare))
	case c.Configuration == nil || c.HolderPosition.After(c.Configuration.Position):
		return 0
	case c.Candidate:
		return candidateMaxConfigurationAge
	}
	return max(candidateMaxConfigurationAge, c.Bounds.ApplyWithin-followerMargin)
}

func (c *Controller) maxReplicasAge() time.Duration {
	switch {
	case c.readsForOthers():
		return max(holderReplicasInterval, share(c.Bounds.DrainWithin, holderReplicasShare))
	case c.Candidate:
		return candidateMaxReplicasAge
	}
	return max(candidateMaxReplicasAge, c.Bounds.DrainWithin-followerMargin)
}

func (c *Controller) maxNodesAge() time.Duration {
	switch {
	case c.readsForOthers():
		return max(holderNodesInterval, time.Duration(len(c.Nodes))*nodesIntervalPerNode)
	case !c.FromHolder:
		return followerNodesInterval
	}
	return followerMaxNodesAge
}

// nodesDueAt returns when the list of nodes is next read.
func (c *Controller) nodesDueAt() time.Time {
	if c.NodesOutdated && !c.NodeSource.Reading {
		return c.StartedAt
	}
	return c.dueAt(c.NodeSource, c.maxNodesAge())
}

// replicasDueAt returns when the replicas are next read. A node that has just
// started leaves that to the holder and the candidates for a while. While the store
// does not answer, a node on which no other relies reads only the configuration.
func (c *Controller) replicasDueAt() time.Time {
	due := c.dueAt(c.ReplicaSource, c.maxReplicasAge())
	if due.IsZero() {
		return due
	}
	if retryAt := c.dueAt(c.ConfigSource, 0); c.ConfigSource.Failures > 0 && !c.readsForOthers() && !c.Candidate {
		if retryAt.IsZero() {
			return time.Time{}
		}
		due = later(due, retryAt.Add(time.Millisecond))
	}
	if startAt := c.StartedAt.Add(followerStartDelay); !c.readsForOthers() && !c.Candidate && c.ReplicaSource.CurrentAsOf.IsZero() && due.Before(startAt) {
		return startAt
	}
	return due
}

// dueAt returns when a read of a source is due if the data may reach the given age,
// or the zero time while a read is in progress. The holder repeats a read after
// maxAge, also when that is shorter than retryInterval. Another node reads only
// when the holder's updates do not keep its data current.
func (c *Controller) dueAt(s Source, maxAge time.Duration) time.Time {
	if s.Reading {
		return time.Time{}
	}
	return later(s.CurrentAsOf.Add(maxAge), s.LastReadAt.Add(c.retryDelay(s, maxAge, maxRetryInterval)))
}

// retryDelay returns the minimum time between two reads of a source, at most maxRetry.
func (c *Controller) retryDelay(s Source, maxAge, maxRetry time.Duration) time.Duration {
	retry := retryInterval
	switch {
	case c.readsForOthers():
		retry = min(maxAge, retryInterval)
	case !c.Candidate:
		for range s.Failures - 1 {
			retry = min(2*retry, maxRetry)
		}
	}
	return retry
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startIfDue starts a read if it is due.
func (s *Source) startIfDue(now, due time.Time) bool {
	if due.IsZero() || now.Before(due) {
		return false
	}
	s.Reading, s.LastReadAt = true, now
	return true
}

// endRead records the end of a read and returns a note when the store stops
// answering or answers again.
func (s *Source) endRead(now, startedAt time.Time, failed bool, source string) []Effect {
	s.Reading = false
	wasFailing := s.Failures > 0
	s.Failures++
	if !failed {
		s.Failures = 0
	}
	if !failed && startedAt.After(s.CurrentAsOf) {
		s.CurrentAsOf = startedAt
	}
	switch {
	case failed && !wasFailing:
		return []Effect{Note{Text: "store does not answer", Source: source, Age: now.Sub(s.CurrentAsOf)}}
	case !failed && wasFailing:
		return []Effect{Note{Text: "store answers again", Source: source}}
	}
	return nil
}
