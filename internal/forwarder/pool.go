package forwarder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/duplexer"
)

const (
	// readBufferBytes fits the header and the first events of a response.
	readBufferBytes = 4 << 10
	// defaultKeepAlive is how long an idle connection is kept if the replica
	// does not specify it.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the replica closes an idle connection
	// the pool closes it, so that no request is sent while the replica closes
	// it.
	keepAliveMargin = 600 * time.Millisecond
	// maxIdleConnsPerAddress bounds the idle connections to a replica.
	maxIdleConnsPerAddress = 16
	// maxUnserved bounds the requests that a connection remembers. A replica with so many
	// refusals gets a new connection.
	maxUnserved = 8
)

// Connector opens connections to replicas. internal/relayer implements it.
type Connector interface {
	// Connect opens a connection to a replica. relayed reports that it leads through another
	// node. Nothing has reached the replica after an error.
	Connect(ctx context.Context, replica, address string) (conn net.Conn, relayed bool, err error)
	// Relayed reports whether the replica at an address is reached through other nodes only,
	// and Partitioned whether all replicas are.
	Relayed(address string) bool
	Partitioned() bool
	// RecordRead records that a replica has sent something on a direct connection, and
	// QuietFor returns the time since then.
	RecordRead()
	QuietFor() time.Duration
	// RecordSilence reports a replica that owes an answer on a direct connection and has sent
	// nothing for silenceTime. It must not block.
	RecordSilence(address string)
}

// Pool keeps idle connections to replicas. A connection has one owner at a
// time: an attempt, or the channel that holds it while it is idle.
type Pool struct {
	connector Connector
	clock     clockwork.Clock
	// idle maps an address to a channel of idle connections.
	idle sync.Map
	// buffers bounds what all attempts together hold of responses.
	buffers *BufferBudget
}

// connection is a connection to a replica that one attempt uses at a time.
type connection struct {
	net.Conn
	// reader buffers what is read through limited.
	reader  *bufio.Reader
	limited *limitedReader
	// relayed is set if the connection leads through another node.
	relayed bool
	// lastRead is when bytes were last received.
	lastRead activity
	// reused reports whether an earlier attempt has used the connection.
	reused bool
	// closeAt is the time from which an idle connection is not used any more.
	closeAt time.Time
	// unserved are the requests that were refused or failed on this connection. None of
	// them is sent on it again: all attempts of a request have one ID, so that a repetition
	// of the earlier response could not be distinguished from the response to the later
	// attempt.
	unserved []string
}

// NewPool returns an empty pool and a function that closes its idle connections.
// All attempts together hold at most bufferBytes of large responses.
func NewPool(connector Connector, clock clockwork.Clock, bufferBytes int64) (*Pool, func()) {
	pool := &Pool{connector: connector, clock: clock, buffers: NewBufferBudget(bufferBytes)}
	return pool, pool.closeIdle
}

// idleConnections returns the channel of idle connections to an address.
func (p *Pool) idleConnections(address string) chan *connection {
	if connections, ok := p.idle.Load(address); ok {
		return connections.(chan *connection)
	}
	connections, _ := p.idle.LoadOrStore(address, make(chan *connection, maxIdleConnsPerAddress))
	return connections.(chan *connection)
}

// get returns an idle connection on which nothing has been received and that has not
// carried the request before, or a new one. Its errors wrap ErrNotSent.
func (p *Pool) get(ctx context.Context, replica, address, request string) (*connection, error) {
	for {
		idle := p.pop(address)
		if idle == nil {
			break
		}
		if p.isUsable(idle, address) && !slices.Contains(idle.unserved, request) && idle.hasNoInput() {
			return idle, nil
		}
		idle.Close()
	}
	conn, relayed, err := p.connector.Connect(ctx, replica, address)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessagef("%v", err))
	}
	if !relayed {
		// The node that relays a connection distinguishes its ends itself.
		conn = duplexer.New(conn)
	}
	result := &connection{Conn: conn, relayed: relayed, lastRead: activity{clock: p.clock, since: p.clock.Now()}}
	result.limited = &limitedReader{source: &observedReader{connection: result, connector: p.connector}}
	result.reader = bufio.NewReaderSize(result.limited, readBufferBytes)
	return result, nil
}

// isUsable reports whether an idle connection is not too old and of the way that new ones to
// its replica would take. Connections of another way may be silent.
func (p *Pool) isUsable(idle *connection, address string) bool {
	return p.clock.Now().Before(idle.closeAt) && idle.relayed == p.connector.Relayed(address)
}

func (p *Pool) pop(address string) *connection {
	select {
	case conn := <-p.idleConnections(address):
		return conn
	default:
		return nil
	}
}

// put returns a connection to the pool after its response was read completely.
func (p *Pool) put(address string, conn *connection, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	keepAlive -= keepAliveMargin
	if keepAlive <= 0 || conn.isRetired() || len(conn.unserved) > maxUnserved || conn.reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
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

// closeIdleTo closes the idle connections to an address. It is called when a connection to the
// address has ended early or stopped responding, and at shutdown.
func (p *Pool) closeIdleTo(address string) {
	for conn := p.pop(address); conn != nil; conn = p.pop(address) {
		conn.Close()
	}
}

// CloseUnusable closes the idle connections that are too old or not of the way that new ones
// would take.
func (p *Pool) CloseUnusable() {
	p.idle.Range(func(key, _ any) bool {
		address := key.(string)
		for range maxIdleConnsPerAddress {
			idle := p.pop(address)
			if idle == nil {
				break
			}
			if !p.isUsable(idle, address) {
				idle.Close()
				continue
			}
			select {
			case p.idleConnections(address) <- idle:
			default:
				idle.Close()
			}
		}
		return true
	})
}

func (p *Pool) closeIdle() {
	p.idle.Range(func(address, _ any) bool {
		p.closeIdleTo(address.(string))
		return true
	})
}

// writeBuffers writes a request, in one system call if possible.
func (c *connection) writeBuffers(buffers *net.Buffers) (int64, error) {
	if duplex, ok := c.Conn.(*duplexer.Conn); ok {
		return duplex.WriteBuffers(buffers)
	}
	return buffers.WriteTo(c.Conn)
}

// isRetired reports whether the node through which the connection leads takes no other request
// on it.
func (c *connection) isRetired() bool {
	retirable, ok := c.Conn.(interface{ Retired() bool })
	return ok && retirable.Retired()
}

// hasNoInput reports whether nothing has been received on an idle connection:
// neither its end nor an unsolicited response.
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
