package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/validator"
)

// errSealed reports a write to a connection that was sealed before its first
// byte was written.
var errSealed = merry.Sentinel("connection was sealed before its first byte was written")

// The states of a connection.
const (
	stateUnwritten int32 = iota
	stateWritten
	stateSealed
)

// connection is a connection to an endpoint that records whether a byte may
// have been written to it.
type connection struct {
	net.Conn
	state atomic.Int32
}

// Write implements net.Conn. The state changes before the first byte is sent.
func (c *connection) Write(data []byte) (int, error) {
	if c.state.Load() != stateWritten && !c.state.CompareAndSwap(stateUnwritten, stateWritten) && c.state.Load() != stateWritten {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// seal prevents all further writes if none has started. It returns false if
// something may have been written already. Reading the state without sealing
// would not be enough: net/http writes in another goroutine, which can start
// after RoundTrip has returned.
func (c *connection) seal() bool {
	return c.state.CompareAndSwap(stateUnwritten, stateSealed) || c.state.Load() == stateSealed
}

// newTransport returns a transport that reuses connections to endpoints.
func newTransport(settings Settings) validator.Transport {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	return validator.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		// A compressed stream would delay tokens.
		DisableCompression:     true,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		IdleConnTimeout:        settings.IdleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
	})
}

// newUnpooledTransport returns a transport that opens a new connection for each
// call. net/http repeats a request on its own only if the connection was used
// before (persistConn.shouldRetryRequest), even if nothing else forbids the
// repetition: it takes an Idempotency-Key header on a request without a body as
// permission. A connection that is never reused rules that out.
func newUnpooledTransport(settings Settings) validator.Transport {
	transport := newTransport(settings)
	transport.DisableKeepAlives = true
	return transport
}

// connectionTracker records the connections that an attempt uses.
type connectionTracker struct {
	connections []*connection
	// reused reports whether another attempt has used the latest connection.
	reused bool
}

// trace returns a context with which net/http reports the attempt's
// connections. GotConn runs in the goroutine that calls RoundTrip, before the
// request can be written.
func (t *connectionTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := validator.Underlying(info.Conn).(*connection); ok {
				t.connections, t.reused = append(t.connections, conn), info.Reused
			}
		},
	})
}

// notSent reports whether it is certain that no byte of the attempt was or will
// be written. It is never certain on a reused connection.
func (t *connectionTracker) notSent() bool {
	for _, conn := range t.connections {
		if !conn.seal() {
			return false
		}
	}
	return true
}
