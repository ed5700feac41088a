package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// receive handles an answer. A nil verdict without an error means that the
// replica did not run the request, or failed one that may be repeated.
func (j *job) receive(ctx context.Context, e *exchange, result *balancer.Result) (filter.Verdict, error) {
	head := e.head
	switch {
	case head.NotRun:
		*result = balancer.Refused
		if head.Misdirected {
			*result = balancer.ModelMissing
		}
		_, err := e.readAll(ctx)
		e.settle(err)
		return nil, nil
	case !head.Authentic, head.Encoded:
		e.close()
		return nil, fmt.Errorf("%w: status %d without a MAC", ErrGarbled, head.Status)
	case head.Stream && head.Status == http.StatusOK:
		*result = balancer.Answered
		return j.stream(ctx, e)
	}
	e.extend(max(leastTime, j.request.Deadline.Sub(j.Clock.Now())))
	body, err := e.readAll(ctx)
	e.settle(err)
	if err != nil {
		return nil, err
	}
	if j.begun {
		return nil, fmt.Errorf("%w: status %d for the rest of a stream", ErrGarbled, head.Status)
	}
	*result = balancer.Answered
	j.runs++
	accept := filter.Accept{Reply: filter.Reply{Status: head.Status, Header: head.Header, Body: body}}
	if head.Status < http.StatusInternalServerError {
		return accept, nil
	}
	*result = balancer.ServerError
	if !j.forward.Route.Repeatable() || j.runs >= j.forward.Route.MaxAttempts {
		return accept, nil
	}
	j.answer = &accept
	return nil, nil
}

// settle keeps or closes the connection.
func (e *exchange) settle(err error) {
	if err != nil {
		e.close()
		return
	}
	e.finish()
}

// stream passes events on until the stream is complete.
func (j *job) stream(ctx context.Context, e *exchange) (filter.Verdict, error) {
	write := func(event []byte) error {
		if !j.begun {
			if err := j.forward.Writer.Begin(e.head.Status, e.head.Header); err != nil {
				return err
			}
			j.begun = true
		}
		return j.forward.Writer.Write(event)
	}
	err := e.pass(ctx, &j.events, j.gap(), write)
	e.settle(err)
	if err != nil {
		return nil, err
	}
	if !j.begun {
		if err := j.forward.Writer.Begin(e.head.Status, e.head.Header); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCallerGone, err)
		}
		j.begun = true
	}
	return filter.Accept{}, nil
}

// gap returns how long a stream may pause. One that cannot be resumed goes on
// as long as its caller waits.
func (j *job) gap() time.Duration {
	if !j.forward.Route.Repeatable() {
		return max(leastTime, j.request.Deadline.Sub(j.Clock.Now()))
	}
	return longestGap
}
