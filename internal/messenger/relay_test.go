package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/acceptor"
	"toucanhitch.example/toucanhitch/internal/relayer"
)

// relayTestTimeout fails a test whose connection stays open.
const relayTestTimeout = 5 * time.Second

// startRelayPeer serves relayed connections like a node, and returns its address and a function
// that closes the connections. The peer refuses replicas for which admit returns an error.
func startRelayPeer(t *testing.T, admit func(relayer.Replica) error) (string, func()) {
	t.Helper()
	_, peer, closeCarrier := newRelayPeer(t, admit)
	return peer, closeCarrier
}

func newRelayPeer(t *testing.T, admit func(relayer.Replica) error) (*relayer.Carrier, string, func()) {
	t.Helper()
	clock := clockwork.NewRealClock()
	dialer := &net.Dialer{}
	ways := relayer.New(relayer.Settings{Clock: clock, LogError: func(error) {}})
	carrier, closeCarrier := relayer.NewCarrier(relayer.CarrierSettings{
		Clock: clock, Ways: ways, Dial: dialer.DialContext, Count: func(string) {},
		Admit: func(_ context.Context, replica relayer.Replica) error { return admit(replica) },
	})
	connections := acceptor.New(acceptor.Settings{
		Clock: clock, Limits: func() acceptor.Limits { return acceptor.Limits{} }, Count: func(acceptor.Reason) {}, Log: func(acceptor.Note) {},
	})
	mux := http.NewServeMux()
	HandleRelay(mux, carrier)
	server := &http.Server{Handler: mux}
	connections.Attach(server)
	listener := listenLoopback(t)
	go func() { _ = server.Serve(connections.Listen(listener, acceptor.Peers)) }()
	t.Cleanup(func() { closeCarrier(); server.Close() })
	return carrier, listener.Addr().String(), closeCarrier
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// startReplica runs a function on each connection to a replica.
func startReplica(t *testing.T, run func(*net.TCPConn)) relayer.Replica {
	t.Helper()
	listener := listenLoopback(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go run(conn.(*net.TCPConn))
		}
	}()
	return relayer.Replica{ID: "r1", Address: listener.Addr().String()}
}

func admitAll(relayer.Replica) error { return nil }

// relay opens a connection through the peer.
func relay(t *testing.T, peer string, replica relayer.Replica) net.Conn {
	t.Helper()
	client, closeClient := NewClient(clockwork.NewRealClock())
	t.Cleanup(closeClient)
	conn, err := client.Relay(t.Context(), peer, replica)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(relayTestTimeout))
	return conn
}

// TestRelayedConnectionEndsLikeTheReplicas guards against an answer without a length that looks
// complete although the replica has reset its connection or the peer has ended.
func TestRelayedConnectionEndsLikeTheReplicas(t *testing.T) {
	for _, test := range []struct {
		name     string
		end      func(*net.TCPConn)
		complete bool
	}{
		{"replica closes", func(conn *net.TCPConn) { conn.Close() }, true},
		{"replica resets", func(conn *net.TCPConn) { _ = conn.SetLinger(0); conn.Close() }, false},
		{"peer ends", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan struct{})
			replica := startReplica(t, func(conn *net.TCPConn) {
				_, _ = io.ReadFull(conn, make([]byte, 4))
				_, _ = conn.Write([]byte("answer"))
				<-received
				if test.end != nil {
					test.end(conn)
				}
			})
			peer, endPeer := startRelayPeer(t, admitAll)
			conn := relay(t, peer, replica)
			if _, err := conn.Write([]byte("ask\n")); err != nil {
				t.Fatal(err)
			}
			answer := make([]byte, 6)
			if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "answer" {
				t.Fatalf("%q, %v", answer, err)
			}
			close(received)
			if test.end == nil {
				endPeer()
			}
			_, err := conn.Read(make([]byte, 1))
			if complete := errors.Is(err, io.EOF); complete != test.complete || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the connection ends with %v, complete should be %v", err, test.complete)
			}
		})
	}
}

// TestLeavingNodeClosesTheReplicasConnection guards against a replica that goes on with a request
// whose caller has gone, also while it sends its answer.
func TestLeavingNodeClosesTheReplicasConnection(t *testing.T) {
	for _, answers := range []bool{false, true} {
		closed := make(chan error, 1)
		replica := startReplica(t, func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, len("request")))
			for answers {
				if _, err := conn.Write(make([]byte, 1<<10)); err != nil {
					closed <- nil
					return
				}
				time.Sleep(time.Millisecond)
			}
			_ = conn.SetReadDeadline(time.Now().Add(relayTestTimeout))
			_, err := io.Copy(io.Discard, conn)
			closed <- err
		})
		peer, _ := startRelayPeer(t, admitAll)
		conn := relay(t, peer, replica)
		if _, err := conn.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		conn.Close()
		select {
		case err := <-closed:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the replica's connection stays open (answers: %v)", answers)
			}
		case <-time.After(relayTestTimeout):
			t.Errorf("the replica can write on (answers: %v)", answers)
		}
	}
}

