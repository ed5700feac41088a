package resolver

import "time"

// Kind says what may be repeated on a route.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by events. They run at most once unless
	// the route is resumable.
	Streaming Kind = "streaming"
)

// Configuration is one version of the desired state. It is never changed after
// it was published.
type Configuration struct {
	// Version grows with every change, in uneven steps.
	Version uint64
	// Revision is the store's revision of the object that holds it.
	Revision uint64
	Routes   []Route
	Services map[string]Service
	// Workspaces holds the workspaces by name, and Keys the name of the
	// workspace by the hexadecimal SHA-256 digest of the key.
	Workspaces map[string]Workspace
	Keys       map[string]string
	Limits     Limits
}

// Route forwards the requests of a host whose path begins with a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency objective: the time to the whole answer, or to
	// the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that is
	// in time.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Targets are the services of the route; their weights share the requests.
	Targets []Target
	// MaxAttempts is the number of replicas that may run one request.
	MaxAttempts int
	// Open routes need no key.
	Public    bool
	Sticky    bool
	Resumable bool
}

// Repeatable says whether a request of the route may run a second time.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of replicas that answer the same requests.
type Service struct {
	Name           string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the replicas of a service that runs models.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVTokens is the memory for running requests and cached prompts.
	KVTokens int
	// MemoryMB holds the weights of models and adapters.
	MemoryMB     float64
	AdapterSlots int
	// HostMB and DiskMB hold copies of weights for fast loads.
	HostMB, DiskMB float64
	// LoadsPerSecond is the rate of loads from the weight store, over all
	// replicas of the service.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a model that an engine may be ordered to load.
type Model struct {
	Name     string
	MemoryMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the times of a load from the
	// weight store, from the replica's disk and from its host memory.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	Adapters                                    int
	AdapterMB                                   float64
}

// Workspace is a customer with its limit.
type Workspace struct {
	Name string
	// Priority replaces the route's priority unless it is nil.
	Priority *int
	// Rate is in units per second and Burst in units; a Rate of 0 means no
	// limit. The unit is a token if CountTokens is set, otherwise a request.
	Rate, Burst float64
	CountTokens bool
	// PlainTokens is what a request without a token count takes.
	DefaultTokens float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
