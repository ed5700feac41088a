package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// The holder of the placement lease reads at these intervals. A change of
	// the configuration must be in force everywhere within 2 s, of which the
	// holder's interval, a node's exchange with it and the node's own read
	// take about 0.8 s.
	holderConfigurationEvery = 350 * time.Millisecond
	holderReplicasEvery      = 250 * time.Millisecond
	holderNodesEvery         = time.Second
	// Other nodes read by themselves once what they heard of the holder is
	// older than this. Above three exchanges with the holder and below the
	// time that is left to notice a change.
	followerConfigurationAge = 1300 * time.Millisecond
	followerReplicasAge      = 1100 * time.Millisecond
	followerNodesAge         = 4 * time.Second
	// retryEvery is the pause between two reads that fail or follow each
	// other without a holder. Seven nodes then make 35 calls a second in the
	// worst case.
	retryEvery = 400 * time.Millisecond
	// returnWithin is how long entries may be missing after the store was
	// away: replicas write theirs again within about 2 s.
	returnWithin = 2500 * time.Millisecond
	// holderSilent is how long after the last answer of the holder a node goes
	// by the store's list, which lacks the loads in progress.
	holderSilent = 1200 * time.Millisecond
	// listSlack is how much older than this node's own list the holder's may
	// be: it reads several times a second.
	listSlack = 400 * time.Millisecond
	// toldSpan is how long the holder's word on models goes before the store's:
	// two heartbeats of the replicas and the lag of the list.
	toldSpan = 4 * time.Second
	// outageAfter is the age of the last list after which the store counts as
	// having been away.
	outageAfter = 2 * time.Second
)

// Controller keeps the beliefs of one node.
type Controller struct {
	Held bool

	Configuration *resolver.Configuration
	ConfigSource  Source
	// Wanted is the highest revision of the configuration that the holder
	// told of.
	Wanted uint64

	// Listed are the replicas in the store, as of ListedAt. Entries that
	// lapsed during an outage are kept until RetainedUntil.
	Listed        []Replica
	ListedAt      time.Time
	RetainedUntil time.Time
	ReplicaSource Source
	// Told are the replicas as the holder told them, and HeardAt is when this
	// node last asked a holder that answered.
	Told    []Replica
	HeardAt time.Time
	// ToldAsOf is when the holder listed the replicas in the store.
	ToldAsOf time.Time
	// FromHolder says that Told was published last, and not Listed.
	FromHolder bool

	Nodes      []Node
	NodeSource Source
}

// Source is the state of one kind of belief.
type Source struct {
	// ProvenAt is the time up to which the belief is known to be the newest.
	ProvenAt time.Time
	// TriedAt is when this node last started a read of its own.
	TriedAt time.Time
	Busy    bool
	Failing bool
}

// NewController returns a controller that knows nothing.
func NewController() *Controller { return &Controller{} }

// Wake returns when the next read is due.
func (c *Controller) Wake() time.Time {
	wake := c.ConfigSource.dueAt(c.configurationEvery(), c.Held)
	for _, due := range []time.Time{
		c.ReplicaSource.dueAt(c.replicasEvery(), c.Held),
		c.NodeSource.dueAt(c.nodesEvery(), c.Held),
	} {
		if wake.IsZero() || !due.IsZero() && due.Before(wake) {
			wake = due
		}
	}
	return wake
}

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case Lead:
		c.Held = message.Held
	case ConfigurationRead:
		effects = c.configurationRead(now, message)
	case ReplicasRead:
		effects = c.replicasRead(now, message)
	case NodesRead:
		effects = c.nodesRead(now, message)
	case HolderHeard:
		effects = c.holderHeard(now, message)
	}
	return append(effects, c.read(now)...)
}

func (c *Controller) configurationEvery() time.Duration {
	if c.Held {
		return holderConfigurationEvery
	}
	if c.Configuration == nil || c.Wanted > c.Configuration.Revision {
		return 0
	}
	return followerConfigurationAge
}

