package scheduler

import (
	"container/list"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// backlog is the waiting requests of one workspace and class. It decides what
// is shed: the newest request of the workspace with the longest backlog for
// its weight, so that a workspace above its share does not crowd out others.
type backlog struct {
	key    backlogKey
	weight float64
	calls  list.List // of *Waiting, by arrival
	index  int
}

type backlogKey struct {
	class     filter.Class
	workspace string
}

func (b *backlog) load() float64 { return float64(b.calls.Len()) / b.weight }

func (b *backlog) before(other *backlog) bool {
	if b.load() != other.load() {
		return b.load() > other.load()
	}
	return b.key.workspace < other.key.workspace
}

func (b *backlog) place(index int) { b.index = index }

// backlogs holds the backlogs of a node, the heaviest of each class on top.
type backlogs struct {
	byKey   map[backlogKey]*backlog
	byClass map[filter.Class]*heap[*backlog]
}

func newBacklogs() backlogs {
	return backlogs{byKey: map[backlogKey]*backlog{}, byClass: map[filter.Class]*heap[*backlog]{
		filter.Deferred: {}, filter.Interactive: {}, filter.Assured: {},
	}}
}

func (b backlogs) add(w *Waiting) {
	key := backlogKey{w.Admission.Class, w.Admission.Workspace}
	entry, ok := b.byKey[key]
	if !ok {
		entry = &backlog{key: key, weight: w.Admission.Weight}
		b.byKey[key] = entry
		b.byClass[key.class].push(entry)
	}
	w.backlog = entry
	w.inBacklog = entry.calls.PushBack(w)
	b.byClass[key.class].fix(entry.index)
}

func (b backlogs) remove(w *Waiting) {
	entry := w.backlog
	entry.calls.Remove(w.inBacklog)
	heap := b.byClass[entry.key.class]
	if entry.calls.Len() > 0 {
		heap.fix(entry.index)
		return
	}
	heap.remove(entry.index)
	delete(b.byKey, entry.key)
}

// sheddingOrder lists the classes from the first to be shed to the last.
var sheddingOrder = []filter.Class{filter.Deferred, filter.Interactive, filter.Assured}

// victim returns the waiting request that makes room for a new one, or nil if
// the new one is to be refused.
func (b backlogs) victim(admission filter.Admission) *Waiting {
	for _, class := range sheddingOrder {
		heaviest := b.byClass[class]
		if class == admission.Class {
			return b.heavier(heaviest, admission)
		}
		if len(*heaviest) > 0 {
			return (*heaviest)[0].calls.Back().Value.(*Waiting)
		}
	}
	return nil
}

func (b backlogs) heavier(heaviest *heap[*backlog], admission filter.Admission) *Waiting {
	own := 1.0
	if entry, ok := b.byKey[backlogKey{admission.Class, admission.Workspace}]; ok {
		own += float64(entry.calls.Len())
	}
	if len(*heaviest) == 0 || (*heaviest)[0].load() <= own/admission.Weight {
		return nil
	}
	return (*heaviest)[0].calls.Back().Value.(*Waiting)
}
