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
	"toucanhitch.example/toucanhitch/internal/validator"
)

// attempt is one attempt of a request: the request to one address and the
// response.
type attempt struct {
	client  *Client
	address string
	// ctx is canceled when the attempt ends; callerCtx is the context that the
	// caller passed.
	ctx       context.Context
	callerCtx context.Context
	timer     clockwork.Timer
	stop      func()
	// gotConn reports whether net/http obtained a connection, in which case
	// part of the request may have been sent.
	gotConn bool
}

// newAttempt starts an attempt that fails with ErrReadTimeout if no response
// begins within the timeout.
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

// send returns the node's response, or a Failure for an error or a problem.
func (a *attempt) send(transport validator.Transport, request *http.Request) (*http.Response, error) {
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

// connectionFailure returns the failure of an attempt that received no complete
// response. The next attempt uses neither this address nor any of the
// connections that are idle now.
func (a *attempt) connectionFailure(err error) Failure {
	_ = a.client.task.Post(AddressFailed{Address: a.address})
	a.client.transport.CloseIdleAfter(err)
	failure := Failure{Run: Unknown, Temporary: a.callerCtx.Err() == nil, Err: merry.Wrap(err)}
	if !a.gotConn {
		failure.Run = NotRun
	}
	if errors.Is(context.Cause(a.ctx), ErrReadTimeout) {
		failure.Err = merry.Wrap(ErrReadTimeout, merry.AppendMessage(a.address))
	}
	return failure
}

// problemFailure returns the failure of an attempt to which a node responded
// with a problem.
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

// runHeader marks the reply of a service. A problem in it is the service's own and states
// nothing about the run of the request.
const runHeader = "Toucanhitch-Run"

// readProblem returns the node's problem that a response holds, or false if the
// response is not a problem of the node.
func readProblem(response *http.Response) (Problem, bool) {
	if response.Header.Get("Content-Type") != "application/problem+json" || response.Header.Get(runHeader) == string(Ran) {
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

// decodeProblem decodes a problem. Run is Unknown unless the problem states that
// the request ran or did not run.
func decodeProblem(data []byte) Problem {
	var decoded problemBody
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Problem{Title: "malformed problem", Run: Unknown}
	}
	problem := Problem(decoded)
	if problem.Run != NotRun && problem.Run != Ran {
		problem.Run = Unknown
	}
	return problem
}

// timeoutBody limits the time of each read of a response body to ReadTimeout.
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
