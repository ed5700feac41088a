package scheduler

import (
	"slices"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/queuer"
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

	queue  *Queue
	demand *Demand
	// Positions in the structures above, for removal.
	demandIndex  int
	queueEntry   *queuer.Entry[*WaitingRequest]
	backlogEntry queuer.BacklogEntry[*WaitingRequest]
}

// Before implements queuer.Item.
func (w *WaitingRequest) Before(other *WaitingRequest) bool {
	if !w.Admission.Deadline.Equal(other.Admission.Deadline) {
		return w.Admission.Deadline.Before(other.Admission.Deadline)
	}
	return w.ArrivalNumber < other.ArrivalNumber
}

// SetIndex implements queuer.Item.
func (w *WaitingRequest) SetIndex(index int) { w.demandIndex = index }

// due returns the time by which a request should have a slot. An assured
// request must not miss its deadline, so it is due when half of the time until
// then has passed.
func (w *WaitingRequest) due() time.Time {
	if w.Admission.Class != filter.Assured {
		return w.Admission.Deadline
	}
	return w.Admission.Deadline.Add(-w.Admission.Deadline.Sub(w.Arrived) / 2)
}

// attributes returns the place of the request in the fair queue. Requests that need
// different adapters or avoid different endpoints are in different lanes. Within a
// workspace, interactive requests precede assured ones that are not yet due.
func (w *WaitingRequest) attributes() queuer.Attributes {
	return queuer.Attributes{
		Lane:      lane(w.Admission),
		Workspace: w.Admission.Workspace,
		Weight:    w.Admission.Weight,
		Cost:      w.Cost,
		Due:       w.due(),
		Urgent:    w.Admission.Class == filter.Interactive,
	}
}

// lane identifies the endpoints that a request can use.
func lane(admission filter.Admission) string {
	return admission.Adapter + "\x00" + strings.Join(admission.Avoid, " ")
}

// avoids reports whether the request must not use an endpoint.
func (w *WaitingRequest) avoids(endpoint *Endpoint) bool {
	return slices.Contains(w.Admission.Avoid, endpoint.Name)
}

// hasOpenEndpoint reports whether an endpoint can accept the request now. It checks at
// most one endpoint more than the request avoids.
func (w *WaitingRequest) hasOpenEndpoint() bool {
	for _, endpoint := range w.demand.Pool.Open {
		if !w.avoids(endpoint.Endpoint) {
			return true
		}
	}
	return false
}

// sampleSize limits the endpoints that are estimated for one request. The
// better of two random picks among 16 is close to that of two among all.
const sampleSize = 16

// hasSpareCapacity reports whether one of the first sampleSize open endpoints
// has spare capacity.
func (w *WaitingRequest) hasSpareCapacity(now time.Time) bool {
	for index, endpoint := range w.demand.Pool.Open {
		if index == sampleSize {
			break
		}
		if !w.avoids(endpoint.Endpoint) && endpoint.hasSpareCapacity(now) {
			return true
		}
	}
	return false
}

func cost(admission filter.Admission) float64 {
	return float64(max(1, admission.PromptTokens+admission.MaxTokens))
}
