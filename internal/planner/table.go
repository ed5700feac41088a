package planner

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// History is a published list whose entries have unique keys, with the versions at
// which they last changed. It allows the changes since any version to be sent.
type History[V any] struct {
	// Key returns the key of an entry. Same reports whether two entries are equal
	// in what other nodes act on.
	Key  func(V) string
	Same func(a, b V) bool
	// Entries are sorted by key.
	Entries []V
	// Added, Changed and Removed hold, by key, the version at which an entry was
	// added, last changed or left the list. An entry for which Renewed is true counts
	// as added.
	Added, Changed, Removed map[string]uint64
	Renewed                 func(old, current V) bool
}

// newHistory returns an empty history.
func newHistory[V any](key func(V) string, same func(a, b V) bool) History[V] {
	return History[V]{Key: key, Same: same, Added: map[string]uint64{}, Changed: map[string]uint64{}, Removed: map[string]uint64{}}
}

// publish replaces the entries, records the version for each change, and reports
// whether there is one.
func (h *History[V]) publish(version uint64, entries []V) bool {
	before := make(map[string]V, len(h.Entries))
	for _, entry := range h.Entries {
		before[h.Key(entry)] = entry
	}
	changed := false
	for _, entry := range entries {
		key := h.Key(entry)
		if old, ok := before[key]; !ok || !h.Same(old, entry) {
			h.Changed[key], changed = version, true
			delete(h.Removed, key)
			if !ok || h.Renewed != nil && h.Renewed(old, entry) {
				h.Added[key] = version
			}
		}
		delete(before, key)
	}
	for key := range before {
		h.Removed[key], changed = version, true
		delete(h.Changed, key)
		delete(h.Added, key)
	}
	h.Entries = entries
	return changed
}

// since returns the entries that changed, and the sorted keys of those that were
// removed, after a version.
func (h *History[V]) since(version uint64) (changed []V, removed []string) {
	for _, entry := range h.Entries {
		if h.Changed[h.Key(entry)] > version {
			changed = append(changed, entry)
		}
	}
	for key, at := range h.Removed {
		if at > version {
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// table returns all replicas with the models to which requests may be sent.
func (c *Controller) table(now time.Time) []surveyor.Replica {
	table := make([]surveyor.Replica, 0, len(c.Replicas))
	for _, replica := range c.Replicas {
		replica.InMemory, replica.OnDisk, replica.Heartbeat, replica.Evacuated = nil, nil, 0, false
		replica.ColdFor = max(0, replica.ColdFor-now.Sub(c.ReplicasAsOf))
		replica.ColdKnown = replica.ColdKnown || c.isKnownWarm(now, replica)
		replica.Leaving = replica.Leaving || c.hasAnnouncedLeaving(replica)
		if endpoint := c.Tenure.Endpoints[replica.ID]; endpoint != nil && endpoint.Synced {
			replica.Models, replica.Pending = endpoint.publishedModels(), endpoint.pendingLoads(now)
		}
		table = append(table, replica)
	}
	slices.SortFunc(table, func(a, b surveyor.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return table
}

// renewedReplica reports whether two entries differ in what a ReplicaUpdate does not
// contain.
func renewedReplica(a, b surveyor.Replica) bool {
	return a.StartedMS != b.StartedMS || a.Address != b.Address || a.Service != b.Service || a.DataCentre != b.DataCentre || a.Slots != b.Slots || a.Version != b.Version
}

// sameReplica reports whether two entries are equal in the fields that nodes act
// on. The remaining times of a load and of a cold replica are left out, because they are
// estimated once and then counted down by the nodes.
func sameReplica(a, b surveyor.Replica) bool {
	return !renewedReplica(a, b) && a.Leaving == b.Leaving && a.Unlisted == b.Unlisted &&
		a.ColdKnown == b.ColdKnown && (a.ColdFor > 0) == (b.ColdFor > 0) &&
		slices.EqualFunc(a.Models, b.Models, func(a, b surveyor.LoadedModel) bool {
			return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters)
		}) &&
		slices.EqualFunc(a.Pending, b.Pending, func(a, b surveyor.PendingLoad) bool {
			return a.Model == b.Model && a.Adapter == b.Adapter
		})
}

// publishedModels returns the models and adapters for which requests may be sent
// to the endpoint, sorted by name.
func (e *Endpoint) publishedModels() []surveyor.LoadedModel {
	var models []surveyor.LoadedModel
	for name, resident := range e.Models {
		if e.unloading(name) {
			continue
		}
		loaded := surveyor.LoadedModel{Name: name}
		for adapter := range resident.Adapters {
			if !e.hasOrder(Order{Model: name, Adapter: adapter}) {
				loaded.Adapters = append(loaded.Adapters, adapter)
			}
		}
		slices.Sort(loaded.Adapters)
		models = append(models, loaded)
	}
	slices.SortFunc(models, func(a, b surveyor.LoadedModel) int { return cmp.Compare(a.Name, b.Name) })
	return models
}

// pendingLoads returns the load that is in progress, if any.
func (e *Endpoint) pendingLoads(now time.Time) []surveyor.PendingLoad {
	if e.Running == nil || !e.Running.Load {
		return nil
	}
	return []surveyor.PendingLoad{{
		Model:     e.Running.Model,
		Adapter:   e.Running.Adapter,
		Remaining: max(0, e.Running.EndsAt.Sub(now)),
		EndKnown:  e.Running.Adapter != "" || e.Running.Tier != FromStore,
	}}
}
