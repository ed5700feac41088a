package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// handleResponse handles a response. A nil verdict without an error means that
// the replica did not run the request, or that it failed and the request may be
// repeated. recordBegun is called once an answer has begun.
func (j *job) handleResponse(ctx context.Context, e *exchange, result *balancer.Result, recordBegun func()) (filter.Verdict, error) {
	head := e.head
	switch {
	case head.NotRun:
		err := e.discardBody(ctx)
		j.endExchange(e, err)
		if err != nil {
			return nil, err
		}
		*result = balancer.Refused
		if head.Misdirected {
			*result = balancer.ModelMissing
		}
		return nil, nil
	case !head.Authentic, head.Encoded:
		e.close()
		return nil, fmt.Errorf("%w: status %d without a MAC", ErrInvalidResponse, head.Status)
	case head.Stream && head.Status == http.StatusOK:
		*result = balancer.Answered
		return j.forwardStream(ctx, e, recordBegun)
	}
	e.resetTimeout(max(minTimeLeft, j.request.Deadline.Sub(j.Clock.Now())))
	hold := &BufferHold{Budget: e.pool.buffers}
	// The body is held until the caller has read it.
	j.forward.Releases = append(j.forward.Releases, hold.Release)
	body, err := e.readAll(ctx, hold)
	j.endExchange(e, err)
	if err != nil {
		return nil, err
	}
	if j.responseStarted {
		return nil, fmt.Errorf("%w: status %d instead of the rest of a stream", ErrInvalidResponse, head.Status)
	}
	*result = balancer.Answered
	recordBegun()
	if head.PromisesNotRun {
		return nil, fmt.Errorf("%w: status %d", ErrRanDespiteStatus, head.Status)
	}
	j.possibleRuns++
	accept := filter.Accept{Reply: filter.Reply{Status: head.Status, Header: head.Header, Body: body}}
	if head.Status < http.StatusInternalServerError {
		return accept, nil
	}
	*result = balancer.ServerError
	if !j.forward.Route.Repeatable() || j.possibleRuns >= j.forward.Route.MaxAttempts {
		return accept, nil
	}
	j.fallback = &accept
	return nil, nil
}

// endExchange returns the connection to the pool, or closes it after an error. A successor that
// is being reserved is not needed any more.
func (j *job) endExchange(e *exchange, err error) {
	j.cancelReservation(e)
	if err != nil {
		e.close()
		return
	}
	e.finish()
}

// forwardStream passes events on to the caller until the stream is complete.
func (j *job) forwardStream(ctx context.Context, e *exchange, recordBegun func()) (filter.Verdict, error) {
	begun := false
	write := func(event []byte) error {
		if _, numbered := eventID(event); numbered {
			j.cancelReservation(e)
		}
		j.observeEvent(event)
		if !begun {
			begun = true
			recordBegun()
			j.recordOrigin()
		}
		if !j.responseStarted {
			if err := j.forward.Writer.Begin(e.head.Status, e.head.Header); err != nil {
				return err
			}
			j.responseStarted = true
		}
		return j.forward.Writer.Write(event)
	}
	e.beginAnswer()
	err := e.forwardEvents(ctx, &j.events, j.eventTimeout(), write)
	j.endExchange(e, err)
	if err != nil {
		return nil, err
	}
	if !j.responseStarted {
		if err := j.forward.Writer.Begin(e.head.Status, e.head.Header); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCallerGone, err)
		}
		j.responseStarted = true
	}
	return filter.Accept{}, nil
}

// eventTimeout returns the time between two events of a stream after which another replica
// may take it over. A stream that cannot be resumed there has until the request's deadline.
func (j *job) eventTimeout() time.Duration {
	left := max(minTimeLeft, j.request.Deadline.Sub(j.Clock.Now()))
	if !j.forward.Route.Repeatable() {
		return left
	}
	return min(maxEventGap, left)
}
