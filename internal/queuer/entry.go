package queuer

import (
	"container/list"
	"time"
)

// Attributes determine the place of a request in a Queue.
type Attributes struct {
	// Lane is equal for requests that can use the same resources. One lane may have to
	// wait while another can proceed.
	Lane string
	// Rank is the urgency; 0 is the most urgent.
	Rank      int
	Workspace string
	// Weight is the workspace's weight, and Cost what it is charged, in tokens. Both
	// are above 0.
	Weight, Cost float64
	// Due orders the requests of one workspace, rank and lane: the earliest goes first.
	Due time.Time
	// PromoteAt is when the request goes before all others of its workspace, rank and
	// lane that have not been promoted. The zero time means never.
	PromoteAt time.Time
	// Urgent requests are counted in Flow.UrgentTokens.
	Urgent bool
}

// Entry is a request in a Queue.
type Entry[T any] struct {
	Attributes
	Value T
	// Number orders the requests of a queue by arrival.
	Number uint64
	// Promoted is set once PromoteAt has passed.
	Promoted bool

	lane      *Lane[T]
	flow      *Flow[T]
	index     int
	arrival   *list.Element
	promotion *promotion[T]
}

// Before implements Item: it orders the entries of a flow.
func (e *Entry[T]) Before(other *Entry[T]) bool {
	if e.Promoted != other.Promoted {
		return e.Promoted
	}
	if !e.Due.Equal(other.Due) {
		return e.Due.Before(other.Due)
	}
	return e.Number < other.Number
}

// SetIndex implements Item.
func (e *Entry[T]) SetIndex(index int) { e.index = index }

// promotion is the entry of a request in the queue's order of promotion.
type promotion[T any] struct {
	entry *Entry[T]
	index int
}

// Before implements Item.
func (p *promotion[T]) Before(other *promotion[T]) bool {
	if !p.entry.PromoteAt.Equal(other.entry.PromoteAt) {
		return p.entry.PromoteAt.Before(other.entry.PromoteAt)
	}
	return p.entry.Number < other.entry.Number
}

// SetIndex implements Item.
func (p *promotion[T]) SetIndex(index int) { p.index = index }

// Flow holds the requests of one workspace in a lane.
type Flow[T any] struct {
	Workspace string
	Weight    float64
	StartTag  float64
	// Entries holds the requests in the order in which they are served.
	Entries Heap[*Entry[T]]
	// Tokens is the cost of all requests, UrgentTokens that of the urgent ones.
	Tokens, UrgentTokens float64

	index int
}

// Before implements Item: the flow with the lowest start tag is served first.
func (f *Flow[T]) Before(other *Flow[T]) bool {
	if f.StartTag != other.StartTag {
		return f.StartTag < other.StartTag
	}
	return f.Head().Number < other.Head().Number
}

// SetIndex implements Item.
func (f *Flow[T]) SetIndex(index int) { f.index = index }

// Head returns the request of the flow that is served next.
func (f *Flow[T]) Head() *Entry[T] { return f.Entries[0] }

func (f *Flow[T]) add(e *Entry[T]) {
	f.Entries.Push(e)
	f.Tokens += e.Cost
	if e.Urgent {
		f.UrgentTokens += e.Cost
	}
}

func (f *Flow[T]) remove(e *Entry[T]) {
	f.Entries.Remove(e.index)
	f.Tokens -= e.Cost
	if e.Urgent {
		f.UrgentTokens -= e.Cost
	}
}

// Lane holds the waiting requests of one rank that can use the same resources.
type Lane[T any] struct {
	Key  string
	Rank *Rank[T]
	// Flows is ordered by start tag. Tags may be too low, never too high.
	Flows Heap[*Flow[T]]
	// FlowByWorkspace maps a workspace to its flow.
	FlowByWorkspace map[string]*Flow[T]

	byArrival list.List // of *Entry[T], by arrival
}

func (l *Lane[T]) oldest() *Entry[T] { return l.byArrival.Front().Value.(*Entry[T]) }
