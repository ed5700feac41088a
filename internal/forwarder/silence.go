package forwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
)

// silence is what an exchange does about a replica that sends nothing for its read timeout: the
// read is interrupted, and the goroutine that reads decides whether to go on.
type silence struct {
	// until is when the replica counts as silent. Only the reading goroutine uses it.
	until time.Time

	mutex sync.Mutex
	// answering is set once the answer has begun, and ended at the end of the exchange,
	// when the connection may belong to another one.
	answering, ended bool
	// interrupted is set while the reading goroutine is to decide although the read timeout
	// is not over.
	interrupted bool
}

// expire is called when the read timeout is over.
func (e *exchange) expire() {
	e.silence.mutex.Lock()
	defer e.silence.mutex.Unlock()
	if !e.silence.ended {
		_ = e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort closes the connection, unless the answer has begun, of which the goroutine that reads
// decides, or the exchange has ended and the connection may belong to another one.
func (e *exchange) abort() {
	e.silence.mutex.Lock()
	defer e.silence.mutex.Unlock()
	switch {
	case e.silence.ended:
	case e.silence.answering:
		e.interruptLocked()
	default:
		e.conn.Close()
	}
}

// interrupt interrupts the read of an answer, unless the exchange has ended.
func (e *exchange) interrupt() {
	e.silence.mutex.Lock()
	defer e.silence.mutex.Unlock()
	if !e.silence.ended {
		e.interruptLocked()
	}
}

func (e *exchange) interruptLocked() {
	e.silence.interrupted = true
	_ = e.conn.SetReadDeadline(time.Unix(1, 0))
}

// resumeRead allows reads after an interruption, and reports whether the reading goroutine is to
// decide before the read timeout is over.
func (e *exchange) resumeRead() bool {
	e.silence.mutex.Lock()
	defer e.silence.mutex.Unlock()
	interrupted := e.silence.interrupted
	e.silence.interrupted = false
	_ = e.conn.SetReadDeadline(time.Time{})
	return interrupted
}

// watchSilence calls givesUp when the replica has been silent for the read timeout. The exchange
// goes on unless it returns true.
func (e *exchange) watchSilence(givesUp func() bool) {
	e.conn.limited.onTimeout = func() bool {
		if !e.resumeRead() && e.pool.clock.Now().Before(e.silence.until) {
			return true // something arrived while the timer fired
		}
		e.timedOut.Store(givesUp())
		return !e.timedOut.Load()
	}
}

// beginAnswer records that the answer of a stream begins.
func (e *exchange) beginAnswer() {
	e.silence.mutex.Lock()
	defer e.silence.mutex.Unlock()
	e.silence.answering = true
}

// endSilence makes a timer that has fired ineffective.
func (e *exchange) endSilence() {
	e.silence.mutex.Lock()
	defer e.silence.mutex.Unlock()
	e.silence.ended = true
	e.conn.limited.onTimeout = nil
}

// reservation is the search for another replica. The silent replica is read meanwhile, because it
// may go on.
type reservation struct {
	cancel context.CancelFunc
	// ready is set when there is a result, before the read is interrupted. done is closed after
	// that, and then placement and err are set.
	ready     atomic.Bool
	done      chan struct{}
	placement balancer.Placement
	err       error
}

// givesUp reports whether to give up a replica that has been silent: when the time of the
// request is over, or when another replica is reserved for it, or for the rest of its stream. A
// request that nobody else can take stays, because its replica may still go on.
func (j *job) givesUp(ctx context.Context, e *exchange) bool {
	switch {
	case j.request.Deadline.Sub(j.Clock.Now()) < minTimeLeft:
		return true
	case j.reservation != nil && !j.reservation.ready.Load():
		return false
	case j.reservation != nil:
		if j.takeReservation() && j.successor.Replica != e.attempt.Replica {
			return true
		}
		j.releaseSuccessor()
	case j.reserveSuccessor(ctx, e):
		return false
	}
	e.resetTimeout(j.silenceTimeout(e))
	return false
}

// silenceTimeout returns the time after which a replica that was not given up counts as silent
// again.
func (j *job) silenceTimeout(e *exchange) time.Duration {
	if e.head.Status != 0 {
		return j.eventTimeout()
	}
	left := max(minTimeLeft, j.request.Deadline.Sub(j.Clock.Now()))
	return min(left, max(minFirstByteTimeout, j.forward.Route.Objective))
}

// reserveSuccessor begins to reserve another replica, and reports whether it has. The read is
// interrupted when that is done.
func (j *job) reserveSuccessor(ctx context.Context, e *exchange) bool {
	route := j.forward.Route
	if !route.Repeatable() || j.possibleRuns+1 >= route.MaxAttempts || j.attemptsSent >= maxAttemptsSent || !j.pay() {
		return false
	}
	now := j.Clock.Now()
	need := j.placementNeed(now, j.request.Deadline.Sub(now))
	need.Excluded, need.Replaced = append(slices.Clone(j.excluded), e.attempt.Replica), e.attempt.Replica
	ctx, cancel := context.WithCancel(ctx)
	r := &reservation{cancel: cancel, done: make(chan struct{})}
	j.reservation = r
	go func() {
		defer close(r.done)
		r.placement, r.err = j.Placer.Place(ctx, need)
		r.ready.Store(true)
		e.interrupt()
	}()
	return true
}

// takeReservation ends a reservation that is ready, and reports whether there is a successor.
func (j *job) takeReservation() bool {
	r := j.reservation
	j.reservation = nil
	<-r.done
	r.cancel()
	if r.err != nil {
		return false
	}
	j.recordPlacement(r.placement)
	if r.placement.Refused != nil {
		return false
	}
	j.successor = &r.placement
	return true
}

// cancelReservation ends a reservation that is not needed, because the replica has gone on or
// the answer has ended. It is called before the end of the exchange.
func (j *job) cancelReservation(e *exchange) {
	if j.reservation == nil {
		return
	}
	j.reservation.cancel()
	if j.takeReservation() {
		j.releaseSuccessor()
	}
	e.resumeRead()
}

// releaseSuccessor returns a reserved replica that is not used.
func (j *job) releaseSuccessor() {
	if j.successor != nil {
		_ = j.Placer.Post(balancer.AttemptEnded{PlacementID: j.successor.ID, Result: balancer.Abandoned})
		j.successor = nil
	}
}

// place asks for a replica.
func (j *job) place(ctx context.Context, need balancer.Need) (balancer.Placement, error) {
	placement, err := j.Placer.Place(ctx, need)
	if err != nil {
		return placement, err
	}
	j.recordPlacement(placement)
	return placement, nil
}

func (j *job) recordPlacement(placement balancer.Placement) {
	j.candidates, j.waited = placement.Candidates, j.waited+placement.Waited
	j.Observe(Wait{For: waitForReplica, Rank: j.forward.Rank(), Refused: placement.Refused != nil, Duration: placement.Waited})
}

// pay takes the next attempt from the budget, unless that was done or is not needed. An
// attempt that does not reach a replica, such as one to a closed port, costs the replicas
// nothing.
func (j *job) pay() bool {
	if j.arrivals > 0 && !j.paid {
		j.paid = j.budget.Spend()
		return j.paid
	}
	return true
}
