package queuer

import "container/list"

// Backlogs determine which waiting request is shed under overload: the newest one of
// the workspace with the longest backlog, relative to its weight, in the least urgent
// rank. A workspace above its share does not crowd out others.
type Backlogs[T any] struct {
	byKey map[backlogKey]*backlog[T]
	// byRank holds the backlogs of a rank, the longest first. lowest is at least the
	// number of the least urgent rank with a backlog.
	byRank map[int]*Heap[*backlog[T]]
	lowest int
}

// BacklogEntry is the position of a request in Backlogs.
type BacklogEntry[T any] struct {
	backlog *backlog[T]
	element *list.Element
}

type backlog[T any] struct {
	key      backlogKey
	weight   float64
	requests list.List // of T, by arrival
	index    int
}

type backlogKey struct {
	rank      int
	workspace string
}

func (b *backlog[T]) weightedLength() float64 { return float64(b.requests.Len()) / b.weight }

// Before implements Item.
func (b *backlog[T]) Before(other *backlog[T]) bool {
	if b.weightedLength() != other.weightedLength() {
		return b.weightedLength() > other.weightedLength()
	}
	return b.key.workspace < other.key.workspace
}

// SetIndex implements Item.
func (b *backlog[T]) SetIndex(index int) { b.index = index }

// NewBacklogs returns empty backlogs.
func NewBacklogs[T any]() *Backlogs[T] {
	return &Backlogs[T]{byKey: map[backlogKey]*backlog[T]{}, byRank: map[int]*Heap[*backlog[T]]{}}
}

// Add adds a waiting request.
func (b *Backlogs[T]) Add(value T, rank int, workspace string, weight float64) BacklogEntry[T] {
	key := backlogKey{rank, workspace}
	if b.byRank[rank] == nil {
		b.byRank[rank] = &Heap[*backlog[T]]{}
	}
	entry, ok := b.byKey[key]
	if !ok {
		entry = &backlog[T]{key: key, weight: weight}
		b.byKey[key] = entry
		b.byRank[rank].Push(entry)
	}
	b.lowest = max(b.lowest, rank)
	element := entry.requests.PushBack(value)
	b.byRank[rank].Fix(entry.index)
	return BacklogEntry[T]{entry, element}
}

// Remove removes a request.
func (b *Backlogs[T]) Remove(entry BacklogEntry[T]) {
	backlog := entry.backlog
	backlog.requests.Remove(entry.element)
	longestFirst := b.byRank[backlog.key.rank]
	if backlog.requests.Len() > 0 {
		longestFirst.Fix(backlog.index)
		return
	}
	longestFirst.Remove(backlog.index)
	delete(b.byKey, backlog.key)
}

// Victim returns the waiting request to shed in favour of a new one, or false if the new
// request must be refused.
func (b *Backlogs[T]) Victim(rank int, workspace string, weight float64) (T, bool) {
	for number := b.lowest; number >= rank; number-- {
		longestFirst := b.byRank[number]
		if longestFirst == nil || len(*longestFirst) == 0 {
			continue
		}
		longest := (*longestFirst)[0]
		if number == rank && longest.weightedLength() <= b.lengthWithNew(rank, workspace, weight) {
			break
		}
		return longest.requests.Back().Value.(T), true
	}
	var none T
	return none, false
}

// lengthWithNew returns the weighted length of a workspace's backlog with one more
// request.
func (b *Backlogs[T]) lengthWithNew(rank int, workspace string, weight float64) float64 {
	length := 1.0
	if entry, ok := b.byKey[backlogKey{rank, workspace}]; ok {
		length += float64(entry.requests.Len())
	}
	return length / weight
}

// Len returns the number of backlogs, one for each rank and workspace with a waiting
// request.
func (b *Backlogs[T]) Len() int { return len(b.byKey) }
