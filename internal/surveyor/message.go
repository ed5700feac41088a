package surveyor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/sequencer"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// SetHolding sets whether this node holds the placement lease. The holder reads
// the store on behalf of all nodes.
type SetHolding struct{ Holding bool }

// SetActing sets whether this node publishes the state of the fleet in place of a
// holder that is lost. It then reads the store like the holder.
type SetActing struct{ Acting bool }

// SetCandidate sets whether this node may hold the placement lease. The other nodes
// ask candidates for their view while there is no holder.
type SetCandidate struct{ Candidate bool }

// NodeRegistered reports that the entry of this node was written, which the last list of nodes
// lacks.
type NodeRegistered struct{}

// ConfigurationRead is the result of a ReadConfiguration. Configuration is nil
// if the revision in the store is the known one.
type ConfigurationRead struct {
	// StartedAt is when the call was started. The store's answer proves that
	// nothing newer had been acknowledged by then.
	StartedAt time.Time
	Failed    bool
	// Era is the era of the store's answer.
	Era           uint64 `json:",omitempty"`
	Configuration *resolver.Configuration
}

// ReplicasRead is the result of a ReadReplicas.
type ReplicasRead struct {
	StartedAt time.Time
	Failed    bool
	Era       uint64 `json:",omitempty"`
	Replicas  []Replica
}

// NodesRead is the result of a ReadNodes.
type NodesRead struct {
	StartedAt time.Time
	Failed    bool
	Era       uint64 `json:",omitempty"`
	Nodes     []Node
}

// EvacuationsRead is the result of a ReadEvacuations.
type EvacuationsRead struct {
	StartedAt   time.Time
	Failed      bool
	Era         uint64 `json:",omitempty"`
	DataCentres []string
}

// HolderUpdate is the view of the holder of the placement lease, as sent to
// this node.
type HolderUpdate struct {
	// StartedAt is when this node sent its request. Ages are counted from this
	// time, before the holder answered, so that delays can make data appear
	// older but never newer.
	StartedAt time.Time
	// Era is the latest era of the store that the holder knows of.
	// ConfigurationEra and ConfigurationRevision are the position of its
	// configuration, and ConfigurationVersion is the latest version that a node has had in
	// force, 0 if it is not known.
	// Own is set if this node is the holder or acts for it.
	Era                   uint64 `json:",omitempty"`
	ConfigurationEra      uint64 `json:",omitempty"`
	ConfigurationRevision uint64
	ConfigurationVersion  uint64 `json:",omitempty"`
	Own                   bool   `json:",omitempty"`
	ConfigurationAge      time.Duration
	ReplicasAge           time.Duration
	NodesAge              time.Duration
	// Evacuated are the evacuated data centres. EvacuationsKnown is not set if the holder
	// does not know them.
	Evacuated        []string      `json:",omitempty"`
	EvacuationsKnown bool          `json:",omitempty"`
	EvacuationsAge   time.Duration `json:",omitempty"`
	// Replicas are the new replicas, Updates the changes of known ones, and Removed
	// the IDs of those that left. If Full is set, Replicas replaces all known
	// replicas.
	Full     bool
	Replicas []Replica
	Updates  []ReplicaUpdate
	Removed  []string
}

// ViewUpdate is what another node that does not hold the lease has read from the
// store. Ages count from AsOf.
type ViewUpdate struct {
	AsOf time.Time
	// Era, ConfigurationEra and ConfigurationRevision are as in HolderUpdate.
	Era                   uint64 `json:",omitempty"`
	ConfigurationEra      uint64 `json:",omitempty"`
	ConfigurationRevision uint64
	ConfigurationAge      time.Duration
	ReplicasAge           time.Duration
	Replicas              []Replica
	// Evacuated, EvacuationsKnown and EvacuationsAge are as in HolderUpdate.
	Evacuated        []string      `json:",omitempty"`
	EvacuationsKnown bool          `json:",omitempty"`
	EvacuationsAge   time.Duration `json:",omitempty"`
}

