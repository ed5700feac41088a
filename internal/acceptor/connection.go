package acceptor

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// ErrRefused reports a connection that has exceeded a bound.
var ErrRefused = merry.Sentinel("connection refused")

// phase is what a connection waits for.
type phase int

const (
	// idle: the first byte of a head.
	idle phase = iota
	// readingHead: the rest of a head.
	readingHead
	// readingBody: the rest of a body.
	readingBody
	// answering: the end of a whole request that is in progress.
	answering
)

// connection is a client's connection with its bounds.
type connection struct {
	net.Conn
	acceptor *Acceptor
	id       uint64
	// listener is the one that accepted the connection.
	listener *listener
	address  string
	closed   atomic.Bool
	timer    clockwork.Timer

	mutex sync.Mutex
	phase phase
	// expiresAt is when the timer closes the connection.
	expiresAt time.Time
	// closing is why the connection is being closed, "" if it is not. A head that arrives
	// from then on is refused.
	closing Reason
	// since is when the connection was opened or its last request ended.
	since time.Time
	head  head
	// carried measures what arrived last of the request before. A request may arrive
	// together with the end of the one before, and its beginning is then in the buffer of
	// net/http.
	carried head
	// held is the memory in bytes that the head holds of the budget.
	held int64
	// read is the number of bytes of the request so far, and delivered that of the whole
	// requests.
	read, delivered int64
}

// Read implements net.Conn. It bounds the head of a request before net/http sees it.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	if reason := c.received(buffer[:n]); reason != "" {
		c.refuse(reason)
		// net/http answers other errors than those of a read with status 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrRefused}
	}
	return n, err
}

// received accounts for bytes that have arrived. It returns the reason for which the
// connection is refused, if any.
func (c *connection) received(data []byte) Reason {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing != "" && (c.phase == idle || c.phase == readingHead) {
		return c.closing
	}
	c.read += int64(len(data))
	limits := c.acceptor.limits()
	switch c.phase {
	case idle:
		c.phase, c.head = readingHead, head{}
		c.expireIn(limits.HeaderTimeout)
	case readingHead:
	default:
		c.carried = head{}
		c.carried.add(data)
		return ""
	}
	size, ended := c.head.add(data)
	switch {
	case c.head.bytes > limits.HeaderBytes+headAllowance:
		return HeadTooLong
	case !c.hold(headCost(c.head.bytes+c.carried.bytes, c.head.lines+c.carried.lines)):
		return NoMemory
	}
	if ended {
		c.head, c.carried = head{}, head{}
		c.carried.add(data[size:])
	}
	return ""
}

// hold sets the memory that the head holds. It reports false if the budget has no room.
func (c *connection) hold(bytes int64) bool {
	if c.closed.Load() || c.closing != "" || !c.acceptor.budget.resize(c.held, bytes) {
		return false
	}
	c.held = bytes
	if c.acceptor.budget.scarce() {
		c.acceptor.reportShortage()
	}
	return true
}

// begin records that net/http has read the head of a request, whose header holds the given
// numbers of bytes and lines. It reports false if the budget has no room.
func (c *connection) begin(bytes, lines int, hasBody bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.timer.Stop()
	c.phase = answering
	if hasBody {
		c.phase = readingBody
	}
	return c.hold(headCost(bytes, lines))
}

// completeBody records that the body of the request has been read. It reports false if the
// connection is being closed, so that the request could not be answered.
func (c *connection) completeBody() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == readingBody && c.closing != "" {
		return false
	}
	if c.phase == readingBody {
		c.phase = answering
	}
	return true
}

// end records that a request has been answered.
func (c *connection) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.release()
	c.phase, c.since = idle, c.acceptor.settings.Clock.Now()
	c.delivered, c.read = c.delivered+c.read, 0
	if !c.closed.Load() {
		c.expireIn(c.acceptor.limits().IdleTimeout)
	}
}

