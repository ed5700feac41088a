package surveyor

import (
	"slices"
	"time"
)

// Replica is an endpoint as it describes itself in the store, or as the holder
// of the placement lease knows it.
type Replica struct {
	// ID is new at most starts of the replica; Born tells two starts under
	// one ID apart, in milliseconds of Unix time.
	ID        string
	StartedMS int64 `json:"Born"`
	Service   string
	// Address is "IP:port".
	Address    string
	DataCentre string
	Slots      int
	// Leaving replicas take no new requests.
	Leaving bool
	// Sequence counts the orders that the replica accepted. Only the replica's
	// own report tells it.
	Sequence uint64 `json:",omitempty"`
	Models   []LoadedModel
	// InMemory and OnDisk name the models with a copy of their weights.
	InMemory []string `json:",omitempty"`
	OnDisk   []string `json:",omitempty"`
	// Pending lists what is being loaded. The store does not know of it.
	Pending []PendingLoad `json:",omitempty"`
}

// Loaded is a model at a replica with its adapters.
type LoadedModel struct {
	Name     string
	Adapters []string `json:",omitempty"`
}

// Pending is a load in progress.
type PendingLoad struct {
	Model   string
	Adapter string `json:",omitempty"`
	// Left is the estimated time to the end of the load, when the message
	// that carries it was made.
	Remaining time.Duration `json:"Left"`
	// Sure loads end in time: those from a replica's own copies. A load from
	// the weight store takes longer the more there are.
	EndKnown bool `json:"Sure,omitempty"`
}

// Has says whether the replica has a model and, unless empty, an adapter of it.
func (r Replica) Has(model, adapter string) bool {
	for _, loaded := range r.Models {
		if loaded.Name == model {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

// Node is a process of the system on an entry instance.
type Node struct {
	Name string
	// Run identifies one run of the process.
	RunID      string `json:"Run"`
	DataCentre string
	// Callers is the address for callers and Peers the one for other nodes.
	CallerAddress string `json:"Callers"`
	PeerAddress   string `json:"Peers"`
	// Capacity is the processor share of the instance, less if its link is
	// narrow.
	Capacity float64
	// Revision is the store's revision of the node's entry.
	Revision uint64 `json:",omitempty"`
}
