package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick says that the controller's wake time has come.
type Tick struct{}

// Lead says whether this node holds the placement lease. The holder reads the
// store for all nodes.
type SetHolding struct{ Holding bool }

// ConfigurationRead is the result of a ReadConfiguration. Configuration is nil
// if the revision in the store is the known one.
type ConfigurationRead struct {
	// StartedAt is when the call was started: the store's answer proves that
	// nothing newer was acknowledged before.
	StartedAt     time.Time
	Failed        bool
	Configuration *resolver.Configuration
}

// ReplicasRead is the result of a ReadReplicas.
type ReplicasRead struct {
	StartedAt time.Time
	Failed    bool
	Replicas  []Replica
}

// NodesRead is the result of a ReadNodes.
type NodesRead struct {
	StartedAt time.Time
	Failed    bool
	Nodes     []Node
}

// HolderHeard is what the holder of the placement lease told this node.
type HolderUpdate struct {
	// StartedAt is when this node asked. Ages count from before the holder
	// answered, so that delay makes a belief older and never younger.
	StartedAt             time.Time
	ConfigurationRevision uint64
	ConfigurationAge      time.Duration
	ReplicasAge           time.Duration
	NodesAge              time.Duration
	// Replicas are those that changed, and Gone those that left; if Full is
	// set, Replicas replaces the known ones.
	Full     bool
	Replicas []Replica
	Removed  []string
	// Nodes replaces the known ones unless it is nil.
	Nodes []Node
}

func (Tick) isMessage()              {}
func (SetHolding) isMessage()        {}
func (ConfigurationRead) isMessage() {}
func (ReplicasRead) isMessage()      {}
func (NodesRead) isMessage()         {}
func (HolderUpdate) isMessage()      {}

// Effect is an output of Controller: ReadConfiguration, ReadReplicas,
// ReadNodes or one of the Publish effects.
type Effect interface{ isEffect() }

// ReadConfiguration reads the desired state and brings a ConfigurationRead.
type ReadConfiguration struct{ Known uint64 }

// ReadReplicas lists the replicas and brings a ReplicasRead.
type ReadReplicas struct{}

// ReadNodes lists the nodes and brings a NodesRead.
type ReadNodes struct{}

// PublishConfiguration puts the configuration in force at this node.
// ProvenAt is the time up to which it is known to be the newest.
type PublishConfiguration struct {
	Configuration *resolver.Configuration `json:"-"`
	Version       uint64
	CurrentAsOf   time.Time
}

// PublishListed tells of the replicas in the store, for the holder of the
// placement lease.
type PublishStoreReplicas struct {
	Replicas    []Replica
	CurrentAsOf time.Time
}

// PublishReplicas tells of the replicas to send to. FromHolder says that they include what
// the holder of the placement lease knows.
type PublishReplicas struct {
	Replicas    []Replica
	FromHolder  bool
	CurrentAsOf time.Time
}

// PublishNodes tells of the registered nodes.
type PublishNodes struct {
	Nodes       []Node
	CurrentAsOf time.Time
}

// Note is a change of a belief, for the log.
type Note struct {
	Text   string
	Source string
	Age    time.Duration
}

func (ReadConfiguration) isEffect()    {}
func (ReadReplicas) isEffect()         {}
func (ReadNodes) isEffect()            {}
func (PublishConfiguration) isEffect() {}
func (PublishStoreReplicas) isEffect() {}
func (PublishReplicas) isEffect()      {}
func (PublishNodes) isEffect()         {}
func (Note) isEffect()                 {}
