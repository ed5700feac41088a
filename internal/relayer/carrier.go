package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
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
}

// NewCarrier returns a carrier and a function that closes its connections.
func NewCarrier(settings CarrierSettings) (*Carrier, func()) {
	closed, closeAll := context.WithCancel(context.Background())
	limit := int64(max(minCarried, settings.Connections/carryShare))
	return &Carrier{settings: settings, limit: limit, closed: closed}, closeAll
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
	return conn, nil
}

// Lingerer is a connection that can be reset instead of closed.
type Lingerer interface{ SetLinger(seconds int) error }

// Carry copies bytes between a node and a replica until either closes its connection, and
// closes both. The node's connection is closed in order only if the replica has done so.
// Otherwise, also if this process is killed, it is reset: an answer without a length ends with
// its connection, and would look complete.
func (c *Carrier) Carry(node, replica net.Conn) {
	stop := context.AfterFunc(c.closed, func() {
		_ = node.Close()
		_ = replica.Close()
	})
	defer stop()
	defer node.Close()
	defer replica.Close()
	if err := resetOnClose(node, true); err != nil {
		c.settings.Count(brokenConnections)
		return
	}
	go func() {
		// After a failed write the node is read on: its close ends the connection, and until
		// then the answer of a replica that reads no more is passed on.
		if copyBytes(replica, node) != nil {
			_ = copyBytes(io.Discard, node)
		}
		_ = replica.Close()
	}()
	if copyBytes(node, replica) == nil {
		_ = resetOnClose(node, false)
	}
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

// copyBytes copies until the end, for which it returns nil. It uses a buffer of its own: io.Copy between TCP connections
// takes a pipe of the kernel, and with it two more descriptors, for each direction.
func copyBytes(to io.Writer, from io.Reader) error {
	buffer := make([]byte, carryBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
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
