package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

// Class is the priority class of a request, which decides how it is treated
// under load.
type Class string

// The classes of requests.
const (
	Interactive Class = "interactive"
	Assured     Class = "assured"
	Deferred    Class = "deferred"
)

// Options are the options that all kinds of requests have.
type Options struct {
	Class Class
	// Deadline is relative to the arrival at a node; 0 selects the class's
	// default.
	Deadline time.Duration
	// IdempotencyKey is the Idempotency-Key header. If it is empty, a new key
	// is generated. Retries use the same key. To query the outcome of a request
	// that failed with Unknown, send it again with the failure's
	// IdempotencyKey.
	IdempotencyKey string
}

func (o Options) header(idempotencyKey string) http.Header {
	header := http.Header{"Idempotency-Key": {idempotencyKey}}
	if o.Class != "" {
		header.Set("Toucanhitch-Class", string(o.Class))
	}
	if o.Deadline > 0 {
		header.Set("Toucanhitch-Deadline", o.Deadline.String())
	}
	return header
}

// responseTimeout returns the time within which a response must begin.
func (c *Client) responseTimeout(options Options) time.Duration {
	if options.Deadline > 0 {
		return options.Deadline + c.settings.ReadTimeout
	}
	return c.settings.ResponseTimeout
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Options
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
}

// Reply is the response of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed reports whether the response is the recorded outcome of an
	// earlier request with the same idempotency key.
	Replayed bool
}

// Call calls a plain service. Its errors are Failures.
func (c *Client) Call(ctx context.Context, call ServiceCall) (Reply, error) {
	var reply Reply
	idempotencyKey := keyOrNew(call.IdempotencyKey)
	err := c.doWithRetries(ctx, request{
		idempotencyKey: idempotencyKey,
		idempotent:     call.Idempotent,
		attempt: func(ctx context.Context, address string) (err error) {
			reply, err = c.call(ctx, address, call, idempotencyKey)
			return err
		},
	})
	return reply, err
}

func (c *Client) call(ctx context.Context, address string, call ServiceCall, idempotencyKey string) (Reply, error) {
	attempt := c.newAttempt(ctx, address, c.responseTimeout(call.Options))
	defer attempt.stop()
	transport := c.singleUse
	if call.Idempotent {
		transport = c.transport
	}
	response, err := attempt.send(transport, callRequest(address, call, idempotencyKey))
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	body, err := encoder.Read(timeoutBody{response.Body, attempt}, maxResponseBytes)
	if err != nil {
		return Reply{}, attempt.connectionFailure(err)
	}
	return Reply{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Replayed:    response.Header.Get("Idempotency-Replayed") == "true",
	}, nil
}

func callRequest(address string, call ServiceCall, idempotencyKey string) *http.Request {
	header := call.header(idempotencyKey)
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	return &http.Request{
		Method: call.Method,
		URL: &url.URL{
			Scheme: "http", Host: address,
			Path:     "/services/" + call.Service + "/" + strings.TrimPrefix(call.Path, "/"),
			RawQuery: call.Query,
		},
		Header:        header,
		Body:          singleReadBody(call.Body),
		ContentLength: int64(len(call.Body)),
	}
}

// singleReadBody returns a request body that net/http cannot rewind, so that it
// cannot resend the request by itself.
func singleReadBody(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(data))
}
