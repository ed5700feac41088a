package dispatcher

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// errGone reports that the caller took no more of the answer.
var errGone = merry.Sentinel("the caller went away")

// attempt is one attempt in progress.
type attempt struct {
	filter.Attempt
	dispatcher *Dispatcher
	endpoint   *endpoint
	// caller is the context of the request, which the watchdog does not end.
	caller  context.Context
	sending sending
	// answered says that the endpoint sent the header of an answer.
	answered bool
}

// roundTrip sends a request with the attempt's connections traced.
func (a *attempt) roundTrip(ctx context.Context, transport *http.Transport, request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTrip(request.WithContext(a.sending.trace(ctx)))
	a.answered = err == nil
	return response, err
}

// failure ends the attempt with an error and says what is known of it. ctx is
// the context that the watchdog ends.
func (a *attempt) failure(ctx context.Context, err error) filter.Failure {
	failure := filter.Failure{Run: a.run(), Err: err}
	switch {
	case errors.Is(err, errGone) || a.caller.Err() != nil:
		failure.CallerGone = true
		if errors.Is(context.Cause(a.caller), errLost) && !a.answered {
			// The silence was too short to blame the endpoint, but long
			// enough to distrust its idle connections.
			a.dispatcher.renew(a.endpoint)
		}
	case errors.Is(context.Cause(ctx), ErrSilent):
		failure.Err = merry.Wrap(ErrSilent, merry.AppendMessage(a.Slot.Address))
		a.dispatcher.renew(a.endpoint)
	}
	return failure
}

func (a *attempt) run() filter.Run {
	switch {
	case a.answered:
		return filter.Ran
	case a.sending.notSent():
		return filter.NotRun
	default:
		return filter.Unknown
	}
}

// refused is the failure of an attempt that the endpoint refused.
func refused(response *http.Response) filter.Failure {
	return filter.Failure{Run: filter.NotRun, Refused: true, Err: answeredWith(response)}
}

// maxErrorBytes bounds what is read of an error's body.
const maxErrorBytes = 1 << 10

// answeredWith describes an answer that is an error. It reads the body, so
// that the connection can be used again.
func answeredWith(response *http.Response) error {
	detail, err := encoder.Read(response.Body, maxErrorBytes)
	if err != nil {
		detail = nil
	}
	return merry.Errorf("the endpoint answered %s: %s", response.Status, detail)
}
