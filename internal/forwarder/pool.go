package forwarder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// readBuffer holds the header and the first events of an answer.
	readBufferBytes = 4 << 10
	// defaultKeep is how long a connection is kept if the replica does not say.
	defaultKeepAlive = 4 * time.Second
	// keepMargin ends a kept connection before the replica closes it, so that
	// a request does not cross the close.
	keepAliveMargin = 600 * time.Millisecond
	// maxIdlePerAddress bounds the kept connections to a replica.
	maxIdleConnsPerAddress = 16
	// dialTimeout is far above the time of a new connection, and below the
	// time after which a lost opening packet is sent again.
	dialTimeout = 350 * time.Millisecond
)

// Pool keeps idle connections to replicas. A connection has one owner at a
// time: an attempt, or the channel that hands it to the next one.
type Pool struct {
	dialer *net.Dialer
	clock  clockwork.Clock
	// idle holds a channel of connections by address.
	idle sync.Map
}

// connection is a connection to a replica that one attempt uses at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused says that an earlier attempt has used the connection.
	reused bool
	// until is when an idle connection is closed.
	closeAt time.Time
}

// NewPool returns an empty pool and a function that closes what is idle.
func NewPool(dialer *net.Dialer, clock clockwork.Clock) (*Pool, func()) {
	pool := &Pool{dialer: dialer, clock: clock}
	return pool, pool.closeIdle
}

// waiting returns the idle connections to an address.
func (p *Pool) idleConnections(address string) chan *connection {
	if found, ok := p.idle.Load(address); ok {
		return found.(chan *connection)
	}
	found, _ := p.idle.LoadOrStore(address, make(chan *connection, maxIdleConnsPerAddress))
	return found.(chan *connection)
}

// get returns an idle connection on which nothing has arrived, or a new one.
// Its errors are ErrNotSent.
func (p *Pool) get(ctx context.Context, address string) (*connection, error) {
	for {
		idle := p.pop(address)
		if idle == nil {
			break
		}
		if p.clock.Now().Before(idle.closeAt) && idle.hasNoInput() {
			return idle, nil
		}
		idle.Close()
	}
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, dialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessagef("%v", err))
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

func (p *Pool) pop(address string) *connection {
	select {
	case conn := <-p.idleConnections(address):
		return conn
	default:
		return nil
	}
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(address string, conn *connection, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	keepAlive -= keepAliveMargin
	if keepAlive <= 0 || conn.reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	conn.reused = true
	conn.closeAt = p.clock.Now().Add(keepAlive)
	select {
	case p.idleConnections(address) <- conn:
	default:
		conn.Close()
	}
}

// drop closes the idle connections to an address, after one of them was found
// silent or broken.
func (p *Pool) closeIdleTo(address string) {
	for conn := p.pop(address); conn != nil; conn = p.pop(address) {
		conn.Close()
	}
}

func (p *Pool) closeIdle() {
	p.idle.Range(func(address, _ any) bool {
		p.closeIdleTo(address.(string))
		return true
	})
}

// isQuiet says that nothing has arrived on an idle connection: neither its end
// nor an answer that nobody asked for.
func (c *connection) hasNoInput() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noInput
}
