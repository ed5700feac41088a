package forwarder

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// partitionedConnector has lost the direct way to all replicas, which have long been silent.
type partitionedConnector struct{ relayedConnector }

func (*partitionedConnector) Partitioned() bool       { return true }
func (*partitionedConnector) QuietFor() time.Duration { return time.Hour }

// TestCheckAfterEndKeepsConnection guards against a check for a partition that begins as an
// exchange ends, and then closes the connection under the next exchange.
func TestCheckAfterEndKeepsConnection(t *testing.T) {
	conn, replica := net.Pipe()
	defer conn.Close()
	defer replica.Close()
	clock := clockwork.NewFakeClock()
	pool, closePool := NewPool(&partitionedConnector{}, clock, 1<<20)
	defer closePool()
	route := resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2}
	e := &exchange{
		pool: pool, attempt: Attempt{Forward: &filter.Forward{Route: route}},
		conn: &connection{Conn: conn, limited: &limitedReader{source: conn}, lastRead: activity{clock: clock, since: clock.Now()}},
	}
	e.partition.resumed = activity{clock: clock, since: clock.Now()}
	clock.Advance(time.Second)
	e.endSilence()
	e.partition.stop()
	e.checkPartition()
	go func() { _, _ = replica.Write([]byte("x")) }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection of the next exchange: %v", err)
	}
}

// retiredConn leads through a node that takes no other request on it.
type retiredConn struct{ net.Conn }

func (retiredConn) Retired() bool { return true }

// TestRetiredConnectionIsNotReused guards against a request that is sent through a node that is
// partitioned or shuts down, and is lost with the connection.
func TestRetiredConnectionIsNotReused(t *testing.T) {
	for _, retired := range []bool{false, true} {
		conn, replica := net.Pipe()
		defer replica.Close()
		pool, closePool := NewPool(&relayedConnector{}, clockwork.NewFakeClock(), 1<<20)
		defer closePool()
		kept := &connection{Conn: conn, reader: bufio.NewReader(conn)}
		if retired {
			kept.Conn = retiredConn{conn}
		}
		pool.put("10.0.0.1:1", kept, 0)
		if reused := pool.pop("10.0.0.1:1") != nil; reused == retired {
			t.Errorf("retired: %v, reused: %v", retired, reused)
		}
	}
}
