package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// errSealed reports a write to a connection that was given up unwritten.
var errSealed = merry.Sentinel("connection was given up before the first byte")

// The states of a connection.
const (
	stateUnwritten int32 = iota
	stateWritten
	stateSealed
)

// connection is a connection to an endpoint that knows whether a byte may
// have been written to it.
type connection struct {
	net.Conn
	state atomic.Int32
}

// Write implements net.Conn. The state changes before the first byte leaves.
func (c *connection) Write(data []byte) (int, error) {
	if c.state.Load() != stateWritten && !c.state.CompareAndSwap(stateUnwritten, stateWritten) && c.state.Load() != stateWritten {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// seal makes sure that nothing will be written, and returns false if something
// may have been written before. Asking without sealing would not be enough:
// net/http writes in another goroutine, which can start after RoundTrip
// returned.
func (c *connection) seal() bool {
	return c.state.CompareAndSwap(stateUnwritten, stateSealed) || c.state.Load() == stateSealed
}

// newTransport returns a transport for the endpoints' protocols.
func newTransport(settings Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		// A compressed stream would delay tokens.
		DisableCompression:  true,
		IdleConnTimeout:     settings.IdleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
	}
}

// newOnceTransport returns a transport that opens a connection for every call.
// net/http sends a request again by itself only if the connection was used
// before (persistConn.shouldRetryRequest), even if nothing else forbids it: an
// Idempotency-Key header on a request without a body counts as permission. A
// connection that is never reused rules that out.
func newUnpooledTransport(settings Settings) *http.Transport {
	transport := newTransport(settings)
	transport.DisableKeepAlives = true
	return transport
}

// sending follows the connections that an attempt uses.
type connectionTracker struct {
	connections []*connection
}

// trace makes net/http report the attempt's connections. GotConn runs in the
// goroutine that calls RoundTrip, before the request can be written.
func (s *connectionTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*connection); ok {
				s.connections = append(s.connections, conn)
			}
		},
	})
}

// notSent says whether certainly no byte of the attempt was or will be
// written. A connection that was used before is never certain.
func (s *connectionTracker) notSent() bool {
	for _, conn := range s.connections {
		if !conn.seal() {
			return false
		}
	}
	return true
}
