package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/sequencer"
)

const (
	// The holder of the placement lease reads the store at these intervals or, if
	// that is longer, at the given fraction of the time within which a change must
	// be in force on all nodes. Of that time, the holder's interval, a node's
	// exchange with the holder and the node's own read take about 0.8 s.
	holderConfigurationInterval = 350 * time.Millisecond
	holderConfigurationShare    = 0.125
	holderReplicasInterval      = 250 * time.Millisecond
	holderReplicasShare         = 0.1
	// holderNodesInterval is the interval of the holder's reads of the list of
	// nodes. It grows with the number of nodes by nodesIntervalPerNode, because the
	// list then takes more calls.
	holderNodesInterval  = time.Second
	nodesIntervalPerNode = 16 * time.Millisecond
	// Candidates for the lease read the store themselves once their data from the
	// holder is older than this, so that they can send it to other nodes. The ages
	// are longer than three exchanges with the holder.
	candidateMaxConfigurationAge = 1300 * time.Millisecond
	candidateMaxReplicasAge      = 1100 * time.Millisecond
	// Other nodes read the store themselves followerMargin before the end of the time
	// within which a change must be in force, so that a large fleet does not read the
	// store whenever the holder changes. The margin allows for a slow read.
	followerMargin      = 1200 * time.Millisecond
	followerMaxNodesAge = 4 * time.Second
	// followerStartDelay is how long a node that has just started waits for the
	// replicas of the holder or of a candidate before it reads them itself.
	followerStartDelay = 1500 * time.Millisecond
	// followerNodesInterval is the interval of reads of the list of nodes while no
	// holder is known.
	followerNodesInterval = 2 * time.Second
	// retryInterval is the minimum time between two reads when reads fail or
	// there is no holder. At a node on which no other relies, it doubles with each
	// failed read up to maxRetryInterval: a store in trouble must not get more calls
	// than one that answers, and the holder or a candidate notices its return.
	retryInterval    = 400 * time.Millisecond
	maxRetryInterval = 3200 * time.Millisecond
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
	// considered to have been unavailable. A node that is to read the list only at
	// a greater age adds outageMargin to that age.
	outageThreshold = 2 * time.Second
	outageMargin    = 800 * time.Millisecond
)

// Bounds are the times within which changes must be in force on all nodes.
type Bounds struct {
	// ApplyWithin applies to the configuration, and DrainWithin to replicas that
	// are leaving.
	ApplyWithin, DrainWithin time.Duration
	// EvacuateWithin applies to evacuations of data centres. With 0 they are not read.
	EvacuateWithin time.Duration
	// HeartbeatInterval is the interval at which replicas write their entries.
	HeartbeatInterval time.Duration
}

// Controller maintains the fleet view of one node.
type Controller struct {
	Bounds  Bounds
	Holding bool
	// Acting is set if this node publishes the state of the fleet in place of the
	// holder, and Candidate if it may hold the placement lease.
	Acting, Candidate bool
	// StartedAt is when the controller handled its first message.
	StartedAt time.Time

	// NodesOutdated is set while the list of nodes must be read again, because it lacks the
	// entry of this node.
	NodesOutdated bool
	// FirstStart is set if the whole system starts for the first time, so that the store
	// cannot have been restored before.
	FirstStart bool
	// Era is the latest era of the store that this node knows of, and RestoredAt when
	// it learned that the store had or may have been restored from an older copy.
	Era        uint64
	RestoredAt time.Time

	Configuration *resolver.Configuration
	ConfigSource  Source
	// HolderPosition is the latest position of the configuration that the holder has
	// reported.
	HolderPosition sequencer.Position
	// HolderVersion is the latest version of the configuration that a node has had in force,
	// as holders have published it. Versions increase over all eras.
	HolderVersion uint64
	// Answered is set once another node has answered as the holder.
	Answered bool

	// Listed are the replicas in the store as of ListedAt. Entries that expired
	// during an outage of the store, or were lost in a restoration, are kept until
	// RetainedUntil.
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

	// Cold holds the cold times in the entries of the store, and HolderCold the end
	// of the cold time that the holder has reported, by replica ID.
	Cold       map[string]coldEntry
	HolderCold map[string]time.Time

	// Departed holds the replicas that have left, by ID.
	Departed map[string]departure

	// Nodes are the registered nodes. Those whose entries were lost in a restoration
	// are kept until NodesRetainedUntil.
	Nodes              []Node
	NodesRetainedUntil time.Time
	NodeSource         Source

	Evacuations Evacuations
}

// NewController returns a controller with an empty view.
func NewController(bounds Bounds) *Controller { return &Controller{Bounds: bounds} }

// Wake returns when the next read is due.
func (c *Controller) Wake() time.Time {
	wake := c.configurationDueAt()
	for _, due := range []time.Time{
		c.replicasDueAt(),
		c.nodesDueAt(),
		c.evacuationsDueAt(),
		c.replicasReleasedAt(),
	} {
		if wake.IsZero() || !due.IsZero() && due.Before(wake) {
			wake = due
		}
	}
	return wake
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if c.StartedAt.IsZero() {
		c.StartedAt = now
	}
	c.recordStoreAnswer(now, message)
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case SetHolding:
		c.Holding = message.Holding
	case SetActing:
		c.Acting = message.Acting
	case SetCandidate:
		c.Candidate = message.Candidate
	case NodeRegistered:
		c.NodesOutdated = true
	case ConfigurationRead:
		effects = c.handleConfigurationRead(now, message)
	case ReplicasRead:
		effects = c.handleReplicasRead(now, message)
	case NodesRead:
		effects = c.handleNodesRead(now, message)
	case EvacuationsRead:
		effects = c.handleEvacuationsRead(now, message)
	case HolderUpdate:
		effects = c.applyHolderUpdate(now, message)
	case ViewUpdate:
		effects = c.applyViewUpdate(now, message)
	}
	return append(c.markReplicas(now, effects), c.startReads(now)...)
}

