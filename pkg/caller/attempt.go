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
type attempt struct {
	client    *Client
	address   string
	ctx       context.Context
	callerCtx context.Context
	timer     clockwork.Timer
	stop      func()
	// connected says that net/http had a connection, so that a part of the
	// request may have been sent.
	gotConn bool
}

// open starts an attempt that ends if nothing comes within a bound.
func (c *Client) newAttempt(ctx context.Context, address string, timeout time.Duration) *attempt {
	a := &attempt{client: c, address: address, callerCtx: ctx}
	ctx, cancel := context.WithCancelCause(ctx)
	a.timer = c.settings.Clock.AfterFunc(timeout, func() { cancel(ErrReadTimeout) })
	a.stop = func() {
		a.timer.Stop()
		cancel(context.Canceled)
	}
	// GotConn runs in the goroutine of RoundTrip, before anything is sent.
	a.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.gotConn = true },
	})
	return a
}

// send returns the node's answer, or a Failure for an error or a problem.
func (a *attempt) send(transport *http.Transport, request *http.Request) (*http.Response, error) {
	if key := a.client.settings.Key; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := transport.RoundTrip(request.WithContext(a.ctx))
	if err != nil {
		return nil, a.connectionFailure(err)
	}
	if problem, ok := readProblem(response); ok {
		response.Body.Close()
		return nil, a.problemFailure(response, problem)
	}
	return response, nil
}

// broken is the failure of an attempt whose connection gave no whole answer.
// The address and all idle connections are not used for the next one.
func (a *attempt) connectionFailure(err error) Failure {
	_ = a.client.task.Post(AddressFailed{Address: a.address})
	a.client.transport.CloseIdleConnections()
	failure := Failure{Run: Unknown, Temporary: a.callerCtx.Err() == nil, Err: merry.Wrap(err)}
	if !a.gotConn {
		failure.Run = NotRun
	}
	if errors.Is(context.Cause(a.ctx), ErrReadTimeout) {
		failure.Err = merry.Wrap(ErrReadTimeout, merry.AppendMessage(a.address))
	}
	return failure
}

// refused is the failure of an attempt that a node answered with a problem.
func (a *attempt) problemFailure(response *http.Response, problem Problem) Failure {
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
		_ = a.client.task.Post(AddressFailed{Address: a.address})
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

type problemBody struct {
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
	var decoded problemBody
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Problem{Title: "unreadable problem", Run: Unknown}
	}
	problem := Problem(decoded)
	if problem.Run != NotRun && problem.Run != Ran {
		problem.Run = Unknown
	}
	return problem
}

// watchedBody bounds the time of each read of a body.
type timeoutBody struct {
	io.Reader
	attempt *attempt
}

// Read implements io.Reader.
func (b timeoutBody) Read(buffer []byte) (int, error) {
	b.attempt.timer.Reset(b.attempt.client.settings.ReadTimeout)
	count, err := b.Reader.Read(buffer)
	b.attempt.timer.Stop()
	return count, err
}
