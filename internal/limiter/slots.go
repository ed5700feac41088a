package limiter

import (
	"slices"
	"time"
)

// tableRetry is the pause after a failed call of the object API.
const tableRetry = time.Second

// SlotTable says which nodes have standing shares. A share is announced to its
// node only when the object API holds it and the owner's own bucket, made
// smaller at the assignment, has no grants of the larger one left.
type SlotTable struct {
	// Loaded says that the table of earlier epochs is known. Until then every
	// share counts as taken.
	Loaded bool
	// Revision grows with every change.
	Revision uint64
	// Stored is the latest revision that the object API is known to hold.
	Stored uint64
	// Version is that of the object, if VersionKnown.
	Version      uint64
	VersionKnown bool
	// Busy says that the table is being read or written.
	Busy bool
	// RetryAt is when a failed call is repeated; zero if none has to be.
	RetryAt time.Time
	Slots   []Slot
	// Listed says that an instance list has been seen.
	Listed bool
	// Instances are the names in the latest instance list, sorted.
	Instances []string
}

// Slot is one standing share.
type Slot struct {
	// Node is empty if the owner keeps the share.
	Node string
	// Revision is that of the assignment, 0 if it was made in an earlier epoch.
	Revision uint64
	// Ready is when the share may be announced.
	Ready time.Time
	// Missing is when the node was first seen to be gone from the instance
	// list; zero if it is there.
	Missing time.Time
}

// newSlotTable returns the table of a new epoch at a node.
func newSlotTable(count int, last SlotTable) SlotTable {
	return SlotTable{Revision: 1, Slots: make([]Slot, count), Listed: last.Listed, Instances: last.Instances}
}

// load takes over the table of an earlier owner. Its shares are announced
// after a grant lifetime, when no grant of that owner is left.
func (t *SlotTable) load(now time.Time, nodes []string) {
	t.Loaded = true
	for i, node := range nodes {
		if i < len(t.Slots) && node != "" {
			t.Slots[i] = Slot{Node: node, Ready: now.Add(GrantLifetime)}
		}
	}
	t.note(now)
}

// next returns the next call of the object API, if one is needed and none is
// under way. The first write of an epoch fences those of earlier owners.
func (t *SlotTable) next(epoch uint64) []OwnerEffect {
	switch {
	case t.Busy || !t.RetryAt.IsZero():
		return nil
	case !t.VersionKnown:
		t.Busy = true
		return []OwnerEffect{ReadTable{Epoch: epoch}}
	case t.Loaded && t.Stored < t.Revision:
		t.Busy = true
		return []OwnerEffect{WriteTable{Epoch: epoch, Revision: t.Revision, IfVersion: t.Version, Nodes: t.nodes()}}
	}
	return nil
}

func (t *SlotTable) read(version uint64) {
	t.Busy, t.Version, t.VersionKnown = false, version, true
}

func (t *SlotTable) written(message TableWritten) {
	t.read(message.Version)
	t.Stored = max(t.Stored, message.Revision)
}

// failed plans another reading: the version is not known after a conflict or a
// lost reply.
func (t *SlotTable) failed(now time.Time) {
	t.Busy, t.VersionKnown = false, false
	t.RetryAt = now.Add(tableRetry)
}

func (t *SlotTable) nodes() []string {
	nodes := make([]string, len(t.Slots))
	for i, slot := range t.Slots {
		nodes[i] = slot.Node
	}
	return nodes
}

// stored returns the table without assignments that may not be stored.
func (t *SlotTable) stored() []string {
	nodes := t.nodes()
	for i, slot := range t.Slots {
		if slot.Revision > t.Stored {
			nodes[i] = ""
		}
	}
	return nodes
}

// taken returns the number of shares that the owner must not use itself.
func (t *SlotTable) taken() int {
	if !t.Loaded {
		return len(t.Slots)
	}
	count := 0
	for _, slot := range t.Slots {
		if slot.Node != "" {
			count++
		}
	}
	return count
}

// standing returns what to tell a node. Shares of revision 0 were taken over
// from an earlier owner, which may have announced them.
func (t *SlotTable) standing(now time.Time, node string) Standing {
	if !t.Loaded {
		return StandingKept
	}
	for _, slot := range t.Slots {
		switch {
		case slot.Node != node:
		case slot.Revision <= t.Stored && !now.Before(slot.Ready):
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
	if !t.Loaded {
		return false
	}
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
	t.Slots[free] = Slot{Node: node, Revision: t.Revision, Ready: now.Add(GrantLifetime)}
	return true
}

// listed notes which instances exist.
func (t *SlotTable) listed(now time.Time, names []string) {
	t.Listed = true
	t.Instances = slices.Sorted(slices.Values(names))
	t.note(now)
}

func (t *SlotTable) note(now time.Time) {
	for i := range t.Slots {
		slot := &t.Slots[i]
		_, present := slices.BinarySearch(t.Instances, slot.Node)
		switch {
		case !t.Listed || present:
			slot.Missing = time.Time{}
		case slot.Node != "" && slot.Missing.IsZero():
			slot.Missing = now
		}
	}
}

// free takes back the shares of nodes that have been gone from the instance
// list for a grant lifetime, and says whether there were any.
func (t *SlotTable) free(now time.Time) bool {
	freed := false
	for i, slot := range t.Slots {
		if !slot.Missing.IsZero() && now.Sub(slot.Missing) >= GrantLifetime {
			t.Slots[i] = Slot{}
			t.Revision++
			freed = true
		}
	}
	return freed
}