func (c *Controller) replicasEvery() time.Duration {
	if c.Held {
		return holderReplicasEvery
	}
	return followerReplicasAge
}

func (c *Controller) nodesEvery() time.Duration {
	if c.Held || !c.FromHolder {
		return holderNodesEvery
	}
	return followerNodesAge
}

// dueAt returns when a read is due if the belief may reach the given age, and
// the zero time while a read is under way. The holder counts from its reads;
// another node reads only what it did not hear.
func (s Source) dueAt(age time.Duration, held bool) time.Time {
	if s.Busy {
		return time.Time{}
	}
	due := s.ProvenAt.Add(age)
	again := s.TriedAt.Add(retryEvery)
	if held {
		again = s.TriedAt.Add(min(age, retryEvery))
	}
	if again.After(due) {
		return again
	}
	return due
}

func (s *Source) start(now time.Time, age time.Duration, held bool) bool {
	due := s.dueAt(age, held)
	if due.IsZero() || now.Before(due) {
		return false
	}
	s.Busy, s.TriedAt = true, now
	return true
}

// read starts the reads that are due.
func (c *Controller) read(now time.Time) []Effect {
	var effects []Effect
	if c.ConfigSource.start(now, c.configurationEvery(), c.Held) {
		known := uint64(0)
		if c.Configuration != nil {
			known = c.Configuration.Revision
		}
		effects = append(effects, ReadConfiguration{Known: known})
	}
	if c.ReplicaSource.start(now, c.replicasEvery(), c.Held) {
		effects = append(effects, ReadReplicas{})
	}
	if c.NodeSource.start(now, c.nodesEvery(), c.Held) {
		effects = append(effects, ReadNodes{})
	}
	return effects
}

// ended records the end of a read and returns a note when the store was lost
// or came back.
func (s *Source) ended(now, startedAt time.Time, failed bool, what string) []Effect {
	s.Busy = false
	was := s.Failing
	s.Failing = failed
	if !failed && startedAt.After(s.ProvenAt) {
		s.ProvenAt = startedAt
	}
	switch {
	case failed && !was:
		return []Effect{Note{Text: "store does not answer", Source: what, Age: now.Sub(s.ProvenAt)}}
	case !failed && was:
		return []Effect{Note{Text: "store answers again", Source: what}}
	}
	return nil
}

func (c *Controller) configurationRead(now time.Time, message ConfigurationRead) []Effect {
	effects := c.ConfigSource.ended(now, message.StartedAt, message.Failed, "configuration")
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
		ProvenAt:      c.ConfigSource.ProvenAt,
	}}
}

func (c *Controller) nodesRead(now time.Time, message NodesRead) []Effect {
	effects := c.NodeSource.ended(now, message.StartedAt, message.Failed, "nodes")
	if message.Failed {
		return effects
	}
	c.Nodes = message.Nodes
	return append(effects, PublishNodes{Nodes: c.Nodes, ProvenAt: c.NodeSource.ProvenAt})
}

// holderHeard takes over what the holder knows. The configuration itself is
// read from the store when the holder knows a newer one.
func (c *Controller) holderHeard(now time.Time, message HolderHeard) []Effect {
	var effects []Effect
	c.Wanted = max(c.Wanted, message.ConfigurationRevision)
	proven := message.StartedAt.Add(-message.ConfigurationAge)
	if c.Configuration != nil && c.Configuration.Revision >= c.Wanted && message.ConfigurationRevision > 0 && proven.After(c.ConfigSource.ProvenAt) {
		c.ConfigSource.ProvenAt = proven
		effects = append(effects, c.publishConfiguration()...)
	}
	effects = append(effects, c.heardReplicas(now, message)...)
	if proven := message.StartedAt.Add(-message.NodesAge); proven.After(c.NodeSource.ProvenAt) {
		c.NodeSource.ProvenAt = proven
	}
	if message.Nodes != nil {
		c.Nodes = message.Nodes
		effects = append(effects, PublishNodes{Nodes: c.Nodes, ProvenAt: c.NodeSource.ProvenAt})
	}
	return effects
}
