package placer

import (
	"slices"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Placement is the decided state of a region, kept in the object
// Placement/<region>.
type Placement struct {
	// Epoch is the lease epoch of the holder that wrote it.
	Epoch uint64
	// ListVersion is the newest version of the instance list that a holder
	// used. Absence of an endpoint from an older list does not mean that the
	// endpoint is gone.
	ListVersion uint64
	// Configuration is the newest configuration version that a holder used.
	Configuration uint64
	// Endpoints is keyed by instance name.
	Endpoints map[string]EndpointPlacement
}

// EndpointPlacement is the decided state of one endpoint.
type EndpointPlacement struct {
	MemoryMB int
	// Entries are sorted by Key.
	Entries []Entry
}

// Key identifies a model, or an adapter together with its model, in the form
// "name@version". Adapter is empty for the model itself.
type Key struct {
	Model   string
	Adapter string
}

// Entry reserves memory at an endpoint for a model or adapter, whatever its
// state.
type Entry struct {
	Key
	MemoryMB int
	// Tier is the source of the checkpoint when the load was decided.
	Tier tracker.Tier
	// Fence is the fence of the latest order for the entry.
	Fence uint64
	// State is Loading, Loaded or Unloading.
	State tracker.State
	// Since is when the state was decided, on the holder's clock. It is only
	// for operators.
	Since time.Time
}

func compareKeys(a, b Key) int {
	if order := strings.Compare(a.Model, b.Model); order != 0 {
		return order
	}
	return strings.Compare(a.Adapter, b.Adapter)
}

func searchEntries(entries []Entry, key Key) (int, bool) {
	return slices.BinarySearchFunc(entries, key, func(e Entry, key Key) int {
		return compareKeys(e.Key, key)
	})
}

// Find returns the entry for a key.
func (e EndpointPlacement) Find(key Key) (Entry, bool) {
	i, ok := searchEntries(e.Entries, key)
	if !ok {
		return Entry{}, false
	}
	return e.Entries[i], true
}

// ReservedMB returns the memory reserved by all entries.
func (e EndpointPlacement) ReservedMB() int {
	sum := 0
	for _, entry := range e.Entries {
		sum += entry.MemoryMB
	}
	return sum
}

// Replicas counts the entries of each model, whatever their state.
func (p Placement) Replicas() map[string]int {
	count := map[string]int{}
	for _, endpoint := range p.Endpoints {
		for _, entry := range endpoint.Entries {
			if entry.Adapter == "" {
				count[entry.Model]++
			}
		}
	}
	return count
}

// Fence combines a lease epoch and a sequence number, so that orders of a
// later holder always have higher fences.
func Fence(epoch uint64, sequence uint32) uint64 {
	return epoch<<32 | uint64(sequence)
}
