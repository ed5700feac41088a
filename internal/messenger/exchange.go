package messenger

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/validator"
)

// Errors of a Client, for errors.Is.
var (
	// ErrUnreachable reports that no valid answer arrived in time. The peer
	// may have processed the message.
	ErrUnreachable = merry.Sentinel("peer did not answer")
	// ErrRefused reports that the peer answered with an error, or that the
	// address is invalid: the message was not processed.
	ErrRefused = merry.Sentinel("peer refused the message")
	// ErrUnknownMessage reports that the peer does not know the message or its form, because
	// it is of another build. It is an ErrRefused as well.
	ErrUnknownMessage = merry.Wrap(merry.Sentinel("peer does not know the message"), merry.WithCause(ErrRefused))
)

const (
	// exchangeTimeout exceeds the duration of any healthy exchange between
	// regions.
	exchangeTimeout = time.Second
	// idleTimeout closes idle connections before a stateful device on the
	// path, such as a NAT gateway, drops their state.
	idleTimeout = 5 * time.Second
	// maxMessageBytes limits a message; the largest is one with a full
	// configuration.
	maxMessageBytes = 8 << 20
)

// Client sends messages to other nodes.
type Client struct {
	clock     clockwork.Clock
	transport validator.Transport
	timeout   time.Duration
	// Observe gets the messages in an earlier form. It must not block, and be set before the
	// first message is sent.
	Observe     func(FormUse)
	reportForms []Form
	forms       peerForms
	uses        seenUses
}

// NewClient returns a client and a function that closes its connections.
func NewClient(clock clockwork.Clock) (*Client, func()) {
	return NewClientWithDialer(clock, &net.Dialer{Timeout: exchangeTimeout})
}

// NewClientWithDialer is like NewClient but opens connections with dialer.
func NewClientWithDialer(clock clockwork.Clock, dialer *net.Dialer) (*Client, func()) {
	transport := validator.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    2,
	})
	client := &Client{clock: clock, transport: transport, timeout: exchangeTimeout, Observe: func(FormUse) {}, reportForms: reportForms}
	return client, transport.CloseIdleConnections
}

// Exchange sends a request to a path of the peer at address and returns its
// response. The errors are ErrUnreachable and ErrRefused. If no complete response
// arrives, the idle connections are closed, so that the next exchange does not
// reuse an unresponsive connection. Bytes that are not a valid response close
// their own connection only.
func Exchange[Q, R any](ctx context.Context, c *Client, address, path string, request Q) (R, error) {
	var zero R
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, c.timeout)
	defer cancel()
	body := bytes.NewReader(encoder.Encode(request))
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		return zero, merry.Wrap(ErrRefused, merry.AppendMessagef("address %q: %v", address, err))
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		c.transport.CloseIdleAfter(err)
		return zero, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %v", address, path, err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		detail, err := encoder.Read(response.Body, 1<<10)
		if err != nil && !errors.Is(err, encoder.ErrTooLarge) {
			c.transport.CloseIdleAfter(err)
			return zero, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %s: %v", address, path, response.Status, err))
		}
		refusal := ErrRefused
		if response.StatusCode == http.StatusNotFound {
			refusal = ErrUnknownMessage
		}
		return zero, merry.Wrap(refusal, merry.AppendMessagef("%s%s: %s: %s", address, path, response.Status, bytes.TrimSpace(detail)))
	}
	answer, err := encoder.DecodeLenientFrom[R](response.Body, maxMessageBytes)
	if err != nil {
		c.transport.CloseIdleAfter(err)
		return zero, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %v", address, path, err))
	}
	return answer, nil
}

// Handle returns a handler that decodes the request and responds with the result
// of answer. Fields that it does not know are ignored: later builds add fields.
// It responds with 400 to a malformed request, and with 503 and the error text if
// answer fails.
func Handle[Q, R any](answer func(context.Context, Q) (R, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := encoder.DecodeLenientFrom[Q](r.Body, maxMessageBytes)
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
