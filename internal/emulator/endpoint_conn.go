package emulator

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endpointListener accepts the connections of an endpoint and tracks the open
// ones, so that they can be made silent.
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

// silenceOpen makes all open connections silent except one, which may be nil.
func (l *endpointListener) silenceOpen(except *endpointConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		if conn != except {
			conn.silent.Store(true)
		}
	}
}

// closeAll closes all open connections, including silent ones.
func (l *endpointListener) closeAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for conn := range l.open {
		_ = conn.Conn.Close()
	}
}

// release reports whether a connection that the server closes may be closed, and
// stops tracking it if so. Silent connections stay open until closeAll.
func (l *endpointListener) release(conn *endpointConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn.silent.Load() && !l.closed {
		return false
	}
	delete(l.open, conn)
	return true
}

// endpointConn is a connection that can be made silent: it then permanently stops
// delivering data, but stays open and accepts what the peer sends.
type endpointConn struct {
	net.Conn
	listener *endpointListener
	// id identifies a connection of the listener. The peer's port does not,
	// because ports are reused.
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

// Close implements net.Conn. A silent connection stays open until the peer
// closes it, because the peer would otherwise read an end of file.
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

// silenceConnection makes a request's connection silent. Without an
// EndpointServer it blocks until the caller disconnects.
func silenceConnection(r *http.Request) {
	if conn, ok := r.Context().Value(endpointConnKey{}).(*endpointConn); ok {
		conn.silent.Store(true)
		return
	}
	<-r.Context().Done()
}

// silenceOtherConnections makes all connections of the endpoint silent except
// the request's own.
func silenceOtherConnections(r *http.Request) {
	if conn, ok := r.Context().Value(endpointConnKey{}).(*endpointConn); ok {
		conn.listener.silenceOpen(conn)
	}
}

// abortConnection closes the connection of the current request without
// completing the response. It does not return.
func abortConnection() { panic(http.ErrAbortHandler) }
