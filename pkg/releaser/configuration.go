package releaser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Model is one version of a model that the fleet serves.
type Model struct {
	Name    string
	Version string
	// MemoryMB is the memory that a loaded replica takes, in MiB.
	MemoryMB int
	// Replicas is the largest number of replicas that may be loaded or
	// loading at a time, fleet-wide.
	Replicas int
	// Open allows requests without a key.
	Open bool
}

// Adapter is one version of an adapter of a model.
type Adapter struct {
	Name    string
	Version string
	// Model and ModelVersion name the model that the adapter extends.
	Model        string
	ModelVersion string
	// MemoryMB is the memory that the adapter takes beside its model, in MiB.
	MemoryMB int
}

// Route is a method and a path prefix that a plain service accepts.
type Route struct {
	// Method is an HTTP method in upper case.
	Method string
	// Path is a path prefix that starts with a slash and matches whole segments.
	Path string
	// Idempotent allows a call to be sent again after an uncertain outcome.
	Idempotent bool
	// Open allows calls without a key.
	Open bool
}

// Service is a plain service that the system routes to.
type Service struct {
	Name   string
	Routes []Route
}

// Workspace is a customer with its own limits.
type Workspace struct {
	Name string
	// Rate is the number of tokens per second at which the burst is refilled.
	Rate float64
	// Burst is the largest number of tokens that can be used at once.
	Burst float64
	// Weight is the workspace's share of a contended endpoint relative to
	// other workspaces; 0 means 1.
	Weight float64
}

// Grant allows the holder of a key to act for a workspace.
type Grant struct {
	// ID identifies the grant; a key that is granted again gets a new one.
	ID        string
	Workspace string
	// Digest is the SHA-256 digest of the key in lower-case hexadecimal. The
	// key itself is not stored.
	Digest string
}

// Configuration is everything that operators have configured, as of one version.
// Values are immutable: Apply returns a new one.
type Configuration struct {
	// Version is the version of the last change. It never decreases.
	Version uint64
	// NoteVersion is the version of the last release note.
	NoteVersion uint64
	// Models and Adapters are keyed by Key.
	Models   map[string]Model
	Adapters map[string]Adapter
	// Newest maps a bare name of a model or adapter to the key of its newest
	// version in force.
	Newest     map[string]string
	Services   map[string]Service
	Workspaces map[string]Workspace
	// Grants is keyed by digest.
	Grants map[string]Grant
}

// Key returns the key of a model or adapter, "name@version".
func Key(name, version string) string {
	return name + "@" + version
}

// SplitKey is the inverse of Key.
func SplitKey(key string) (name, version string) {
	name, version, _ = strings.Cut(key, "@")
	return name, version
}

// Target is the model, and the adapter if there is one, to which the model name
// in a request resolves.
type Target struct {
	Model Model
	// Adapter is nil for a plain model.
	Adapter *Adapter
}

// Resolve returns the model or adapter with a name, which is a bare name or
// "name@version". For an adapter it returns its model too. It returns ErrUnknown
// if the name or the adapter's model is not in force.
func (c *Configuration) Resolve(name string) (Target, error) {
	key := name
	if !strings.Contains(name, "@") {
		key = c.Newest[name]
	}
	if model, ok := c.Models[key]; ok {
		return Target{Model: model}, nil
	}
	adapter, ok := c.Adapters[key]
	if !ok {
		return Target{}, wrapf(ErrUnknown, "model %q", name)
	}
	model, ok := c.Models[Key(adapter.Model, adapter.ModelVersion)]
	if !ok {
		return Target{}, wrapf(ErrUnknown, "model %q of adapter %q", adapter.Model, name)
	}
	return Target{Model: model, Adapter: &adapter}, nil
}

// Route returns the route of a service with the longest prefix that matches a
// call. It returns ErrUnknown if the service is not in force or has no matching
// route.
func (c *Configuration) Route(service, method, path string) (Route, error) {
	entry, ok := c.Services[service]
	if !ok {
		return Route{}, wrapf(ErrUnknown, "service %q", service)
	}
	best, found := Route{}, false
	for _, route := range entry.Routes {
		if route.Method != method || !matchesPrefix(route.Path, path) {
			continue
		}
		if !found || len(route.Path) > len(best.Path) {
			best, found = route, true
		}
	}
	if !found {
		return Route{}, wrapf(ErrUnknown, "route %s %s of service %q", method, path, service)
	}
	return best, nil
}

func matchesPrefix(prefix, path string) bool {
	if prefix == "/" || prefix == path {
		return true
	}
	return strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}

// String returns a short description for logs.
func (c *Configuration) String() string {
	return fmt.Sprintf("version %d (note %d): %d models, %d adapters, %d services, %d workspaces, %d grants",
		c.Version, c.NoteVersion, len(c.Models), len(c.Adapters), len(c.Services), len(c.Workspaces), len(c.Grants))
}

// Names returns the names that callers can use for models and adapters, with and
// without versions, in ascending order.
func Names(c *Configuration) []string {
	names := map[string]bool{}
	for key := range c.Models {
		names[key] = true
	}
	for key := range c.Adapters {
		names[key] = true
	}
	for name := range c.Newest {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}
