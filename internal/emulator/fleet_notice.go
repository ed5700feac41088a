package emulator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// FleetRefusal is a request that a replica turned away, asking for none for RetryAfter.
type FleetRefusal struct {
	Replica, Attempt string
	StartedMS        int64
	At               time.Time
	RetryAfter       time.Duration
}

// SetLeaving sets whether the replica announces in its answers that it leaves.
func (r *FleetReplica) SetLeaving(leaving bool) { r.executor.do(func() { r.leaving = leaving }) }

// SetTurnAway makes the replica refuse requests and ask for none for a time, or ends that
// if the time is 0.
func (r *FleetReplica) SetTurnAway(retryAfter time.Duration) {
	r.executor.do(func() { r.turnAwayFor = retryAfter })
}

// Refusals returns the requests that the replica turned away.
func (r *FleetReplica) Refusals() (refusals []FleetRefusal) {
	r.executor.do(func() { refusals = slices.Clone(r.refusals) })
	return refusals
}

// turnAway counts a request that is turned away for want of room. It reports whether the
// replica, which is brittle, crashes because of it.
func (r *FleetReplica) turnAway() bool {
	now := r.settings.Clock.Now()
	r.full = append(slices.DeleteFunc(r.full, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
	if !r.faults.Brittle || len(r.full) <= r.faults.MaxRefusals {
		return false
	}
	r.falls++
	r.crashProcess()
	return true
}

// endRun ends a run of the process that ends when crashed is closed.
func (r *FleetReplica) endRun(crashed chan struct{}) {
	if r.crashed == crashed {
		r.active--
	}
}

// Falls returns how often the replica has crashed because it had to turn away more requests
// than it bears.
func (r *FleetReplica) Falls() (falls int) {
	r.executor.do(func() { falls = r.falls })
	return falls
}

// refuseWithTime answers that a request was not run and that the replica wants none for a
// time.
func refuseWithTime(w http.ResponseWriter, attempt string, retryAfter time.Duration) {
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// WithRefusal returns a replica with the same runs that has refused one more request.
// Tests use it to verify that their check of requests fails.
func (r *FleetReplica) WithRefusal(refusal FleetRefusal) *FleetReplica {
	refused := NewFleetReplica(context.Background(), r.settings)
	refused.runs, refused.refusals = r.Runs(), append(r.Refusals(), refusal)
	return refused
}

// WithRepeatedRun returns a replica with the same runs and refusals that has run a request
// once more, if it has run it. Tests use it to verify that their check of runs fails.
func (r *FleetReplica) WithRepeatedRun(attempt string) *FleetReplica {
	repeated := NewFleetReplica(context.Background(), r.settings)
	repeated.runs, repeated.refusals = r.Runs(), r.Refusals()
	if i := slices.IndexFunc(repeated.runs, func(run FleetRun) bool { return run.Attempt == attempt }); i >= 0 {
		repeated.runs = append(repeated.runs, repeated.runs[i])
	}
	return repeated
}