// startReads starts the reads that are due.
func (c *Controller) startReads(now time.Time) []Effect {
	var effects []Effect
	if c.ConfigSource.startIfDue(now, c.configurationDueAt()) {
		var known sequencer.Position
		if c.Configuration != nil {
			known = c.Configuration.Position
		}
		effects = append(effects, ReadConfiguration{Known: known})
	}
	if c.ReplicaSource.startIfDue(now, c.replicasDueAt()) {
		effects = append(effects, ReadReplicas{})
	}
	if c.NodeSource.startIfDue(now, c.nodesDueAt()) {
		effects = append(effects, ReadNodes{AllowStale: !c.Holding && !c.NodesOutdated})
		c.NodesOutdated = false
	}
	if c.Evacuations.startIfDue(now, c.evacuationsDueAt()) {
		effects = append(effects, ReadEvacuations{})
	}
	return effects
}

// handleConfigurationRead adopts a configuration from the store, unless it is older
// than the one in force. A version that the store has at a later position, as after a
// restoration, is adopted again, so that its position can be compared with others.
func (c *Controller) handleConfigurationRead(now time.Time, message ConfigurationRead) []Effect {
	if !message.Failed && c.isLost(message.Era) {
		c.ConfigSource.Reading = false
		return nil
	}
	found, known := message.Configuration, c.Configuration
	var effects []Effect
	if !message.Failed {
		effects = c.observeEra(now, message.Era)
	}
	provenAt := message.StartedAt
	if c.provesNothing(message.StartedAt) || !message.Failed && c.isSuperseded(found) {
		provenAt = time.Time{}
	}
	effects = append(effects, c.ConfigSource.endRead(now, provenAt, message.Failed, "configuration")...)
	if message.Failed {
		return effects
	}
	switch {
	case found == nil:
	case known == nil, found.Version > known.Version, found.Version == known.Version && found.After(known.Position):
		c.Configuration = found
		effects = append(effects, Note{Text: "configuration in force", Source: "store", Version: found.Version, Position: found.Position})
	case found.Version < known.Version:
		effects = append(effects, Note{Text: "store has an older configuration", Source: "store", Version: found.Version, Position: found.Position})
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
	if !message.Failed && c.isLost(message.Era) {
		c.NodeSource.Reading = false
		return nil
	}
	effects := c.NodeSource.endRead(now, message.StartedAt, message.Failed, "nodes")
	if message.Failed {
		return effects
	}
	effects = append(effects, c.observeEra(now, message.Era)...)
	c.Nodes = c.retainNodes(now, message.Nodes)
	return append(effects, PublishNodes{Nodes: c.Nodes, CurrentAsOf: c.NodeSource.CurrentAsOf})
}

// applyHolderUpdate adopts the holder's view. The configuration itself is read
// from the store when the holder reports a later position.
func (c *Controller) applyHolderUpdate(now time.Time, message HolderUpdate) []Effect {
	effects := c.observeEra(now, message.Era)
	c.Answered = c.Answered || !message.Own
	effects = append(effects, c.applyHolderVersion(message.configurationPosition(), message.ConfigurationVersion)...)
	effects = append(effects, c.applyConfigurationAge(message.configurationPosition(), message.StartedAt.Add(-message.ConfigurationAge))...)
	effects = append(effects, c.applyEvacuations(now, message.StartedAt.Add(-message.EvacuationsAge), message.EvacuationsKnown, message.Evacuated)...)
	effects = append(effects, c.applyHolderReplicas(now, message)...)
	if currentAsOf := message.StartedAt.Add(-message.NodesAge); currentAsOf.After(c.NodeSource.CurrentAsOf) {
		c.NodeSource.CurrentAsOf = currentAsOf
	}
	return effects
}

// applyConfigurationAge adopts another node's proof that its configuration is the
// newest, if this node has the same one.
func (c *Controller) applyConfigurationAge(position sequencer.Position, currentAsOf time.Time) []Effect {
	if position.After(c.HolderPosition) {
		c.HolderPosition = position
	}
	if c.Configuration == nil || c.Configuration.Position != position || !currentAsOf.After(c.ConfigSource.CurrentAsOf) {
		return nil
	}
	c.ConfigSource.CurrentAsOf = currentAsOf
	return c.publishConfiguration()
}

// applyViewUpdate adopts what another node has read from the store as if this node
// had read it itself, unless this node's own data is newer.
func (c *Controller) applyViewUpdate(now time.Time, message ViewUpdate) []Effect {
	effects := c.observeEra(now, message.Era)
	effects = append(effects, c.applyConfigurationAge(message.configurationPosition(), message.AsOf.Add(-message.ConfigurationAge))...)
	effects = append(effects, c.applyEvacuations(now, message.AsOf.Add(-message.EvacuationsAge), message.EvacuationsKnown, message.Evacuated)...)
	listedAt := message.AsOf.Add(-message.ReplicasAge)
	if !listedAt.After(c.ReplicaSource.CurrentAsOf) || now.Sub(listedAt) > c.maxReplicasAge() {
		return effects
	}
	reading := c.ReplicaSource.Reading
	effects = append(effects, c.handleReplicasRead(now, ReplicasRead{StartedAt: listedAt, Era: message.Era, Replicas: message.Replicas})...)
	c.ReplicaSource.Reading = reading
	return effects
}
