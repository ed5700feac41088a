package limiter

import (
	"slices"
	"time"
)

// SlotTable assigns standing shares to nodes. A share is announced to its node
// only when the lease object contains the assignment and no grants are left from
// the owner's bucket as it was before the assignment made it smaller.
type SlotTable struct {
	// Revision increases with every change.
	Revision uint64
	// Stored is the latest revision that the lease object is known to contain.
	Stored uint64
	Slots  []Slot
	// Listed reports that an instance list has been received.
	Listed bool
	// Instances contains the names in the latest instance list, sorted.
	Instances []string
}

// Slot is one standing share.
type Slot struct {
	// Node is empty if the owner keeps the share.
	Node string
	// Revision is the revision of the table that made the assignment; 0 if it
	// was taken over from an earlier owner.
	Revision uint64
	// ReadyAt is the time from which the share may be announced.
	ReadyAt time.Time
	// MissingSince is the time at which the node was first missing from the
	// instance list; zero if it is listed.
	MissingSince time.Time
}

// newSlotTable returns a table with the assignments of an earlier owner. They are
// already stored, and are announced after a grant lifetime, when no grant of an
// earlier owner is left.
func newSlotTable(now time.Time, count int, names []string, last SlotTable) SlotTable {
	table := SlotTable{Revision: 1, Slots: make([]Slot, count), Listed: last.Listed, Instances: last.Instances}
	for i, name := range names {
		if i < count && name != "" {
			table.Slots[i] = Slot{Node: name, ReadyAt: now.Add(GrantLifetime)}
		}
	}
	table.updateMissing(now)
	return table
}

func (t *SlotTable) names() []string {
	names := make([]string, len(t.Slots))
	for i, slot := range t.Slots {
		names[i] = slot.Node
	}
	return names
}

// takenCount returns the number of shares that are assigned to nodes. The owner
// must not use them.
func (t *SlotTable) takenCount() int {
	count := 0
	for _, slot := range t.Slots {
		if slot.Node != "" {
			count++
		}
	}
	return count
}

func (t *SlotTable) markStored(revision uint64) {
	t.Stored = max(t.Stored, min(revision, t.Revision))
}

// standing returns the state of a node's share for an answer to the node. Shares of
// revision 0 were taken over from an earlier owner, which may have announced them.
func (t *SlotTable) standing(now time.Time, node string) Standing {
	for _, slot := range t.Slots {
		switch {
		case slot.Node != node:
		case slot.Revision <= t.Stored && !now.Before(slot.ReadyAt):
			return StandingHeld
		case slot.Revision == 0:
			return StandingKept
		}
	}
	return StandingNone
}

// assign assigns a free share to a node unless it has one or is not in the instance
// list, and reports whether it did.
func (t *SlotTable) assign(now time.Time, node string) bool {
	if t.Listed {
		if _, ok := slices.BinarySearch(t.Instances, node); !ok {
			return false
		}
	}
	free := -1
	for i, slot := range t.Slots {
		if slot.Node == node {
			return false
		}
		if slot.Node == "" && free < 0 {
			free = i
		}
	}
	if free < 0 {
		return false
	}
	t.Revision++
	t.Slots[free] = Slot{Node: node, Revision: t.Revision, ReadyAt: now.Add(GrantLifetime)}
	return true
}

// setInstances replaces the instance list.
func (t *SlotTable) setInstances(now time.Time, names []string) {
	t.Listed = true
	t.Instances = slices.Sorted(slices.Values(names))
	t.updateMissing(now)
}

func (t *SlotTable) updateMissing(now time.Time) {
	for i := range t.Slots {
		slot := &t.Slots[i]
		_, present := slices.BinarySearch(t.Instances, slot.Node)
		switch {
		case !t.Listed || present:
			slot.MissingSince = time.Time{}
		case slot.Node != "" && slot.MissingSince.IsZero():
			slot.MissingSince = now
		}
	}
}

// freeMissing frees the shares of nodes that have been missing from the instance
// list for a grant lifetime, and reports whether there were any.
func (t *SlotTable) freeMissing(now time.Time) bool {
	freed := false
	for i, slot := range t.Slots {
		if !slot.MissingSince.IsZero() && now.Sub(slot.MissingSince) >= GrantLifetime {
			t.Slots[i] = Slot{}
			t.Revision++
			freed = true
		}
	}
	return freed
}
