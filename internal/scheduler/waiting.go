package scheduler

import (
	"container/list"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Waiting is a request without a slot.
type Waiting struct {
	Call      runner.Call
	Admission filter.Admission
	Arrived   time.Time
	// Number orders requests by arrival.
	Number uint64
	// Cost is the number of tokens that fairness counts.
	Cost float64

	queue   *Queue
	demand  *Demand
	backlog *backlog
	// Places in the structures above.
	inDemand  int
	inFlow    *turn
	inLane    *list.Element
	inBacklog *list.Element
}

func (w *Waiting) before(other *Waiting) bool {
	if !w.Admission.Deadline.Equal(other.Admission.Deadline) {
		return w.Admission.Deadline.Before(other.Admission.Deadline)
	}
	return w.Number < other.Number
}

func (w *Waiting) place(index int) { w.inDemand = index }

// due is the time by which a request should have a slot. An assured request
// must arrive, so that it is due when half of its patience is over.
func (w *Waiting) due() time.Time {
	if w.Admission.Class != filter.Assured {
		return w.Admission.Deadline
	}
	return w.Admission.Deadline.Add(-w.Admission.Deadline.Sub(w.Arrived) / 2)
}

// turn is a request's place in its flow, which is ordered by due.
type turn struct {
	*Waiting
	due   time.Time
	index int
}

func (t *turn) before(other *turn) bool {
	if !t.due.Equal(other.due) {
		return t.due.Before(other.due)
	}
	return t.Number < other.Number
}

func (t *turn) place(index int) { t.index = index }

func cost(admission filter.Admission) float64 {
	return float64(max(1, admission.PromptTokens+admission.MaxTokens))
}
