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
	if !t.Stale && t.Table != nil {
		return t.Table
	}
	table := make([]surveyor.Replica, 0, len(c.Replicas))
	for _, replica := range c.Replicas {
		replica.InMemory, replica.OnDisk = nil, nil
		if endpoint := t.Endpoints[replica.ID]; endpoint != nil && endpoint.Known {
			replica.Models, replica.Pending = endpoint.models(), endpoint.pending(now)
		}
		table = append(table, replica)
	}
	slices.SortFunc(table, func(a, b surveyor.Replica) int { return cmp.Compare(a.ID, b.ID) })
	t.publish(table)
	return table
}

// publish replaces the table and records what changed.
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
	t.Table, t.Stale = table, false
}

// since returns what changed in the table after a version.
func (t *Tenure) since(version uint64) (changed []surveyor.Replica, gone []string) {
	for _, replica := range t.Table {
		if t.Changed[replica.ID] > version {
			changed = append(changed, replica)
		}
	}
	for id, at := range t.Removed {
		if at > version {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return changed, gone
}

// sameReplica compares what nodes act on; the time left of a load is estimated
// once and counts down at the nodes.
func sameReplica(a, b surveyor.Replica) bool {
	return a.StartedMS == b.StartedMS && a.Address == b.Address && a.Leaving == b.Leaving &&
		slices.EqualFunc(a.Models, b.Models, func(a, b surveyor.LoadedModel) bool {
			return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters)
		}) &&
		slices.EqualFunc(a.Pending, b.Pending, func(a, b surveyor.PendingLoad) bool {
			return a.Model == b.Model && a.Adapter == b.Adapter
		})
}

// models returns what requests may be sent for.
func (e *Endpoint) models() []surveyor.LoadedModel {
	var models []surveyor.LoadedModel
	for name, resident := range e.Models {
		if e.unloading(name) {
			continue
		}
		loaded := surveyor.LoadedModel{Name: name}
		for adapter := range resident.Adapters {
			if !e.planned(Order{Model: name, Adapter: adapter}) {
				loaded.Adapters = append(loaded.Adapters, adapter)
			}
		}
		slices.Sort(loaded.Adapters)
		models = append(models, loaded)
	}
	slices.SortFunc(models, func(a, b surveyor.LoadedModel) int { return cmp.Compare(a.Name, b.Name) })
	return models
}

// pending returns the load that is being carried out.
func (e *Endpoint) pending(now time.Time) []surveyor.PendingLoad {
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
