package storer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

// maxAnswerBytes bounds an answer; the largest is a list of instances.
const maxAnswerBytes = 16 << 20

// answer is what the platform said to a call.
type answer struct {
	status int
	body   []byte
}

// refused returns the error for a status that the call does not expect. Only
// a refusal before the platform did anything is ErrUnavailable.
func (a answer) refused() error {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d: %s", a.status, bytes.TrimSpace(a.body)))
	}
	return merry.Wrap(ErrUncertain, merry.AppendMessagef("status %d: %s", a.status, bytes.TrimSpace(a.body)))
}

// call sends one request. Its errors are ErrUnavailable if the platform
// cannot have acted on it, and otherwise ErrUncertain for writes and
// ErrUnavailable for reads.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte) (answer, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+c.address+path, reader(body))
	if err != nil {
		return answer{}, merry.Wrap(ErrUnavailable, merry.AppendMessagef("%s %s: %v", method, path, err))
	}
	got, err := c.roundTrip(request)
	if err == nil {
		return got, nil
	}
	// The connection was silent or broken, and so may be the others to the
	// same address; the next call opens a new one.
	c.transport.CloseIdleConnections()
	kind := ErrUnavailable
	if method != http.MethodGet && connected.Load() {
		kind = ErrUncertain
	}
	return answer{}, merry.Wrap(kind, merry.AppendMessagef("%s %s: %v", method, path, err))
}

func (c *Client) roundTrip(request *http.Request) (answer, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := encoder.Read(response.Body, maxAnswerBytes)
	if err != nil {
		return answer{}, err
	}
	return answer{response.StatusCode, body}, nil
}

func reader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

func isUncertain(err error) bool { return errors.Is(err, ErrUncertain) }
