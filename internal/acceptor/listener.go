package acceptor

import (
	"context"
	"net"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Share is the part of all connections that one listener may hold, so that a crowd at one
// leaves room at the others.
type Share float64

// The shares of the listeners of a node. A holder of the placement lease has a connection
// of each other node.
const (
	Callers   Share = 3.0 / 4
	Peers     Share = 1.0 / 2
	Directory Share = 1.0 / 4
	Readiness Share = 1.0 / 16
)

// minShare is the smallest number of connections of a listener.
const minShare = 8

// listener accepts connections and bounds their number.
type listener struct {
	net.Listener
	acceptor *Acceptor
	capacity int
	// open is the number of open connections. The acceptor's mutex guards it.
	open int
}

// Listen returns a listener whose connections have the bounds of the acceptor.
func (a *Acceptor) Listen(inner net.Listener, share Share) net.Listener {
	return &listener{Listener: inner, acceptor: a, capacity: max(minShare, int(float64(a.capacity)*float64(share)))}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.acceptor.failing.Store(isScarce(err))
			if isScarce(err) {
				l.acceptor.refused(AcceptFailed, "")
			}
			return nil, err
		}
		l.acceptor.failing.Store(false)
		if l.admit(conn) {
			l.acceptor.limitSendBuffer(conn)
			return l.acceptor.add(l, conn), nil
		}
		// Nothing of the connection has been read, so no request has run.
		writeRefusal(l.acceptor.settings.Clock, conn, refusalFull)
		_ = conn.Close()
	}
}

// isScarce reports whether an attempt to accept has failed for want of descriptors or
// memory. net/http tries again after such an error.
func isScarce(err error) bool {
	temporary, ok := err.(interface{ Temporary() bool })
	return ok && temporary.Temporary()
}

// admit reports whether there is room for a new connection. If there is none, others are
// closed.
func (l *listener) admit(conn net.Conn) bool {
	a := l.acceptor
	a.mutex.Lock()
	listenerFull, allFull := l.open >= l.capacity, len(a.connections) >= a.capacity
	a.mutex.Unlock()
	if !listenerFull && !allFull {
		return true
	}
	of := l
	if !listenerFull {
		of = nil
	}
	address, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	ask := func(call runner.Call) Message {
		return Crowded{Call: call, Address: address, Connections: a.describe(of)}
	}
	accepted, err := runner.Ask[bool](context.Background(), a.task, ask, nil)
	if err != nil || !accepted {
		a.settings.Count(Full)
		return false
	}
	return true
}
