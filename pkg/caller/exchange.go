package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

// exchange is one attempt: a request to one address and its answer.
type exchange struct {
	client  *Client
	address string
	ctx     context.Context
	caller  context.Context
	timer   clockwork.Timer
	stop    func()
	// connected says that net/http had a connection, so that a part of the
	// request may have been sent.
	connected bool
}

// open starts an attempt that ends if nothing comes within a bound.
func (c *Client) open(ctx context.Context, address string, bound time.Duration) *exchange {
	e := &exchange{client: c, address: address, caller: ctx}
	ctx, cancel := context.WithCancelCause(ctx)
	e.timer = c.settings.Clock.AfterFunc(bound, func() { cancel(ErrSilent) })
	e.stop = func() {
		e.timer.Stop()
		cancel(context.Canceled)
	}
	// GotConn runs in the goroutine of RoundTrip, before anything is sent.
	e.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.connected = true },
	})
	return e
}

// send returns the node's answer, or a Failure for an error or a problem.
func (e *exchange) send(transport *http.Transport, request *http.Request) (*http.Response, error) {
	if key := e.client.settings.Key; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := transport.RoundTrip(request.WithContext(e.ctx))
	if err != nil {
		return nil, e.broken(err)
	}
	if problem, ok := readProblem(response); ok {
		response.Body.Close()
		return nil, e.refused(response, problem)
	}
	return response, nil
}

// broken is the failure of an attempt whose connection gave no whole answer.
// The address and all idle connections are not used for the next one.
func (e *exchange) broken(err error) Failure {
	_ = e.client.task.Post(AddressFailed{Address: e.address})
	e.client.transport.CloseIdleConnections()
	failure := Failure{Run: Unknown, Temporary: e.caller.Err() == nil, Err: merry.Wrap(err)}
	if !e.connected {
		failure.Run = NotRun
	}
	if errors.Is(context.Cause(e.ctx), ErrSilent) {
		failure.Err = merry.Wrap(ErrSilent, merry.AppendMessage(e.address))
	}
	return failure
}

// refused is the failure of an attempt that a node answered with a problem.
func (e *exchange) refused(response *http.Response, problem Problem) Failure {
	failure := Failure{Run: problem.Run, Err: problem}
	switch problem.Status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable:
		failure.Temporary = true
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch problem.Type {
	case "urn:toucanhitch:draining", "urn:toucanhitch:not-current":
		_ = e.client.task.Post(AddressFailed{Address: e.address})
	}
	return failure
}

const maxProblemBytes = 64 << 10

// readProblem reads an answer that is a problem.
func readProblem(response *http.Response) (Problem, bool) {
	if response.Header.Get("Content-Type") != "application/problem+json" {
		return Problem{}, false
	}
	data, err := encoder.Read(response.Body, maxProblemBytes)
	if err != nil {
		return Problem{Status: response.StatusCode, Title: response.Status, Run: Unknown}, true
	}
	return decodeProblem(data), true
}

type problemWire struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Instance string `json:"instance"`
	Run      Run    `json:"run"`
}

// decodeProblem reads a problem. What does not say that the request did not
// run counts as unknown.
func decodeProblem(data []byte) Problem {
	var wire problemWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Problem{Title: "unreadable problem", Run: Unknown}
	}
	problem := Problem(wire)
	if problem.Run != NotRun && problem.Run != Ran {
		problem.Run = Unknown
	}
	return problem
}

// watchedBody bounds the time of each read of a body.
type watchedBody struct {
	io.Reader
	exchange *exchange
}

// Read implements io.Reader.
func (b watchedBody) Read(buffer []byte) (int, error) {
	b.exchange.timer.Reset(b.exchange.client.settings.Silence)
	count, err := b.Reader.Read(buffer)
	b.exchange.timer.Stop()
	return count, err
}
