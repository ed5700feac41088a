package assembler

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSilentPeerKeepsItsConnection guards against a sound peer that is silent for a second or
// so and loses its connections, and with them the requests that wait for it: a single
// keep-alive probe without an answer, or data that is acknowledged late, closed them.
func TestSilentPeerKeepsItsConnection(t *testing.T) {
	const silence = 1500 * time.Millisecond
	for _, test := range []struct {
		name string
		// before is the time without data until the peer falls silent.
		before time.Duration
		writes bool
	}{
		{"keep-alive probe", keepAliveIdle - 250*time.Millisecond, false},
		{"data", 0, true},
	} {
		for _, dialed := range []bool{false, true} {
			name := test.name + ", accepted"
			if dialed {
				name = test.name + ", dialed"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				conn, peer := connect(t, dialed)
				time.Sleep(test.before)
				setSilent(t, peer, true)
				if test.writes {
					if _, err := conn.Write([]byte("x")); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(silence)
				setSilent(t, peer, false)
				time.Sleep(2 * time.Second)
				if _, err := peer.Write([]byte("y")); err != nil {
					t.Fatal(err)
				}
				_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
					t.Errorf("the connection has ended: %v", err)
				}
			})
		}
	}
}

// connect returns a connection as the node dials or accepts it, and its other end.
func connect(t *testing.T, dialed bool) (net.Conn, *net.TCPConn) {
	listener, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	outgoing, err := newDialer().DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	incoming, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { outgoing.Close(); incoming.Close() })
	conn, peer := incoming, outgoing
	if dialed {
		conn, peer = outgoing, incoming
	}
	// The peer must not give up by itself.
	tcp := peer.(*net.TCPConn)
	_ = tcp.SetKeepAlive(false)
	control(t, tcp, func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0) })
	return conn, tcp
}

// setSilent lets the system drop all packets that arrive for a connection, so that none is
// acknowledged, or takes them again.
func setSilent(t *testing.T, conn *net.TCPConn, silent bool) {
	control(t, conn, func(fd int) error {
		if !silent {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
}

func control(t *testing.T, conn *net.TCPConn, set func(fd int) error) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = set(int(fd)) }); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
}
