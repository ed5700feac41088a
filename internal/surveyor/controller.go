package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// The holder of the placement lease reads the store at these intervals. A
	// configuration change must be in force on all nodes within 2 s. Of these,
	// the holder's interval, a node's exchange with the holder and the node's
	// own read take about 0.8 s.
	holderConfigurationInterval = 350 * time.Millisecond
	holderReplicasInterval      = 250 * time.Millisecond
	holderNodesInterval         = time.Second
	// Other nodes read the store themselves once their data from the holder is
	// older than this. The ages are longer than three exchanges with the holder
	// and shorter than the time that is left to notice a change.
	followerMaxConfigurationAge = 1300 * time.Millisecond
	followerMaxReplicasAge      = 1100 * time.Millisecond
	followerMaxNodesAge         = 4 * time.Second
	// retryInterval is the minimum time between two reads when reads fail or
	// there is no holder. Seven nodes then make at most 35 calls per second.
	retryInterval = 400 * time.Millisecond
	// reregistrationTime is how long missing entries are kept after an outage
	// of the store. Replicas write their entries again within about 2 s.
	reregistrationTime = 2500 * time.Millisecond
	// holderTimeout is the time since the last answered request to the holder
	// after which a node uses the store's list, which lacks the loads in
	// progress.
	holderTimeout = 1200 * time.Millisecond
	// holderListTolerance is how much older than this node's own list the
	// holder's list may be and still be used. The holder reads several times
	// per second.
	holderListTolerance = 400 * time.Millisecond
	// holderModelsTTL is how long the models in the holder's last update take
	// precedence over those in the store: two heartbeats of the replicas plus
	// the lag of the store's list.
	holderModelsTTL = 4 * time.Second
	// outageThreshold is the age of the last list above which the store is
	// considered to have been unavailable.
	outageThreshold = 2 * time.Second
)

// Controller maintains the fleet view of one node.
type Controller struct {
	Holding bool

	Configuration *resolver.Configuration
	ConfigSource  Source
	// HolderRevision is the highest configuration revision that the holder has
	// reported.
	HolderRevision uint64

	// Listed are the replicas in the store as of ListedAt. Entries that expired
	// during an outage of the store are kept until RetainedUntil.
	Listed        []Replica
	ListedAt      time.Time
	RetainedUntil time.Time
	ReplicaSource Source
	// HolderReplicas are the replicas as last reported by the holder.
	// HolderExchangeAt is when this node started the last exchange that a holder
	// answered.
	HolderReplicas   []Replica
	HolderExchangeAt time.Time
	// HolderListedAt is when the holder listed the replicas in the store.
	HolderListedAt time.Time
	// FromHolder is set if HolderReplicas were published last rather than
	// Listed.
	FromHolder bool

	Nodes      []Node
	NodeSource Source
}

// Source is the read state of one part of the view.
type Source struct {
	// CurrentAsOf is the latest time at which the data is known to have been
	// current.
	CurrentAsOf time.Time
	// LastReadAt is when this node last started a read of its own.
	LastReadAt time.Time
	Reading    bool
	Failing    bool
}

// NewController returns a controller with an empty view.
func NewController() *Controller { return &Controller{} }

// Wake returns when the next read is due.
func (c *Controller) Wake() time.Time {
	wake := c.ConfigSource.dueAt(c.maxConfigurationAge(), c.Holding)
	for _, due := range []time.Time{
		c.ReplicaSource.dueAt(c.maxReplicasAge(), c.Holding),
		c.NodeSource.dueAt(c.maxNodesAge(), c.Holding),
	} {
		if wake.IsZero() || !due.IsZero() && due.Before(wake) {
			wake = due
		}
	}
	return wake
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case SetHolding:
		c.Holding = message.Holding
	case ConfigurationRead:
		effects = c.handleConfigurationRead(now, message)
	case ReplicasRead:
		effects = c.handleReplicasRead(now, message)
	case NodesRead:
		effects = c.handleNodesRead(now, message)
	case HolderUpdate:
		effects = c.applyHolderUpdate(now, message)
	}
	return append(effects, c.startReads(now)...)
}

func (c *Controller) maxConfigurationAge() time.Duration {
	if c.Holding {
		return holderConfigurationInterval
	}
	if c.Configuration == nil || c.HolderRevision > c.Configuration.Revision {
		return 0
	}
	return followerMaxConfigurationAge
}

func (c *Controller) maxReplicasAge() time.Duration {
	if c.Holding {
		return holderReplicasInterval
	}
	return followerMaxReplicasAge
}