// expireIn sets the time after which the connection is closed.
func (c *connection) expireIn(timeout time.Duration) {
	c.expiresAt = c.acceptor.settings.Clock.Now().Add(timeout)
	c.timer.Reset(timeout)
}

// returned records that the handler of a request has returned and its header is not used
// any more.
func (c *connection) returned() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.release()
}

// release returns what the head holds.
func (c *connection) release() {
	c.acceptor.budget.resize(c.held, 0)
	c.held = 0
}

// expire closes the connection when its time is over.
func (c *connection) expire() {
	c.mutex.Lock()
	reason := Reason("")
	if raised := c.since.Add(c.acceptor.limits().IdleTimeout); c.phase == idle && raised.After(c.expiresAt) {
		c.expiresAt = raised
	}
	switch left := c.expiresAt.Sub(c.acceptor.settings.Clock.Now()); {
	case c.closed.Load(), c.closing != "", c.phase == readingBody, c.phase == answering:
	case left > 0:
		// The time was changed while the timer fired, or a new configuration allows more.
		c.timer.Reset(left)
	case c.phase == idle:
		reason = Idle
	default:
		reason = HeadTooSlow
	}
	if reason != "" {
		// A head that arrives from now on is not handled, since it could not be answered.
		c.closing = reason
	}
	c.mutex.Unlock()
	if reason != "" {
		c.acceptor.refused(reason, c.address)
		_ = c.Close()
	}
}

// evict closes the connection unless a whole request is in progress.
func (c *connection) evict(reason Reason) {
	c.mutex.Lock()
	evicted := c.phase != answering && c.closing == ""
	if evicted {
		c.closing = reason
	}
	c.mutex.Unlock()
	if evicted {
		c.acceptor.settings.Count(reason)
		_ = c.Close()
	}
}

// refusals are the answers to heads that are refused. None of the requests has run.
var refusals = map[Reason]string{
	HeadTooLong:       "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	NoMemory:          refusalFull,
	Idle:              refusalFull,
	MemoryScarce:      refusalFull,
	ConnectionsScarce: refusalFull,
}

const refusalFull = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the time in which a refusal is written. Earlier answers may still
// fill the buffers of the connection.
const refusalTimeout = 100 * time.Millisecond

// refuse answers a head that is not read to its end, and closes the connection.
func (c *connection) refuse(reason Reason) {
	c.mutex.Lock()
	counted := c.closing != ""
	c.closing = reason
	c.mutex.Unlock()
	if !counted {
		c.acceptor.refused(reason, c.address)
	}
	writeRefusal(c.acceptor.settings.Clock, c.Conn, refusals[reason])
	_ = c.Close()
}

// writeRefusal writes a refusal to a connection that is then closed.
func writeRefusal(clock clockwork.Clock, conn net.Conn, refusal string) {
	timer := clock.AfterFunc(refusalTimeout, func() { _ = conn.Close() })
	defer timer.Stop()
	_, _ = conn.Write([]byte(refusal))
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.timer.Stop()
	err := c.Conn.Close()
	c.mutex.Lock()
	if c.phase != answering && c.phase != readingBody {
		c.release()
	}
	c.mutex.Unlock()
	c.acceptor.remove(c)
	return err
}

// CloseWrite lets net/http end an answer before it closes the connection.
func (c *connection) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger lets a relayed connection be reset instead of closed.
func (c *connection) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return merry.Errorf("connection of type %T has no option for lingering", c.Conn)
}

// describe returns what the controller needs to know.
func (c *connection) describe(now time.Time) Connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Connection{
		ID: c.id, Address: c.address, Delivered: c.delivered, Waiting: now.Sub(c.since),
		Held: c.held, Received: c.read, Whole: c.phase == answering,
	}
}

// observe is called by http.Server with each new state of a connection.
func observe(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*connection); ok && state == http.StateIdle {
		c.end()
	}
}
