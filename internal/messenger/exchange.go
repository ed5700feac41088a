package messenger

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

// Errors that users of a client can test for.
var (
	// ErrUnreachable reports that the peer did not answer in time. It may
	// have handled the message.
	ErrUnreachable = merry.Sentinel("peer did not answer")
	// ErrRefused reports that the peer answered with an error and did not
	// handle the message.
	ErrRefused = merry.Sentinel("peer refused the message")
)

const (
	// exchangeTimeout is longer than any healthy exchange between regions.
	exchangeTimeout = time.Second
	// idleTimeout closes connections before a stateful device on the path
	// forgets them.
	idleTimeout = 5 * time.Second
	// maxMessageBytes bounds a message; a whole configuration is the largest.
	maxMessageBytes = 8 << 20
)

// Client sends messages to other nodes.
type Client struct {
	clock     clockwork.Clock
	transport *http.Transport
	timeout   time.Duration
}

// NewClient returns a client and a function that closes its connections.
func NewClient(clock clockwork.Clock) (*Client, func()) {
	return NewClientWithDialer(clock, &net.Dialer{Timeout: exchangeTimeout})
}

// NewClientWithDialer is NewClient with a dialer of the caller's.
func NewClientWithDialer(clock clockwork.Clock, dialer *net.Dialer) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 2,
	}
	client := &Client{clock: clock, transport: transport, timeout: exchangeTimeout}
	return client, transport.CloseIdleConnections
}

// Exchange sends a request to a path of the peer at address and returns its
// response. After a timeout the idle connections are closed, so that the next
// exchange does not meet the same silent connection.
func Exchange[Q, R any](ctx context.Context, c *Client, address, path string, request Q) (R, error) {
	var zero R
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, c.timeout)
	defer cancel()
	body := bytes.NewReader(encoder.Encode(request))
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		return zero, merry.Wrap(ErrRefused, merry.AppendMessagef("address %q: %v", address, err))
	}
	message.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(message)
	if err != nil {
		c.transport.CloseIdleConnections()
		return zero, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %v", address, path, err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		detail, _ := encoder.Read(response.Body, 1<<10)
		return zero, merry.Wrap(ErrRefused, merry.AppendMessagef("%s%s: %s: %s", address, path, response.Status, detail))
	}
	answer, err := encoder.DecodeFrom[R](response.Body, maxMessageBytes)
	if err != nil {
		c.transport.CloseIdleConnections()
		return zero, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %v", address, path, err))
	}
	return answer, nil
}

// Handle makes a handler of a function that answers a request. An error of
// the function is answered with 503 and its text.
func Handle[Q, R any](answer func(context.Context, Q) (R, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := encoder.DecodeFrom[Q](r.Body, maxMessageBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response, err := answer(r.Context(), request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encoder.Encode(response))
	})
}