func (u HolderUpdate) configurationPosition() sequencer.Position {
	return sequencer.Position{Era: u.ConfigurationEra, Revision: u.ConfigurationRevision}
}

func (u ViewUpdate) configurationPosition() sequencer.Position {
	return sequencer.Position{Era: u.ConfigurationEra, Revision: u.ConfigurationRevision}
}

func (Tick) isMessage()              {}
func (SetHolding) isMessage()        {}
func (NodeRegistered) isMessage()    {}
func (ConfigurationRead) isMessage() {}
func (ReplicasRead) isMessage()      {}
func (NodesRead) isMessage()         {}
func (EvacuationsRead) isMessage()   {}
func (HolderUpdate) isMessage()      {}
func (SetActing) isMessage()         {}
func (SetCandidate) isMessage()      {}
func (ViewUpdate) isMessage()        {}

// Effect is an output of Controller: ReadConfiguration, ReadReplicas,
// ReadNodes, ReadEvacuations, one of the Publish effects, StoreRestored, ProofDelayed or Note.
type Effect interface{ isEffect() }

// ReadConfiguration reads the desired state and results in a ConfigurationRead
// message. Known is the position of the configuration that this node has, the zero
// value if it has none.
type ReadConfiguration struct{ Known sequencer.Position }

// ReadReplicas lists the replicas and results in a ReplicasRead message.
type ReadReplicas struct{}

// ReadNodes lists the nodes and results in a NodesRead message. With AllowStale the
// list may be seconds old, which costs the store less.
type ReadNodes struct{ AllowStale bool }

// ReadEvacuations lists the evacuated data centres and results in an EvacuationsRead
// message.
type ReadEvacuations struct{}

// PublishConfiguration puts the configuration in force at this node.
// CurrentAsOf is the latest time at which it is known to have been the newest.
type PublishConfiguration struct {
	Configuration *resolver.Configuration `json:"-"`
	Version       uint64
	CurrentAsOf   time.Time
}

// PublishStoreReplicas publishes the replicas that the store lists, for use by
// the holder of the placement lease.
type PublishStoreReplicas struct {
	Replicas    []Replica
	Era         uint64 `json:",omitempty"`
	CurrentAsOf time.Time
}

// PublishReplicas publishes the replicas that requests may be sent to.
// FromHolder is set if they include the view of the holder of the placement
// lease.
type PublishReplicas struct {
	Replicas    []Replica
	FromHolder  bool
	CurrentAsOf time.Time
}

// PublishNodes publishes the registered nodes.
type PublishNodes struct {
	Nodes       []Node
	CurrentAsOf time.Time
}

// PublishEvacuations publishes the evacuated data centres, sorted.
type PublishEvacuations struct {
	DataCentres []string
	CurrentAsOf time.Time
}

// StoreRestored reports that the store was restored from an older copy. What was written
// before may be lost.
type StoreRestored struct{ Era uint64 }

// ProofDelayed reports that reads of the store that are started before a time do not prove
// a configuration to be the newest. Another node may have a proof earlier.
type ProofDelayed struct{ Until time.Time }

// Note is a log entry: the view or the state of the store has changed.
type Note struct {
	Text   string
	Source string
	Age    time.Duration
	// DataCentre is the one that the note is about.
	DataCentre string `json:",omitempty"`
	// Version and Position are those of the configuration that the note is about.
	Version uint64 `json:",omitempty"`
	sequencer.Position
}

func (ReadConfiguration) isEffect()    {}
func (ReadReplicas) isEffect()         {}
func (ReadNodes) isEffect()            {}
func (PublishConfiguration) isEffect() {}
func (PublishStoreReplicas) isEffect() {}
func (PublishReplicas) isEffect()      {}
func (PublishNodes) isEffect()         {}
func (ReadEvacuations) isEffect()      {}
func (PublishEvacuations) isEffect()   {}
func (StoreRestored) isEffect()        {}
func (ProofDelayed) isEffect()         {}
func (Note) isEffect()                 {}