func (c *Controller) maxNodesAge() time.Duration {
	if c.Holding || !c.FromHolder {
		return holderNodesInterval
	}
	return followerMaxNodesAge
}

// dueAt returns when a read is due if the data may reach the given age, or the
// zero time while a read is in progress. The holder repeats a read after
// maxAge, also when that is shorter than retryInterval. Another node reads only
// when the holder's updates do not keep its data current.
func (s Source) dueAt(maxAge time.Duration, holding bool) time.Time {
	if s.Reading {
		return time.Time{}
	}
	due := s.CurrentAsOf.Add(maxAge)
	retryAt := s.LastReadAt.Add(retryInterval)
	if holding {
		retryAt = s.LastReadAt.Add(min(maxAge, retryInterval))
	}
	if retryAt.After(due) {
		return retryAt
	}
	return due
}

func (s *Source) startIfDue(now time.Time, maxAge time.Duration, holding bool) bool {
	due := s.dueAt(maxAge, holding)
	if due.IsZero() || now.Before(due) {
		return false
	}
	s.Reading, s.LastReadAt = true, now
	return true
}

// startReads starts the reads that are due.
func (c *Controller) startReads(now time.Time) []Effect {
	var effects []Effect
	if c.ConfigSource.startIfDue(now, c.maxConfigurationAge(), c.Holding) {
		known := uint64(0)
		if c.Configuration != nil {
			known = c.Configuration.Revision
		}
		effects = append(effects, ReadConfiguration{Known: known})
	}
	if c.ReplicaSource.startIfDue(now, c.maxReplicasAge(), c.Holding) {
		effects = append(effects, ReadReplicas{})
	}
	if c.NodeSource.startIfDue(now, c.maxNodesAge(), c.Holding) {
		effects = append(effects, ReadNodes{})
	}
	return effects
}

// endRead records the end of a read and returns a note when the store stops
// answering or answers again.
func (s *Source) endRead(now, startedAt time.Time, failed bool, source string) []Effect {
	s.Reading = false
	wasFailing := s.Failing
	s.Failing = failed
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

func (c *Controller) handleConfigurationRead(now time.Time, message ConfigurationRead) []Effect {
	effects := c.ConfigSource.endRead(now, message.StartedAt, message.Failed, "configuration")
	if message.Failed {
		return effects
	}
	found := message.Configuration
	if found != nil && (c.Configuration == nil || found.Version > c.Configuration.Version ||
		found.Version == c.Configuration.Version && found.Revision > c.Configuration.Revision) {
		c.Configuration = found
		effects = append(effects, Note{Text: "configuration in force", Source: "store"})
	}
	return append(effects, c.publishConfiguration()...)
}

func (c *Controller) publishConfiguration() []Effect {
	if c.Configuration == nil {
		return nil
	}
	return []Effect{PublishConfiguration{
		Configuration: c.Configuration,
		Version:       c.Configuration.Version,
		CurrentAsOf:   c.ConfigSource.CurrentAsOf,
	}}
}

func (c *Controller) handleNodesRead(now time.Time, message NodesRead) []Effect {
	effects := c.NodeSource.endRead(now, message.StartedAt, message.Failed, "nodes")
	if message.Failed {
		return effects
	}
	c.Nodes = message.Nodes
	return append(effects, PublishNodes{Nodes: c.Nodes, CurrentAsOf: c.NodeSource.CurrentAsOf})
}

// applyHolderUpdate adopts the holder's view. The configuration itself is read
// from the store when the holder reports a newer revision.
func (c *Controller) applyHolderUpdate(now time.Time, message HolderUpdate) []Effect {
	var effects []Effect
	c.HolderRevision = max(c.HolderRevision, message.ConfigurationRevision)
	currentAsOf := message.StartedAt.Add(-message.ConfigurationAge)
	if c.Configuration != nil && c.Configuration.Revision >= c.HolderRevision && message.ConfigurationRevision > 0 && currentAsOf.After(c.ConfigSource.CurrentAsOf) {
		c.ConfigSource.CurrentAsOf = currentAsOf
		effects = append(effects, c.publishConfiguration()...)
	}
	effects = append(effects, c.applyHolderReplicas(now, message)...)
	if currentAsOf := message.StartedAt.Add(-message.NodesAge); currentAsOf.After(c.NodeSource.CurrentAsOf) {
		c.NodeSource.CurrentAsOf = currentAsOf
	}
	if message.Nodes != nil {
		c.Nodes = message.Nodes
		effects = append(effects, PublishNodes{Nodes: c.Nodes, CurrentAsOf: c.NodeSource.CurrentAsOf})
	}
	return effects
}
