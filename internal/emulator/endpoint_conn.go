package emulator

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endpointListener accepts the connections of an endpoint and keeps track of
// them, so that they can fall silent.
type endpointListener struct {
	net.Listener
	mutex  sync.Mutex
	lastID uint64
	open   map[*endpointConn]bool
	closed bool
}

func newEndpointListener(listener net.Listener) *endpointListener {
	return &endpointListener{Listener: listener, open: map[*endpointConn]bool{}}
}

// Accept implements net.Listener.
func (l *endpointListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastID++
	accepted := &endpointConn{Conn: conn, listener: l, id: l.lastID}
	l.open[accepted] = true
	return accepted, nil
}

// silenceOpen makes all open connections silent, except one that may be nil.
func (l *endpointListener) silenceOpen(except *endpointConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		if conn != except {
			conn.silent.Store(true)
		}
	}
}

// closeAll closes every connection, also silent ones.
func (l *endpointListener) closeAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for conn := range l.open {
		_ = conn.Conn.Close()
	}
}

// forget says whether a connection that the server closes is really closed.
func (l *endpointListener) release(conn *endpointConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn.silent.Load() && !l.closed {
		return false
	}
	delete(l.open, conn)
	return true
}

// endpointConn is a connection that can stop delivering data for good, while
// it stays open and accepts what the other side sends.
type endpointConn struct {
	net.Conn
	listener *endpointListener
	// number tells the connections of a listener apart, which their ports do
	// not: a port can be used again.
	id     uint64
	silent atomic.Bool
}

// Write implements net.Conn.
func (c *endpointConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn. A silent connection stays open until the other
// side closes it, since an end of file would not be silence.
func (c *endpointConn) Close() error {
	if c.listener.release(c) {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}

type endpointConnKey struct{}

// silenceEndpoint makes a request's connection silent. Without an
// EndpointServer it holds the request until the other side gives up.
func silenceConnection(r *http.Request) {
	if conn, ok := r.Context().Value(endpointConnKey{}).(*endpointConn); ok {
		conn.silent.Store(true)
		return
	}
	<-r.Context().Done()
}

// silenceOthers makes all connections of the endpoint but the request's own
// silent.
func silenceOtherConnections(r *http.Request) {
	if conn, ok := r.Context().Value(endpointConnKey{}).(*endpointConn); ok {
		conn.listener.silenceOpen(conn)
	}
}

// cutEndpoint closes a request's connection without a proper end of the
// answer.
func abortConnection() { panic(http.ErrAbortHandler) }
