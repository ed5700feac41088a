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
	inFlow    *list.Element
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

// hurried says that an assured request has less than half of its patience
// left. It then gets the priority of an interactive one, since it must arrive.
func (w *Waiting) hurried(now time.Time) bool {
	left := w.Admission.Deadline.Sub(now)
	return w.Admission.Class == filter.Assured && left < w.Admission.Deadline.Sub(w.Arrived)/2
}

func cost(admission filter.Admission) float64 {
	return float64(max(1, admission.PromptTokens+admission.MaxTokens))
}
