package surveyor

import (
	"cmp"
	"slices"
	"time"
)

// Replica is an endpoint as described by its own entry in the store or by the
// holder of the placement lease.
type Replica struct {
	// ID is new at most starts of the replica. StartedMS, in milliseconds of
	// Unix time, distinguishes two starts with the same ID.
	ID        string
	StartedMS int64 `json:"Born"`
	Service   string
	// Version is that of the replica's software. What two versions generate does not fit
	// together.
	Version string `json:",omitempty"`
	// Address is "IP:port".
	Address    string
	DataCentre string
	Slots      int
	// Leaving is set if the replica accepts no new requests.
	Leaving bool
	// Unlisted is set while the store does not list the replica and it may not have
	// registered again yet.
	Unlisted bool `json:",omitempty"`
	// Evacuated is set if the data centre is evacuated, as far as the node knows that
	// publishes the replica. It is not sent to other nodes.
	Evacuated bool `json:",omitempty"`
	// Sequence counts the orders that the replica has accepted. It is set only
	// in the replica's own report.
	Sequence uint64 `json:",omitempty"`
	Models   []LoadedModel
	// InMemory and OnDisk name the models of whose weights the replica has a
	// copy.
	InMemory []string `json:",omitempty"`
	OnDisk   []string `json:",omitempty"`
	// Pending lists the loads in progress. The store does not contain them.
	Pending []PendingLoad `json:",omitempty"`
	// ColdFor is how much longer the replica is cold, that is slow, as of the creation of
	// the message that carries it. It is 0 if the replica is not cold or if its entry does
	// not state it, in which case ColdKnown is not set.
	ColdFor   time.Duration `json:",omitempty"`
	ColdKnown bool          `json:",omitempty"`
	// Heartbeat counts the writes of the replica's entry. It is set only in lists of the
	// store.
	Heartbeat uint64 `json:",omitempty"`
}

// ReplicaUpdate replaces the fields of a known replica that change during its run.
type ReplicaUpdate struct {
	ID       string
	Leaving  bool          `json:",omitempty"`
	Unlisted bool          `json:",omitempty"`
	Models   []LoadedModel `json:",omitempty"`
	Pending  []PendingLoad `json:",omitempty"`
	// ColdFor and ColdKnown are as in Replica.
	ColdFor   time.Duration `json:",omitempty"`
	ColdKnown bool          `json:",omitempty"`
}

// Update returns the fields of the replica that change during its run.
func (r Replica) Update() ReplicaUpdate {
	return ReplicaUpdate{ID: r.ID, Leaving: r.Leaving, Unlisted: r.Unlisted, Models: r.Models, Pending: r.Pending, ColdFor: r.ColdFor, ColdKnown: r.ColdKnown}
}

// Apply returns the replica with the fields of an update.
func (r Replica) Apply(update ReplicaUpdate) Replica {
	r.Leaving, r.Unlisted, r.Models, r.Pending = update.Leaving, update.Unlisted, update.Models, update.Pending
	r.ColdFor, r.ColdKnown = update.ColdFor, update.ColdKnown
	return r
}

// LoadedModel is a model at a replica with its loaded adapters.
type LoadedModel struct {
	Name     string
	Adapters []string `json:",omitempty"`
}

// PendingLoad is a load in progress.
type PendingLoad struct {
	Model   string
	Adapter string `json:",omitempty"`
	// Remaining is the estimated time to the end of the load, as of the
	// creation of the message that carries it.
	Remaining time.Duration `json:"Left"`
	// EndKnown is set if the load ends after Remaining, as loads from a
	// replica's own copies do. A load from the weight store takes longer the
	// more such loads there are.
	EndKnown bool `json:"Sure,omitempty"`
}

// Has reports whether the replica has the model loaded and, unless adapter is
// empty, that adapter of it.
func (r Replica) Has(model, adapter string) bool {
	for _, loaded := range r.Models {
		if loaded.Name == model {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

// Node is a process of the system that runs on an entry instance.
type Node struct {
	Name string
	// RunID identifies one run of the process.
	RunID      string `json:"Run"`
	DataCentre string
	// CallerAddress is the address for callers, and PeerAddress that for other
	// nodes.
	CallerAddress string `json:"Callers"`
	PeerAddress   string `json:"Peers"`
	// Capacity is the processor share of the instance, reduced if its network
	// link is slow.
	Capacity float64
	// Revision is the store's revision of the node's entry.
	Revision uint64 `json:",omitempty"`
	// Unlisted is set if the store lost the entry in a restoration.
	Unlisted bool `json:",omitempty"`
}

const (
	// minCapacityShare is the fraction of the largest node's capacity that a
	// node needs to hold the placement lease: a holder with a small machine or
	// link slows down all other nodes.
	minCapacityShare = 0.7
	// minLargeNodes is the number of large nodes below which all nodes may hold
	// the lease, whatever their capacity.
	minLargeNodes = 3
)

// CapableNodes returns the nodes that may hold the placement lease.
func CapableNodes(nodes []Node) []Node {
	maxCapacity := 0.0
	for _, node := range nodes {
		maxCapacity = max(maxCapacity, node.Capacity)
	}
	var large []Node
	for _, node := range nodes {
		if node.Capacity >= minCapacityShare*maxCapacity {
			large = append(large, node)
		}
	}
	if len(large) < minLargeNodes {
		return slices.Clone(nodes)
	}
	return large
}

// SortNodes returns the nodes sorted by name. It does not modify nodes.
func SortNodes(nodes []Node) []Node {
	return slices.SortedFunc(slices.Values(nodes), func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
}
