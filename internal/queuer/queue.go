package queuer

import (
	"slices"
	"time"
)

// Queue holds waiting requests. The most urgent rank is served first; within a rank,
// the workspaces share the resource by start-time fair queueing with costs in tokens;
// within a workspace, the request that is due first is served first.
type Queue[T any] struct {
	// OldestInterval is the number of dispatches of which one goes to the request that
	// has waited longest while requests of several ranks wait, so that the less urgent
	// ones do not starve. 0 means that none does.
	OldestInterval int
	// Ranks holds the ranks that have been used, by urgency. A rank keeps its finish tags
	// while no request waits.
	Ranks []*Rank[T]
	// Waiting is the number of waiting requests.
	Waiting int

	lastNumber uint64
	// sinceOldest counts the dispatches since the last one that went to the request that
	// had waited longest.
	sinceOldest int
	promotions  Heap[*promotion[T]]
}

// New returns an empty queue.
func New[T any](oldestInterval int) *Queue[T] {
	return &Queue[T]{OldestInterval: oldestInterval}
}

// Push adds a request.
func (q *Queue[T]) Push(value T, attributes Attributes) *Entry[T] {
	q.lastNumber++
	entry := &Entry[T]{Attributes: attributes, Value: value, Number: q.lastNumber}
	q.rank(attributes.Rank).push(entry)
	if !attributes.PromoteAt.IsZero() {
		entry.promotion = &promotion[T]{entry: entry}
		q.promotions.Push(entry.promotion)
	}
	q.Waiting++
	return entry
}

// rank returns the rank with a number and creates it if necessary.
func (q *Queue[T]) rank(number int) *Rank[T] {
	index, found := slices.BinarySearchFunc(q.Ranks, number, func(r *Rank[T], number int) int { return r.Number - number })
	if !found {
		q.Ranks = slices.Insert(q.Ranks, index, &Rank[T]{Number: number, FinishTags: map[string]float64{}, Lanes: map[string]*Lane[T]{}})
	}
	return q.Ranks[index]
}

// Remove removes a request that is not served.
func (q *Queue[T]) Remove(entry *Entry[T]) {
	q.unpromote(entry)
	entry.lane.Rank.remove(entry)
	q.Waiting--
}

// Serve removes a request that is served and charges its workspace.
func (q *Queue[T]) Serve(entry *Entry[T]) {
	rank := entry.lane.Rank
	q.countDispatch(entry)
	rank.charge(entry)
	q.Remove(entry)
	rank.pruneFinishTags()
}

// countDispatch counts a dispatch towards the next one of the request that has waited
// longest.
func (q *Queue[T]) countDispatch(entry *Entry[T]) {
	if q.OldestInterval == 0 || q.Waiting == entry.lane.Rank.Waiting {
		return
	}
	if q.sinceOldest++; q.sinceOldest >= q.OldestInterval {
		q.sinceOldest = 0
	}
}

// Next returns the request to serve next, or nil if there is none. Fits reports whether
// the resource has room for a request; all requests of a lane get the same answer.
func (q *Queue[T]) Next(fits func(T) bool) *Entry[T] {
	if q.OldestInterval > 0 && q.sinceOldest == q.OldestInterval-1 && q.hasSeveralRanks() {
		if oldest := q.Oldest(fits); oldest != nil {
			return oldest
		}
	}
	for _, rank := range q.Ranks {
		if rank.Waiting == 0 {
			continue
		}
		if entry := rank.next(fits); entry != nil {
			return entry
		}
	}
	return nil
}

func (q *Queue[T]) hasSeveralRanks() bool {
	for _, rank := range q.Ranks {
		if rank.Waiting > 0 {
			return rank.Waiting < q.Waiting
		}
	}
	return false
}

// Oldest returns the request that has waited longest, or nil if none fits.
func (q *Queue[T]) Oldest(fits func(T) bool) *Entry[T] {
	var oldest *Entry[T]
	for _, rank := range q.Ranks {
		for _, lane := range rank.Lanes {
			entry := lane.oldest()
			if (oldest == nil || entry.Number < oldest.Number) && fits(entry.Value) {
				oldest = entry
			}
		}
	}
	return oldest
}

// Advance promotes the requests whose time for it has come.
func (q *Queue[T]) Advance(now time.Time) {
	for len(q.promotions) > 0 && !q.promotions[0].entry.PromoteAt.After(now) {
		entry := q.promotions[0].entry
		q.unpromote(entry)
		entry.Promoted = true
		entry.flow.Entries.Fix(entry.index)
		entry.lane.Flows.Fix(entry.flow.index)
	}
}

func (q *Queue[T]) unpromote(entry *Entry[T]) {
	if entry.promotion != nil {
		q.promotions.Remove(entry.promotion.index)
		entry.promotion = nil
	}
}

// Tokens returns the total cost of the waiting requests.
func (q *Queue[T]) Tokens() float64 {
	total := 0.0
	for _, rank := range q.Ranks {
		total += rank.Tokens
	}
	return total
}

// Weight returns the sum of the weights of all flows.
func (q *Queue[T]) Weight() float64 {
	total := 0.0
	for _, rank := range q.Ranks {
		total += rank.Weight
	}
	return total
}

// Flow returns the flow of a workspace in a lane of a rank, nil if none of its requests
// waits there.
func (q *Queue[T]) Flow(attributes Attributes) *Flow[T] {
	lane, ok := q.rank(attributes.Rank).Lanes[attributes.Lane]
	if !ok {
		return nil
	}
	return lane.FlowByWorkspace[attributes.Workspace]
}
