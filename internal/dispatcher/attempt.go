package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/validator"
)

// ErrForeignResponse reports a refusal that may belong to another attempt.
var ErrForeignResponse = merry.Sentinel("the refusal may belong to another attempt")

// errCallerGone reports that the response could not be passed on to the caller.
var errCallerGone = merry.Sentinel("the response could not be sent to the caller")

// attempt is one attempt in progress.
type attempt struct {
	filter.Attempt
	dispatcher    *Dispatcher
	connectionSet *connectionSet
	// callerCtx is the context of the caller's request. The watchdog does not
	// cancel it.
	callerCtx   context.Context
	connections connectionTracker
	// responded reports whether the endpoint sent the header of a response.
	responded bool
}

// roundTrip sends a request and records the connections that it uses.
func (a *attempt) roundTrip(ctx context.Context, transport validator.Transport, request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTrip(request.WithContext(a.connections.trace(ctx)))
	a.responded = err == nil
	return response, err
}

// failure returns the failure of an attempt that ended with err, and whether
// the attempt ran as far as that is known. ctx is the context that the watchdog
// cancels.
func (a *attempt) failure(ctx context.Context, err error) filter.Failure {
	failure := filter.Failure{Run: a.runStatus(), Err: err}
	switch {
	case errors.Is(err, errCallerGone) || a.callerCtx.Err() != nil:
		failure.CallerGone = true
		if errors.Is(context.Cause(a.callerCtx), errOtherResponded) && !a.responded {
			// The wait was too short to count as a failure of the endpoint,
			// but long enough that its idle connections may be broken.
			a.dispatcher.renew(a.connectionSet)
		}
	case errors.Is(context.Cause(ctx), ErrReadTimeout):
		failure.Err = merry.Wrap(ErrReadTimeout, merry.AppendMessage(a.Slot.Address))
		a.dispatcher.renew(a.connectionSet)
	}
	return failure
}

func (a *attempt) runStatus() filter.Run {
	switch {
	case a.responded:
		return filter.Ran
	case a.connections.notSent():
		return filter.NotRun
	default:
		return filter.Unknown
	}
}

// attemptHeader names the attempt in requests to services and in refusals.
const attemptHeader = "Toucanhitch-Attempt"

// refusedFailure returns the failure of an attempt that the endpoint refused. A
// refusal that names no attempt proves nothing on a reused connection: it may be the
// repetition of an earlier one. Neither does a refusal that breaks off.
func (a *attempt) refusedFailure(response *http.Response) filter.Failure {
	named := response.Header.Get(attemptHeader)
	if named != a.ID && (named != "" || a.connections.reused) {
		a.dispatcher.renew(a.connectionSet)
		return filter.Failure{Run: filter.Unknown, Err: merry.Wrap(ErrForeignResponse, merry.AppendMessagef("status %d names attempt %q", response.StatusCode, named))}
	}
	complete, err := statusError(response)
	if !complete {
		return filter.Failure{Run: filter.Unknown, Err: err}
	}
	return filter.Failure{Run: filter.NotRun, Refused: true, Err: err}
}

// maxErrorBytes bounds what an error quotes of the body of an error response.
const maxErrorBytes = 1 << 10

// statusError returns an error that describes an error response, and whether the
// response is complete. It reads the body to its end, at most maxReplyBytes, so that
// the connection can be reused.
func statusError(response *http.Response) (complete bool, err error) {
	detail, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err == nil {
		_, err = io.CopyN(io.Discard, response.Body, maxReplyBytes)
	}
	if err == nil {
		err = encoder.ErrTooLarge
	}
	if !errors.Is(err, io.EOF) {
		return false, merry.Errorf("the endpoint answered %s: %s; the body does not end: %w", response.Status, detail, err)
	}
	return true, merry.Errorf("the endpoint answered %s: %s", response.Status, detail)
}
