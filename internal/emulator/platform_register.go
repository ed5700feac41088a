package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// InstanceRegistry is an instance list whose changes become visible after a
// delay.
type InstanceRegistry struct {
	// Version increases by 1 with every change that becomes visible.
	Version uint64
	// Visible holds the instances that readers see.
	Visible map[string]tracker.Instance
	// Pending holds the changes that are not visible yet, ordered by due time.
	Pending []ListChange
}

// ListChange is a change of the instance list.
type ListChange struct {
	Due      time.Time
	Remove   bool
	Instance tracker.Instance
}

// Set adds or replaces an instance. The change becomes visible at due.
func (r *InstanceRegistry) Set(due time.Time, instance tracker.Instance) {
	r.enqueue(ListChange{Due: due, Instance: instance})
}

// Remove removes an instance. The removal becomes visible at due.
func (r *InstanceRegistry) Remove(due time.Time, name string) {
	r.enqueue(ListChange{Due: due, Remove: true, Instance: tracker.Instance{Name: name}})
}

// enqueue appends a change. It becomes visible no earlier than the changes
// before it, also if the lag was reduced in between.
func (r *InstanceRegistry) enqueue(change ListChange) {
	if len(r.Pending) > 0 {
		if last := r.Pending[len(r.Pending)-1].Due; change.Due.Before(last) {
			change.Due = last
		}
	}
	r.Pending = append(r.Pending, change)
}

// Wake returns when the next change becomes visible, or the zero time if none is
// pending.
func (r *InstanceRegistry) Wake() time.Time {
	if len(r.Pending) == 0 {
		return time.Time{}
	}
	return r.Pending[0].Due
}

// Advance applies the changes that are due.
func (r *InstanceRegistry) Advance(now time.Time) {
	for len(r.Pending) > 0 && !r.Pending[0].Due.After(now) {
		r.apply(r.Pending[0])
		r.Pending = r.Pending[1:]
	}
}

func (r *InstanceRegistry) apply(change ListChange) {
	r.Version++
	if change.Remove {
		delete(r.Visible, change.Instance.Name)
		return
	}
	r.Visible[change.Instance.Name] = change.Instance
}

// Snapshot returns the visible list, ordered by name.
func (r *InstanceRegistry) Snapshot() tracker.InstanceList {
	instances := slices.SortedFunc(maps.Values(r.Visible), func(a, b tracker.Instance) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return tracker.InstanceList{Version: r.Version, Instances: instances}
}
