package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Settings describes an acceptor.
type Settings struct {
	Clock clockwork.Clock
	// Memory is the memory of the process in bytes, and Descriptors the number that it
	// may have open. 0 means unknown.
	Memory      int64
	Descriptors int
	// Limits returns the limits of the configuration in force. Those that it does not set
	// have defaults.
	Limits func() Limits
	// Count counts a connection that was refused or closed, and Log writes a line to the
	// log. They must not block.
	Count func(Reason)
	Log   func(Note)
}

// inboxSize is the number of messages that wait for the controller. Those that find no room
// are lines of the log, which are left out, and new connections, which are refused.
const inboxSize = 256

// shortageInterval is the least time between two reports of a shortage, each of which looks
// at all connections.
const shortageInterval = 20 * time.Millisecond

// Acceptor owns the connections of a node's listeners.
type Acceptor struct {
	settings Settings
	budget   *budget
	// capacity is the number of connections that all listeners hold.
	capacity int
	// sendBuffer is the number of bytes that the system buffers for a client.
	sendBuffer int
	task       *runner.Task[Message, Effect]
	// shortage is set for shortageInterval after a shortage was reported.
	shortage, bodyShortage atomic.Bool
	// fullUntil is the time until which the node counts as full, nil if it never was.
	fullUntil atomic.Pointer[time.Time]
	// failing is set after an attempt to accept has failed, until one succeeds.
	failing atomic.Bool

	mutex       sync.Mutex
	connections map[uint64]*connection
	nextID      uint64
}

// New returns an acceptor that does nothing before Run is called.
func New(settings Settings) *Acceptor {
	a := &Acceptor{
		settings:    settings,
		budget:      newBudget(settings.Memory),
		capacity:    maxConnections(settings.Descriptors, settings.Memory),
		connections: map[uint64]*connection{},
	}
	a.sendBuffer = sendBuffer(settings.Memory, a.capacity)
	a.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "acceptor",
		Clock:      settings.Clock,
		Controller: NewController(),
		Tick:       Tick{},
		Perform:    a.perform,
		InboxSize:  inboxSize,
	})
	return a
}

// Run runs the controller until ctx ends.
func (a *Acceptor) Run(ctx context.Context) error { return a.task.Run(ctx) }

// Full reports whether the node could not accept a connection lately.
func (a *Acceptor) Full() bool {
	until := a.fullUntil.Load()
	return a.failing.Load() || until != nil && a.settings.Clock.Now().Before(*until)
}

// Capacity returns the number of connections that all listeners hold.
func (a *Acceptor) Capacity() int { return a.capacity }

// Connections returns the number of open connections.
func (a *Acceptor) Connections() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.connections)
}

// HeadBytes returns the memory in bytes that the heads of all connections hold.
func (a *Acceptor) HeadBytes() int64 { return a.budget.held.Load() }

func (a *Acceptor) limits() Limits { return a.settings.Limits().withDefaults() }

func (a *Acceptor) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Close:
		a.mutex.Lock()
		c := a.connections[effect.ID]
		a.mutex.Unlock()
		if c != nil {
			c.evict(effect.Reason)
		}
	case Admit:
		handle.Reply(effect.Call, effect.Accepted)
	case SetFull:
		a.fullUntil.Store(&effect.Until)
	case Note:
		a.settings.Log(effect)
	}
}

// refused counts a connection that was refused or closed.
func (a *Acceptor) refused(reason Reason, address string) {
	a.settings.Count(reason)
	_ = a.task.Post(Refused{Reason: reason, Address: address})
}

// reportShortage asks the controller to free memory of heads. Reading does not wait for it.
func (a *Acceptor) reportShortage() {
	a.report(&a.shortage, Short{Excess: a.budget.held.Load() - a.budget.limit/2})
}

// FreeBodies asks the controller to close connections whose body has not arrived, until the
// given number of bytes is free. It does not wait.
func (a *Acceptor) FreeBodies(excess int64) {
	a.report(&a.bodyShortage, Short{Excess: excess, Bodies: true})
}

func (a *Acceptor) report(reported *atomic.Bool, message Short) {
	if !reported.CompareAndSwap(false, true) {
		return
	}
	a.settings.Clock.AfterFunc(shortageInterval, func() { reported.Store(false) })
	go func() {
		message.Connections = a.describe(nil)
		_ = a.task.Post(message)
	}()
}

// describe returns the open connections, of one listener or of all.
func (a *Acceptor) describe(of *listener) []Connection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.settings.Clock.Now()
	connections := make([]Connection, 0, len(a.connections))
	for _, c := range a.connections {
		if of == nil || c.listener == of {
			connections = append(connections, c.describe(now))
		}
	}
	return connections
}

func (a *Acceptor) add(l *listener, conn net.Conn) *connection {
	address, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		address = conn.RemoteAddr().String()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.nextID++
	c := &connection{Conn: conn, acceptor: a, listener: l, id: a.nextID, address: address, since: a.settings.Clock.Now()}
	timeout := a.limits().IdleTimeout
	c.expiresAt = c.since.Add(timeout)
	c.mutex.Lock()
	c.timer = a.settings.Clock.AfterFunc(timeout, c.expire)
	c.mutex.Unlock()
	a.connections[c.id] = c
	l.open++
	return c
}

func (a *Acceptor) remove(c *connection) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.connections, c.id)
	c.listener.open--
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// Attach lets a server report the requests on the connections of a listener of this
// acceptor. The bounds of the acceptor replace those of the server.
func (a *Acceptor) Attach(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.ConnState = observe
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	server.Handler = &handler{next: server.Handler}
}
