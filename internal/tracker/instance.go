package tracker

import "time"

// Kind says what runs on an instance.
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
	// HonoursFence says that the endpoint refuses orders with an old fence.
	HonoursFence bool
	// ChecksOrders says that the endpoint checks who gives it an order.
	ChecksOrders bool
}

// InstanceList is one version of the platform's list.
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

// Tier says where an endpoint has a checkpoint cached.
type Tier string

// The tiers of checkpoint caches, from the fastest to the slowest.
const (
	Memory Tier = "Memory"
	Disk   Tier = "Disk"
	Remote Tier = "Remote"
)

// Report is what an endpoint says of its load.
type Report struct {
	// Endpoint is the instance's name.
	Endpoint string
	// Sequence grows with every report of one run of the endpoint.
	Sequence uint64
	// Measured is when the numbers were true, on the clock of the node that
	// holds the report.
	Measured time.Time
	Queued   int
	Running  int
	Slots    int
	// TokensPerSecond is the speed of one running request.
	TokensPerSecond float64
	MemoryMB        int
	UsedMB          int
	// Fence is the highest fence of an order that the endpoint accepted.
	Fence  uint64
	Models []ModelState
	Cached []CachedModel
	// Leaving says that the endpoint takes no new work.
	Leaving bool
}

// ModelState is a model that an endpoint has or is loading or unloading.
type ModelState struct {
	// Model is the model's key, "name@version".
	Model string
	State State
	// Fence is the fence of the order that caused the state.
	Fence uint64
	// Running is the number of requests that run or wait for the model.
	Running int
	// Served counts the requests accepted for the model since it was loaded.
	Served   uint64
	Adapters []AdapterState
}

// AdapterState is an adapter beside its model.
type AdapterState struct {
	// Adapter is the adapter's key, "name@version".
	Adapter string
	State   State
	// Running and Served count requests as in ModelState.
	Running int
	Served  uint64
}

// CachedModel is a checkpoint that an endpoint can load without the store.
type CachedModel struct {
	Model string
	Tier  Tier
}

// Endpoint is an engine or service together with what is known of it. The
// report is nil for services and for engines that have not reported.
type Endpoint struct {
	Instance
	Report *Report
	// SuspectUntil is when a suspicion ends; no new work goes there before.
	SuspectUntil time.Time
}

// Fleet is an immutable view of all instances.
type Fleet struct {
	// ListVersion is the version of the instance list in the view.
	ListVersion uint64
	Nodes       []Instance
	Endpoints   []Endpoint
}
