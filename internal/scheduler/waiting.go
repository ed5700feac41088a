package scheduler

import (
	"container/list"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// WaitingRequest is an admitted request that has no slot yet.
type WaitingRequest struct {
	Call      runner.Call
	Admission filter.Admission
	Arrived   time.Time
	// ArrivalNumber orders requests by arrival.
	ArrivalNumber uint64
	// Cost is the number of tokens charged to the workspace for fairness.
	Cost float64

	queue   *Queue
	demand  *Demand
	backlog *backlog
	// Positions in the structures above, for removal.
	demandIndex    int
	flowEntry      *flowEntry
	laneElement    *list.Element
	backlogElement *list.Element
}

func (w *WaitingRequest) before(other *WaitingRequest) bool {
	if !w.Admission.Deadline.Equal(other.Admission.Deadline) {
		return w.Admission.Deadline.Before(other.Admission.Deadline)
	}
	return w.ArrivalNumber < other.ArrivalNumber
}

func (w *WaitingRequest) setIndex(index int) { w.demandIndex = index }

// due returns the time by which a request should have a slot. An assured
// request must not miss its deadline, so it is due when half of the time until
// then has passed.
func (w *WaitingRequest) due() time.Time {
	if w.Admission.Class != filter.Assured {
		return w.Admission.Deadline
	}
	return w.Admission.Deadline.Add(-w.Admission.Deadline.Sub(w.Arrived) / 2)
}

// flowEntry is the entry of a request in its flow, ordered by due.
type flowEntry struct {
	*WaitingRequest
	due   time.Time
	index int
}

func (e *flowEntry) before(other *flowEntry) bool {
	if !e.due.Equal(other.due) {
		return e.due.Before(other.due)
	}
	return e.ArrivalNumber < other.ArrivalNumber
}

func (e *flowEntry) setIndex(index int) { e.index = index }

func cost(admission filter.Admission) float64 {
	return float64(max(1, admission.PromptTokens+admission.MaxTokens))
}
