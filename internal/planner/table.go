package planner

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// table returns the published table of all replicas.
func (c *Controller) table(now time.Time) []surveyor.Replica {
	t := c.Tenure
	if !t.TableStale && t.Table != nil {
		return t.Table
	}
	table := make([]surveyor.Replica, 0, len(c.Replicas))
	for _, replica := range c.Replicas {
		replica.InMemory, replica.OnDisk = nil, nil
		if endpoint := t.Endpoints[replica.ID]; endpoint != nil && endpoint.Synced {
			replica.Models, replica.Pending = endpoint.publishedModels(), endpoint.pendingLoads(now)
		}
		table = append(table, replica)
	}
	slices.SortFunc(table, func(a, b surveyor.Replica) int { return cmp.Compare(a.ID, b.ID) })
	t.publish(table)
	return table
}

// publish replaces the table and records the version of each change.
func (t *Tenure) publish(table []surveyor.Replica) {
	before := make(map[string]surveyor.Replica, len(t.Table))
	for _, replica := range t.Table {
		before[replica.ID] = replica
	}
	next := t.Version + 1
	for _, replica := range table {
		if old, ok := before[replica.ID]; !ok || !sameReplica(old, replica) {
			t.Version, t.Changed[replica.ID] = next, next
			delete(t.Removed, replica.ID)
		}
		delete(before, replica.ID)
	}
	for id := range before {
		t.Version, t.Removed[id] = next, next
		delete(t.Changed, id)
	}
	t.Table, t.TableStale = table, false
}

// changesSince returns the replicas that changed, and the IDs of those that were
// removed, after a version of the table.
func (t *Tenure) changesSince(version uint64) (changed []surveyor.Replica, removed []string) {
	for _, replica := range t.Table {
		if t.Changed[replica.ID] > version {
			changed = append(changed, replica)
		}
	}
	for id, at := range t.Removed {
		if at > version {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// sameReplica reports whether two entries are equal in the fields that nodes act
// on. The remaining time of a load is left out, because it is estimated once and
// then counted down by the nodes.
func sameReplica(a, b surveyor.Replica) bool {
	return a.StartedMS == b.StartedMS && a.Address == b.Address && a.Leaving == b.Leaving &&
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
