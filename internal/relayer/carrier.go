package relayer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/duplexer"
)

const (
	// carryTimeout is the time limit of a connect for another node. The answer must arrive before
	// that node gives up, also if it has first tried to connect directly.
	carryTimeout = 150 * time.Millisecond
	// carryBuffer is the number of bytes that are read at once. A relayed connection has one
	// buffer for each direction.
	carryBuffer = 8 << 10
	// carryShare is the part of the connections that a node accepts that may be relayed ones.
	carryShare = 4
	// carriedSilence is how long a replica has sent nothing more on a carried connection before
	// the connection is closed because this node is partitioned or shuts down. A sound replica
	// may be silent for over a second in the middle of an answer.
	carriedSilence = 2500 * time.Millisecond
	// unnoticedSilence is the same for connections of nodes that take no notices, which would
	// use them for another request meanwhile.
	unnoticedSilence = time.Second
	// minCarried is the smallest limit of relayed connections.
	minCarried = 8
)

// The results of requests of other nodes that are counted.
const (
	carried           = "connection carried"
	carryNotReached   = "not carried: replica not reached"
	carryNotAllowed   = "not carried: replica not allowed"
	carryFull         = "not carried: too many connections"
	carryPartitioned  = "not carried: partitioned"
	brokenConnections = "carried connection broken"
	retiredSilent     = "carried connection closed: silent"
)

// CarrierSettings configures a node's carrier.
type CarrierSettings struct {
	Clock clockwork.Clock
	// Connections is the number of connections that the node accepts.
	Connections int
	// Ways knows how this node reaches replicas.
	Ways *Task
	// Dial opens direct connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Admit returns an error if this node must not send requests to the replica, or does not
	// know it at this address.
	Admit func(ctx context.Context, replica Replica) error
	// Count counts connections by what became of them. It must not block.
	Count func(result string)
}

// Carrier connects other nodes with replicas.
type Carrier struct {
	settings CarrierSettings
	limit    int64
	open     atomic.Int64
	// closed ends when the carrier closes its connections.
	closed context.Context

	mutex   sync.Mutex
	carried map[*carriedConnection]struct{}
}

// carriedConnection is a connection between a node and a replica.
type carriedConnection struct {
	node, replica net.Conn
	clock         clockwork.Clock
	startedAt     time.Time
	// fromNode and fromReplica are when each last sent something, in nanoseconds since
	// startedAt.
	fromNode, fromReplica atomic.Int64
	// takesNotices is set if the node understands a retirement, and retired once it was sent.
	takesNotices bool
	retired      atomic.Bool
	// closed is set once the connection was closed because of silence.
	closed atomic.Bool
}

// NewCarrier returns a carrier and a function that closes its connections.
func NewCarrier(settings CarrierSettings) (*Carrier, func()) {
	closed, closeAll := context.WithCancel(context.Background())
	limit := int64(max(minCarried, settings.Connections/carryShare))
	return &Carrier{settings: settings, limit: limit, closed: closed, carried: map[*carriedConnection]struct{}{}}, closeAll
}

// Open returns the number of connections that are carried.
func (c *Carrier) Open() int64 { return c.open.Load() }

// Connect connects to a replica for another node. Its errors wrap ErrReplicaUnreachable or
// ErrPeerRefused. The returned function must be called when the connection is not used any
// more.
func (c *Carrier) Connect(ctx context.Context, replica Replica) (net.Conn, func(), error) {
	// A relayed connection never leads through a third node.
	if c.settings.Ways.Relayed(replica.Address) {
		return nil, nil, c.refuse(carryPartitioned)
	}
	if c.closed.Err() != nil || c.open.Add(1) > c.limit {
		c.open.Add(-1)
		return nil, nil, c.refuse(carryFull)
	}
	conn, err := c.dial(ctx, replica)
	if err != nil {
		c.open.Add(-1)
		return nil, nil, err
	}
	c.settings.Count(carried)
	return conn, func() {
		_ = conn.Close()
		c.open.Add(-1)
	}, nil
}

func (c *Carrier) refuse(result string) error {
	c.settings.Count(result)
	return merry.Wrap(ErrPeerRefused, merry.AppendMessage(result))
}

