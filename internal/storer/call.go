package storer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/validator"
)

// maxResponseBytes is the maximum size of a response. The largest responses are
// lists of instances.
const maxResponseBytes = 16 << 20

// Response is a store's response to a call.
type Response struct {
	Status int
	Body   []byte
	// Era is the era of the object API, see sequencer.Position. It is 0 if the answer does not
	// name it.
	Era uint64
}

// Caller sends calls to a store over HTTP.
type Caller struct {
	// Address is "IP:port".
	Address   string
	Clock     clockwork.Clock
	Transport validator.Transport
	// ContentType is the content type of request bodies. If it is empty, the
	// header is omitted.
	ContentType string
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes int64
	// EraHeader is the header in which the object API names its era. If it is empty,
	// the era is not known.
	EraHeader string
}

// Call sends one request. It returns ErrUnavailable if the store cannot have
// executed the request. Otherwise it returns ErrUncertain for writes and
// ErrUnavailable for reads.
func (c Caller) Call(ctx context.Context, timeout time.Duration, method, path string, body []byte) (Response, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+c.Address+path, bodyReader(body))
	if err != nil {
		return Response{}, merry.Wrap(ErrUnavailable, merry.AppendMessagef("%s %s: %v", method, path, err))
	}
	if body != nil && c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
	response, err := c.roundTrip(request)
	if err == nil {
		return response, nil
	}
	// The connection broke or did not respond. As this may be true of the other
	// connections to the same address, the next call opens a new one.
	c.Transport.CloseIdleAfter(err)
	sentinel := ErrUnavailable
	if method != http.MethodGet && connected.Load() {
		sentinel = ErrUncertain
	}
	return Response{}, merry.Wrap(sentinel, merry.AppendMessagef("%s %s: %v", method, path, err))
}

func (c Caller) roundTrip(request *http.Request) (Response, error) {
	response, err := c.Transport.RoundTrip(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := encoder.Read(response.Body, c.MaxResponseBytes)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: response.StatusCode, Body: body, Era: c.era(response.Header)}, nil
}

// era returns the era that a response names, or 0 if it names none or a malformed one.
func (c Caller) era(header http.Header) uint64 {
	if c.EraHeader == "" {
		return 0
	}
	era, err := strconv.ParseUint(header.Get(c.EraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// statusError returns the error for a status that the call does not expect. It
// is ErrUnavailable only if the platform rejected the call before it took any
// effect.
func statusError(response Response) error {
	switch response.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d: %s", response.Status, bytes.TrimSpace(response.Body)))
	}
	return merry.Wrap(ErrUncertain, merry.AppendMessagef("status %d: %s", response.Status, bytes.TrimSpace(response.Body)))
}

func isUncertain(err error) bool { return errors.Is(err, ErrUncertain) }
