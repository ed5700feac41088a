package tracker

import "time"

// Kind is the kind of process that runs on an instance.
type Kind string

// The kinds of instances.
const (
	Entry   Kind = "Entry"
	Engine  Kind = "Engine"
	Service Kind = "Service"
)

// Phase is an instance's state in the platform's list.
type Phase string

// The phases of an instance.
const (
	Live    Phase = "Live"
	Leaving Phase = "Leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name string
	Kind Kind
	// Service names the plain service of an instance of kind Service.
	Service string
	// Address is "IP:port", for callers or for the endpoint's own protocol.
	Address string
	// PeerAddress is "IP:port" of an entry instance's peer listener.
	PeerAddress string
	DataCentre  string
	Region      string
	Phase       Phase
	// MemoryMB is the memory for models and adapters, in MiB.
	MemoryMB int
	// HonoursFence reports whether the endpoint refuses orders with an old
	// fencing token.
	HonoursFence bool
	// ChecksOrders reports whether the endpoint authenticates the sender of an
	// order.
	ChecksOrders bool
}

// InstanceList is one version of the platform's list of instances.
type InstanceList struct {
	Version   uint64
	Instances []Instance
}

// State is the state of a model or adapter at an endpoint.
type State string

// The states of a model or adapter at an endpoint.
const (
	Loading   State = "Loading"
	Loaded    State = "Loaded"
	Unloading State = "Unloading"
	Failed    State = "Failed"
)

// Tier is the storage in which an endpoint has cached a checkpoint.
type Tier string

// The tiers of checkpoint caches, from the fastest to the slowest.
const (
	Memory Tier = "Memory"
	Disk   Tier = "Disk"
	Remote Tier = "Remote"
)

// Report is an endpoint's load report.
type Report struct {
	// Endpoint is the instance's name.
	Endpoint string
	// Sequence increases with every report of one run of the endpoint.
	Sequence uint64
	// Measured is when the values were measured, on the clock of the node that
	// holds the report.
	Measured time.Time
	Queued   int
	Running  int
	Slots    int
	// TokensPerSecond is the generation rate of one running request.
	TokensPerSecond float64
	MemoryMB        int
	UsedMB          int
	// Fence is the highest fencing token of an order that the endpoint has
	// accepted.
	Fence  uint64
	Models []ModelState
	Cached []CachedModel
	// Leaving reports whether the endpoint has stopped accepting new requests.
	Leaving bool
}

// ModelState is the state of a model that an endpoint has loaded or is loading
// or unloading.
type ModelState struct {
	// Model is the model's key, "name@version".
	Model string
	State State
	// Fence is the fencing token of the order that led to the state.
	Fence uint64
	// Running is the number of requests that are running or waiting for the
	// model.
	Running int
	// Served counts the requests accepted for the model since it was loaded.
	Served   uint64
	Adapters []AdapterState
}

// AdapterState is the state of an adapter of a loaded model.
type AdapterState struct {
	// Adapter is the adapter's key, "name@version".
	Adapter string
	State   State
	// Running and Served count requests as in ModelState.
	Running int
	Served  uint64
}

// CachedModel is a checkpoint that an endpoint can load without reading the
// weight store.
type CachedModel struct {
	Model string
	Tier  Tier
}

// Endpoint is an engine or service instance together with its observed state.
// Report is nil for services and for engines without a load report so far.
type Endpoint struct {
	Instance
	Report *Report
	// SuspectUntil is when a suspicion ends. Until then the endpoint gets no
	// new requests.
	SuspectUntil time.Time
}

// Fleet is an immutable view of all instances.
type Fleet struct {
	// ListVersion is the version of the instance list in the view.
	ListVersion uint64
	Nodes       []Instance
	Endpoints   []Endpoint
}