func (c *Carrier) dial(ctx context.Context, replica Replica) (net.Conn, error) {
	if err := c.settings.Admit(ctx, replica); err != nil {
		c.settings.Count(carryNotAllowed)
		return nil, merry.Wrap(ErrPeerRefused, merry.AppendMessagef("%v", err))
	}
	dialCtx, cancel := clockwork.WithTimeout(ctx, c.settings.Clock, carryTimeout)
	defer cancel()
	conn, err := c.settings.Dial(dialCtx, "tcp", replica.Address)
	if err != nil {
		c.settings.Count(carryNotReached)
		if ctx.Err() == nil {
			c.settings.Ways.RecordFailure(replica.Address)
		}
		return nil, merry.Wrap(ErrReplicaUnreachable, merry.AppendMessagef("%v", err))
	}
	return duplexer.New(conn), nil
}

// Lingerer is a connection that can be reset instead of closed.
type Lingerer interface{ SetLinger(seconds int) error }

// Carry copies bytes between a node and a replica until either closes its connection, and
// closes both. The bytes of the replica are framed, and the last frame is sent only if the
// replica has closed its connection in order. Otherwise, also if this process is killed, the
// node's connection is reset. takesNotices is set if the node understands a retirement.
func (c *Carrier) Carry(node, replica net.Conn, takesNotices bool) {
	carried := &carriedConnection{node: node, replica: replica, takesNotices: takesNotices, clock: c.settings.Clock, startedAt: c.settings.Clock.Now()}
	defer c.track(carried)()
	stop := context.AfterFunc(c.closed, carried.close)
	defer stop()
	defer carried.close()
	if err := resetOnClose(node, true); err != nil {
		c.settings.Count(brokenConnections)
		return
	}
	go func() {
		// After a failed write the node is read on: its close ends the connection, and until
		// then the answer of a replica that reads no more is passed on.
		if carried.copyBytes(replica, node, &carried.fromNode, 0) != nil {
			_ = carried.copyBytes(io.Discard, node, &carried.fromNode, 0)
		}
		_ = replica.Close()
	}()
	if carried.copyBytes(node, replica, &carried.fromReplica, frameHeadBytes) == nil {
		if _, err := node.Write(make([]byte, frameHeadBytes)); err == nil {
			_ = resetOnClose(node, false)
		}
	}
}

// track adds a connection to those that Retire considers, and returns the function that
// removes it.
func (c *Carrier) track(carried *carriedConnection) func() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.carried[carried] = struct{}{}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.carried, carried)
	}
}

// Retire asks the nodes to send no other request on their connections, and closes those on which
// the replica was the last to send something and has been silent since. It is called while this
// node is partitioned or shuts down: they are idle, and would swallow a request, or an answer has
// stopped.
func (c *Carrier) Retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for carried := range c.carried {
		limit := unnoticedSilence
		if carried.takesNotices {
			limit = carriedSilence
			carried.retire()
		}
		fromReplica := carried.fromReplica.Load()
		silence := carried.clock.Since(carried.startedAt) - time.Duration(fromReplica)
		if fromReplica > carried.fromNode.Load() && silence >= limit && !carried.closed.Swap(true) {
			c.settings.Count(retiredSilent)
			carried.close()
		}
	}
}

// retire sends a retirement to the node, once. It does not block: a node that reads slowly lets
// the write wait until the connection ends.
func (c *carriedConnection) retire() {
	if c.retired.Swap(true) {
		return
	}
	go func() { _, _ = c.node.Write(binary.BigEndian.AppendUint16(nil, retirement)) }()
}

func (c *carriedConnection) close() {
	_ = c.node.Close()
	_ = c.replica.Close()
}

// resetOnClose sets whether a connection is reset when it is closed.
func resetOnClose(conn net.Conn, reset bool) error {
	seconds := -1
	if reset {
		seconds = 0
	}
	lingerer, ok := conn.(Lingerer)
	if !ok {
		return merry.Errorf("connection of type %T cannot be reset", conn)
	}
	return merry.Wrap(lingerer.SetLinger(seconds))
}

// copyBytes copies until the end, for which it returns nil, and records when it has read. It uses
// a buffer of its own: io.Copy between TCP connections takes a pipe of the kernel, and with it
// two more descriptors, for each direction. If headBytes is not 0, it writes frames with heads of
// that size.
func (c *carriedConnection) copyBytes(to io.Writer, from io.Reader, lastRead *atomic.Int64, headBytes int) error {
	buffer := make([]byte, carryBuffer)
	for {
		n, err := from.Read(buffer[headBytes:])
		if n > 0 {
			lastRead.Store(int64(c.clock.Since(c.startedAt)))
			if headBytes > 0 {
				binary.BigEndian.PutUint16(buffer, uint16(n))
			}
			if _, err := to.Write(buffer[:headBytes+n]); err != nil {
				return merry.Wrap(err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return merry.Wrap(err)
		}
	}
}
