package resolver

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/sequencer"
)

// Kind determines whether requests of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	Streaming Kind = "streaming"
)

// Configuration is one version of the desired state. It is immutable once it has
// been published.
type Configuration struct {
	// Version increases with every change, not necessarily by one.
	Version uint64
	// Position is the position in the store of the object that holds the
	// configuration.
	sequencer.Position
	Routes   []Route
	Services map[string]Service
	// Workspaces holds the workspaces by name. Keys maps the hexadecimal SHA-256
	// digest of a key to the name of its workspace.
	Workspaces map[string]Workspace
	Keys       map[string]string
	Limits     Limits
}

// Route matches the requests for a host whose path begins with a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// Objective is the latency objective for the complete answer, or for the first
	// event of a stream.
	Objective time.Duration
	// GapObjective is the longest time between two events of a stream that meets
	// its latency objective.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Targets are the services of the route. Requests are spread over them in
	// proportion to their weights.
	Targets []Target
	// MaxAttempts is the maximum number of replicas that may run one request.
	MaxAttempts int
	// Public routes require no key.
	Public    bool
	Sticky    bool
	Resumable bool
	// AllowedRegions are the regions whose replicas may run the requests of the route. An
	// empty list allows all.
	AllowedRegions []string `json:",omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service with its weight in a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of replicas that answer the same requests.
type Service struct {
	Name           string
	MaxConnections int
	// ColdTime is how long a replica is cold, that is slow, after it starts. While cold, it
	// bears ColdRate requests a second. 0 means that replicas are never cold.
	ColdTime time.Duration `json:",omitempty"`
	ColdRate float64       `json:",omitempty"`
	// Engine is nil for a service that runs no models.
	Engine *Engine
}

// Engine describes the replicas of a service that runs models.
type Engine struct {
	// Slots is the number of requests that a replica runs in one batch.
	Slots int
	// KVTokens is the capacity in tokens of the key-value cache for running
	// requests and cached prompts.
	KVTokens int
	// EventCalls is the number of calls for changes of that cache which a replica keeps
	// waiting at a time, 0 if replicas do not report what they keep.
	EventCalls int `json:",omitempty"`
	// MemoryMB is the memory for the weights of models and adapters.
	MemoryMB     float64
	AdapterSlots int
	// HostMB and DiskMB are the host memory and the disk space for copies of
	// weights, from which loads are fast.
	HostMB, DiskMB float64
	// LoadsPerSecond is the maximum rate of loads from the weight store over all
	// replicas of the service.
	LoadsPerSecond float64
	Models         map[string]Model
}

// ReportsCache reports whether replicas report what they keep in their key-value caches.
func (e *Engine) ReportsCache() bool { return e.EventCalls > 0 && e.KVTokens > 0 }

// Model is a model that an engine may be ordered to load.
type Model struct {
	Name     string
	MemoryMB float64
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the durations of a load
	// from the weight store, the replica's disk and its host memory.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	Adapters                                    int
	AdapterMB                                   float64
}

// Workspace is a customer with its rate limit.
type Workspace struct {
	Name string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// Rate is in units per second and Burst in units. A Rate of 0 means no limit.
	// The unit is a token if CountTokens is set, and a request otherwise.
	Rate, Burst float64
	CountTokens bool
	// DefaultTokens is the number of tokens that a request without a token count
	// consumes.
	DefaultTokens float64
	// AllowedRegions is as in Route. If both have a list, both bind.
	AllowedRegions []string `json:",omitempty"`
}

// Limits bounds the requests of a caller.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
