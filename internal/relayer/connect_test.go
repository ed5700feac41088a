package relayer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// network is a node's network without sockets. direct and peers determine the results of connects.
type network struct {
	direct func(ctx context.Context) error
	peers  map[string]func(ctx context.Context) error
	// dialled and asked count the direct connects and those through peers.
	dialled, asked atomic.Int32
}

func swallow(ctx context.Context) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

func refuse(context.Context) error      { return errors.New("connection refused") }
func accept(context.Context) error      { return nil }
func refuseRelay(context.Context) error { return ErrPeerRefused }
func crashed(context.Context) error     { return ErrReplicaUnreachable }

// pipe returns a connection after a connect that ended with err.
func pipe(err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// start runs a task that knows two replicas and the peers of the network.
func (n *network) start(t *testing.T) *Task {
	t.Helper()
	task := New(Settings{
		Clock: clockwork.NewRealClock(),
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			n.dialled.Add(1)
			return pipe(n.direct(ctx))
		},
		DialPeer: func(ctx context.Context, peer string, _ Replica) (net.Conn, error) {
			n.asked.Add(1)
			return pipe(n.peers[peer](ctx))
		},
		CloseIdle: func() {}, Count: func(string) {}, Log: func(Note) {}, LogError: func(err error) { t.Error(err) },
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- task.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	var peers []Peer
	for peer := range n.peers {
		peers = append(peers, Peer{Address: peer})
	}
	for _, message := range []Message{SetReplicas{[]Replica{{ID: "r1", Address: "1:1"}, {ID: "r2", Address: "2:1"}}}, SetPeers{peers}} {
		if err := task.Post(message); err != nil {
			t.Fatal(err)
		}
	}
	return task
}

func (n *network) connect(t *testing.T, task *Task, address string) (relayed bool, err error) {
	t.Helper()
	conn, relayed, err := task.Connect(t.Context(), "r", address)
	if err == nil {
		conn.Close()
	}
	return relayed, err
}

// TestConnectsThroughPeers guards against a partition of which each variant costs requests their
// time limit, and against connects that are tried directly once the partition is known.
func TestConnectsThroughPeers(t *testing.T) {
	for _, test := range []struct {
		name   string
		direct func(context.Context) error
		peers  map[string]func(context.Context) error
	}{
		{"swallowed", swallow, map[string]func(context.Context) error{"n1": accept}},
		{"refused", refuse, map[string]func(context.Context) error{"n1": accept}},
		{"peers refuse", refuse, map[string]func(context.Context) error{"n1": refuseRelay, "n2": refuseRelay, "n3": accept}},
		{"peers do not answer", refuse, map[string]func(context.Context) error{"n1": swallow, "n2": swallow, "n3": accept}},
		{"peers are partitioned", refuse, map[string]func(context.Context) error{"n1": crashed, "n2": crashed, "n3": accept}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := &network{direct: test.direct, peers: test.peers}
			task := n.start(t)
			for _, address := range []string{"1:1", "2:1"} {
				if relayed, err := n.connect(t, task, address); err != nil || !relayed {
					t.Fatalf("%s: relayed %v, %v", address, relayed, err)
				}
			}
			for deadline := time.Now().Add(time.Second); !task.Partitioned(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the partition is not found")
				}
			}
			dialled := n.dialled.Load()
			if relayed, err := n.connect(t, task, "1:1"); err != nil || !relayed || n.dialled.Load() != dialled {
				t.Errorf("relayed %v after %d more direct connects, %v", relayed, n.dialled.Load()-dialled, err)
			}
		})
	}
}

// TestCrashedReplicaIsNotAskedFor guards against each request to a crashed replica going through
// all peers.
func TestCrashedReplicaIsNotAskedFor(t *testing.T) {
	n := &network{direct: refuse, peers: map[string]func(context.Context) error{"n1": crashed, "n2": crashed}}
	task := n.start(t)
	for range 3 {
		if _, err := n.connect(t, task, "1:1"); err == nil {
			t.Error("connected to a crashed replica")
		}
	}
	if asked := n.asked.Load(); asked > 2 {
		t.Errorf("peers were asked %d times", asked)
	}
	if task.Partitioned() {
		t.Error("a crash is taken for a partition")
	}
}

// TestSilentReplicaIsNotAskedFor guards against connects to a replica that has crashed without
// closing its connections, each of which asks peers and takes them for silent.
func TestSilentReplicaIsNotAskedFor(t *testing.T) {
	slow := func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(carryTimeout):
			return ErrReplicaUnreachable
		}
	}
	n := &network{direct: swallow, peers: map[string]func(context.Context) error{"n1": slow, "n2": slow, "n3": slow, "n4": slow}}
	task := n.start(t)
	_, _ = n.connect(t, task, "1:1")
	asked := n.asked.Load()
	_, _ = n.connect(t, task, "1:1")
	if n.asked.Load() != asked || asked == 0 {
		t.Errorf("peers were asked %d times and then %d times more", asked, n.asked.Load()-asked)
	}
	_, _ = n.connect(t, task, "2:1")
	if n.asked.Load() == asked {
		t.Error("peers were not asked for another replica")
	}
}

// TestLeavingCallerEndsConnect guards against a connect that outlives its caller.
func TestLeavingCallerEndsConnect(t *testing.T) {
	n := &network{direct: swallow, peers: map[string]func(context.Context) error{"n1": swallow}}
	task := n.start(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(relayDelay+20*time.Millisecond, cancel)
	startedAt := time.Now()
	if _, _, err := task.Connect(ctx, "r1", "1:1"); err == nil || time.Since(startedAt) > dialTimeout {
		t.Errorf("ended after %v with %v", time.Since(startedAt), err)
	}
}