// TestPartitionedPeerRetiresConnections guards against idle connections through a peer that is
// partitioned as well, on which requests are lost, and against the end of those on which a request
// waits for its answer, or on which a sound replica is silent for 1.5 s in the middle of an answer.
func TestPartitionedPeerRetiresConnections(t *testing.T) {
	goOn := make(chan struct{})
	replica := startReplica(t, func(conn *net.TCPConn) {
		request := make([]byte, 4)
		_, _ = io.ReadFull(conn, request)
		_, _ = conn.Write([]byte("answer"))
		if string(request) == "half" {
			<-goOn
			_, _ = conn.Write([]byte("second"))
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	carrier, peer, _ := newRelayPeer(t, admitAll)
	idle, waiting, paused := relay(t, peer, replica), relay(t, peer, replica), relay(t, peer, replica)
	for conn, request := range map[net.Conn]string{idle: "ask\n", waiting: "ask\n", paused: "half"} {
		_, _ = io.WriteString(conn, request)
		if _, err := io.ReadFull(conn, make([]byte, 6)); err != nil {
			t.Fatal(err)
		}
	}
	carrier.Retire()
	awaitInput(t, idle)
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		carrier.Retire()
	}
	close(goOn)
	if _, err := io.ReadFull(paused, make([]byte, 6)); err != nil {
		t.Errorf("an answer ends in the middle: %v", err)
	}
	if retirable, ok := paused.(interface{ Retired() bool }); !ok || !retirable.Retired() {
		t.Error("the connection may be used for another request after its answer")
	}
	if _, err := waiting.Write([]byte("ask\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	carrier.Retire()
	if _, err := idle.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the idle connection stays open: %v", err)
	}
	_ = waiting.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := waiting.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection on which a request waits ends: %v", err)
	}
}

// awaitInput waits until an idle connection has input, with which no request is sent on it.
func awaitInput(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(relayTestTimeout / 10); ; time.Sleep(time.Millisecond) {
		var n int
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if n > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Error("a request may still be sent on the idle connection")
			return
		}
	}
}

// TestPeerClosesIdleConnectionsOfOlderNodes guards against a retirement that a node of an older
// version takes for a frame, and against an idle connection of such a node, on which its next
// request would be lost.
func TestPeerClosesIdleConnectionsOfOlderNodes(t *testing.T) {
	clock, counted := clockwork.NewRealClock(), make(chan string, 1)
	carrier, closeCarrier := relayer.NewCarrier(relayer.CarrierSettings{
		Clock: clock, Ways: relayer.New(relayer.Settings{Clock: clock, LogError: func(error) {}}), Count: func(result string) { counted <- result },
	})
	defer closeCarrier()
	replica := startReplica(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("answer"))
		_, _ = io.Copy(io.Discard, conn)
	})
	accepted := make(chan net.Conn, 1)
	listener := listenLoopback(t)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	node, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	toReplica, err := net.Dial("tcp", replica.Address)
	if err != nil {
		t.Fatal(err)
	}
	go carrier.Carry(<-accepted, toReplica, false)
	_ = node.SetDeadline(time.Now().Add(relayTestTimeout))
	received := make([]byte, 8)
	if _, err := io.ReadFull(node, received); err != nil || string(received) != "\x00\x06answer" {
		t.Fatalf("%q, %v", received, err)
	}
	carrier.Retire()
	time.Sleep(1100 * time.Millisecond)
	carrier.Retire()
	if n, err := node.Read(received); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v; want the end of the connection", received[:n], err)
	}
	select {
	case result := <-counted:
		if result != "carried connection closed: silent" {
			t.Errorf("the end is counted as %q", result)
		}
	default:
		t.Error("the end is not counted")
	}
}

// TestPeerRefusesToRelay guards against a peer that is an open proxy, that relays without bound,
// or that does not tell a replica that it cannot reach from a refusal.
func TestPeerRefusesToRelay(t *testing.T) {
	replica := startReplica(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn); conn.Close() })
	gone := listenLoopback(t)
	gone.Close()
	crashed := relayer.Replica{ID: "crashed", Address: gone.Addr().String()}
	peer, _ := startRelayPeer(t, func(asked relayer.Replica) error {
		if asked != replica && asked != crashed {
			return errors.New("not listed")
		}
		return nil
	})
	client, closeClient := NewClient(clockwork.NewRealClock())
	defer closeClient()
	_, err := client.Relay(t.Context(), peer, relayer.Replica{ID: "r2", Address: replica.Address})
	if !errors.Is(err, relayer.ErrPeerRefused) {
		t.Errorf("a replica that is not listed: %v", err)
	}
	if _, err := client.Relay(t.Context(), peer, crashed); !errors.Is(err, relayer.ErrReplicaUnreachable) {
		t.Errorf("a replica that has crashed: %v", err)
	}
	if _, err := client.Relay(t.Context(), gone.Addr().String(), replica); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a peer that has crashed: %v", err)
	}
	var open []net.Conn
	for err = nil; err == nil && len(open) < 100; {
		var conn net.Conn
		if conn, err = client.Relay(t.Context(), peer, replica); err == nil {
			open = append(open, conn)
		}
	}
	if !errors.Is(err, relayer.ErrPeerRefused) {
		t.Fatalf("after %d connections: %v", len(open), err)
	}
	for _, conn := range open {
		conn.Close()
	}
	for deadline := time.Now().Add(relayTestTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := client.Relay(t.Context(), peer, replica)
		if err == nil {
			conn.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("connections that were closed still count: %v", err)
		}
	}
}
