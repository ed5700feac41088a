package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// InstanceRegister is an instance list whose changes show late.
type InstanceRegistry struct {
	// Version grows with every change that shows.
	Version uint64
	// Visible holds the instances that readers see.
	Visible map[string]tracker.Instance
	// Pending holds the changes that do not show yet, in order.
	Pending []ListChange
}

// ListChange is a change of the instance list.
type ListChange struct {
	Due      time.Time
	Remove   bool
	Instance tracker.Instance
}

// Set adds or replaces an instance at the time due.
func (r *InstanceRegistry) Set(due time.Time, instance tracker.Instance) {
	r.enqueue(ListChange{Due: due, Instance: instance})
}

// Remove removes an instance at the time due.
func (r *InstanceRegistry) Remove(due time.Time, name string) {
	r.enqueue(ListChange{Due: due, Remove: true, Instance: tracker.Instance{Name: name}})
}

// enqueue keeps the order of changes also when the lag has become shorter.
func (r *InstanceRegistry) enqueue(change ListChange) {
	if len(r.Pending) > 0 {
		if last := r.Pending[len(r.Pending)-1].Due; change.Due.Before(last) {
			change.Due = last
		}
	}
	r.Pending = append(r.Pending, change)
}

// Wake returns when the next change shows.
func (r *InstanceRegistry) Wake() time.Time {
	if len(r.Pending) == 0 {
		return time.Time{}
	}
	return r.Pending[0].Due
}

// Advance shows the changes that are due.
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
