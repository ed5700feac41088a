package limiter

import (
	"slices"
	"time"
)

// SlotTable says which nodes have standing shares. A share is announced to its
// node only when the lease object holds it and the owner's own bucket, made
// smaller at the assignment, has no grants of the larger one left.
type SlotTable struct {
	// Revision grows with every change.
	Revision uint64
	// Stored is the latest revision that the lease object is known to hold.
	Stored uint64
	Slots  []Slot
	// Listed says that an instance list has been seen.
	Listed bool
	// Instances are the names in the latest instance list, sorted.
	Instances []string
}

// Slot is one standing share.
type Slot struct {
	// Node is empty if the owner keeps the share.
	Node string
	// Revision is that of the assignment.
	Revision uint64
	// Ready is when the share may be announced.
	ReadyAt time.Time
	// Missing is when the node was first seen to be gone from the instance
	// list; zero if it is there.
	MissingSince time.Time
}

// newSlotTable takes over the table of an earlier owner. Its shares are stored
// already, and are announced after a grant lifetime, when no grant of an
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

// taken returns the number of shares that the owner must not use itself.
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

// standing returns what to tell a node. Shares of revision 0 were taken over
// from an earlier owner, which may have announced them.
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

// assign gives a node a free share unless it has one or the instance list does
// not name it, and says whether it did.
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

// listed notes which instances exist.
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

// free takes back the shares of nodes that have been gone from the instance
// list for a grant lifetime, and says whether there were any.
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
