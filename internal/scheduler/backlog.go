package scheduler

import (
	"container/list"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// backlog holds the waiting requests of one workspace and class. It determines
// which request is shed under overload: the newest request of the workspace
// with the longest backlog relative to its weight, so that a workspace above
// its share does not crowd out others.
type backlog struct {
	key      backlogKey
	weight   float64
	requests list.List // of *WaitingRequest, by arrival
	index    int
}

type backlogKey struct {
	class     filter.Class
	workspace string
}

func (b *backlog) weightedLength() float64 { return float64(b.requests.Len()) / b.weight }

func (b *backlog) before(other *backlog) bool {
	if b.weightedLength() != other.weightedLength() {
		return b.weightedLength() > other.weightedLength()
	}
	return b.key.workspace < other.key.workspace
}

func (b *backlog) setIndex(index int) { b.index = index }

// backlogs holds the backlogs of a node, with the longest weighted backlog of
// each class at the top of its heap.
type backlogs struct {
	byKey   map[backlogKey]*backlog
	byClass map[filter.Class]*heap[*backlog]
}

func newBacklogs() backlogs {
	return backlogs{byKey: map[backlogKey]*backlog{}, byClass: map[filter.Class]*heap[*backlog]{
		filter.Deferred: {}, filter.Interactive: {}, filter.Assured: {},
	}}
}

func (b backlogs) add(w *WaitingRequest) {
	key := backlogKey{w.Admission.Class, w.Admission.Workspace}
	entry, ok := b.byKey[key]
	if !ok {
		entry = &backlog{key: key, weight: w.Admission.Weight}
		b.byKey[key] = entry
		b.byClass[key.class].push(entry)
	}
	w.backlog = entry
	w.backlogElement = entry.requests.PushBack(w)
	b.byClass[key.class].fix(entry.index)
}

func (b backlogs) remove(w *WaitingRequest) {
	entry := w.backlog
	entry.requests.Remove(w.backlogElement)
	heap := b.byClass[entry.key.class]
	if entry.requests.Len() > 0 {
		heap.fix(entry.index)
		return
	}
	heap.remove(entry.index)
	delete(b.byKey, entry.key)
}

// sheddingOrder lists the classes in the order in which they are shed.
var sheddingOrder = []filter.Class{filter.Deferred, filter.Interactive, filter.Assured}

// victim returns the waiting request to shed in favour of a new one, or nil if
// the new request must be refused.
func (b backlogs) victim(admission filter.Admission) *WaitingRequest {
	for _, class := range sheddingOrder {
		longestFirst := b.byClass[class]
		if class == admission.Class {
			return b.victimInClass(longestFirst, admission)
		}
		if len(*longestFirst) > 0 {
			return (*longestFirst)[0].requests.Back().Value.(*WaitingRequest)
		}
	}
	return nil
}

func (b backlogs) victimInClass(longestFirst *heap[*backlog], admission filter.Admission) *WaitingRequest {
	ownLength := 1.0
	if entry, ok := b.byKey[backlogKey{admission.Class, admission.Workspace}]; ok {
		ownLength += float64(entry.requests.Len())
	}
	if len(*longestFirst) == 0 || (*longestFirst)[0].weightedLength() <= ownLength/admission.Weight {
		return nil
	}
	return (*longestFirst)[0].requests.Back().Value.(*WaitingRequest)
}
