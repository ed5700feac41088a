package relayer

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Errors of connections through peers.
var (
	// ErrReplicaUnreachable reports that a peer does not reach the replica.
	ErrReplicaUnreachable = merry.Sentinel("replica is not reached")
	// ErrPeerRefused reports that a peer does not relay to the replica now.
	ErrPeerRefused = merry.Sentinel("peer does not relay")
	// ErrNoPeer reports that there is no peer to ask, or that none is asked because they did not reach
	// the replica just before.
	ErrNoPeer = merry.Sentinel("there is no peer to ask for the replica")
)

const (
	// dialTimeout is far above the time that it takes to open a connection, and below the
	// time after which a lost SYN packet is retransmitted.
	dialTimeout = 350 * time.Millisecond
	// relayDelay is the time after which a connect that is not done is tried through peers as
	// well.
	relayDelay = 100 * time.Millisecond
	// relayTimeout is the time limit of a connect through peers, and peerDelay the time after
	// which the next peer is asked as well.
	relayTimeout = 350 * time.Millisecond
	peerDelay    = 80 * time.Millisecond
	// maxUnreachable is the number of peers that must not reach a replica for the others not
	// to be asked.
	maxUnreachable = 3
)

// The results of connects that are counted.
const (
	resultRelayed = "connection relayed"
	resultFailed  = "connection not relayed"
)

// opened is the result of a connect.
type opened struct {
	conn net.Conn
	peer string
	err  error
}

// Connect opens a connection to a replica. relayed reports that it leads through a peer. It
// returns an error only if nothing has reached the replica.
func (t *Task) Connect(ctx context.Context, replica, address string) (conn net.Conn, relayed bool, err error) {
	target := Replica{ID: replica, Address: address}
	if t.Relayed(address) {
		conn, err = t.connectThroughPeer(ctx, target, time.Time{})
		return conn, true, err
	}
	return t.connectEither(ctx, target)
}

// connectEither connects directly and, if that fails or takes long, through a peer. Both together
// take no longer than a direct connect may.
func (t *Task) connectEither(ctx context.Context, target Replica) (net.Conn, bool, error) {
	startedAt := t.settings.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, dialTimeout)
	defer cancel()
	direct := start(func() opened {
		conn, err := t.dial(ctx, target.Address)
		return opened{conn: conn, err: err}
	})
	delay := t.settings.Clock.NewTimer(relayDelay)
	defer delay.Stop()
	var directErr error
	select {
	case result := <-direct:
		if result.err == nil {
			t.post(Reached{target.Address})
			return result.conn, false, nil
		}
		direct, directErr = nil, result.err
	case <-delay.Chan():
	}
	if ctx.Err() != nil {
		discard(direct)
		return nil, false, merry.Wrap(context.Cause(ctx))
	}
	relay := start(func() opened {
		conn, err := t.connectThroughPeer(ctx, target, startedAt)
		return opened{conn: conn, err: err}
	})
	for direct != nil || relay != nil {
		select {
		case result := <-direct:
			if result.err == nil {
				discard(relay)
				t.post(Reached{target.Address})
				return result.conn, false, nil
			}
			direct, directErr = nil, result.err
		case result := <-relay:
			if result.err == nil {
				discard(direct)
				return result.conn, true, nil
			}
			relay = nil
		}
	}
	return nil, false, directErr
}

// dial connects directly.
func (t *Task) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, dialTimeout)
	defer cancel()
	conn, err := t.settings.Dial(ctx, "tcp", address)
	return conn, merry.Wrap(err)
}

// connectThroughPeer connects through the first peer that is able to. If a direct connect that
// was begun at directAt has not succeeded, directAt is not zero.
func (t *Task) connectThroughPeer(ctx context.Context, target Replica, directAt time.Time) (net.Conn, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, relayTimeout)
	defer cancel()
	peers, err := runner.Ask[[]string](ctx, t.task, func(call runner.Call) Message { return Choose{Call: call, Address: target.Address} }, nil)
	if err != nil {
		return nil, err
	}
	results := make(chan opened, len(peers))
	asked, pending := 0, 0
	answered := map[string]bool{}
	var unreachable, silent []string
	lastErr := ErrNoPeer
	for asked < len(peers) || pending > 0 {
		if asked < len(peers) {
			peer := peers[asked]
			go func() {
				conn, err := t.settings.DialPeer(ctx, peer, target)
				results <- opened{conn, peer, err}
			}()
			asked, pending = asked+1, pending+1
		}
		result, ok := t.await(results, asked < len(peers))
		if !ok {
			continue
		}
		pending--
		answered[result.peer] = true
		switch {
		case result.err == nil:
			go discardAll(results, pending)
			// Peers that do not reach the replica, though another one does, are likely to be
			// partitioned as well. Those that were asked before may not answer at all.
			t.avoid(unreachable)
			t.avoid(slices.DeleteFunc(peers[:slices.Index(peers, result.peer)], func(peer string) bool { return answered[peer] }))
			t.settings.Count(resultRelayed)
			t.post(Relayed{Address: target.Address, Peer: result.peer, DirectFailed: !directAt.IsZero(), StartedAt: directAt})
			return result.conn, nil
		case errors.Is(ctx.Err(), context.Canceled):
			// The connection is not needed any more, which shows nothing about the peer.
		case errors.Is(result.err, ErrReplicaUnreachable):
			unreachable = append(unreachable, result.peer)
			if len(unreachable) == maxUnreachable {
				peers = peers[:asked]
			}
		case ctx.Err() != nil:
			silent = append(silent, result.peer)
		default:
			t.avoid([]string{result.peer})
		}
		lastErr = result.err
	}
	if len(unreachable) > 0 {
		// Those that have not answered yet wait for the same replica.
		t.post(Unreachable{target.Address})
	} else {
		t.avoid(silent)
	}
	t.settings.Count(resultFailed)
	return nil, merry.Wrap(lastErr)
}

// await returns the next result. If more peers may be asked, it returns false after peerDelay.
func (t *Task) await(results <-chan opened, mayAsk bool) (opened, bool) {
	if !mayAsk {
		return <-results, true
	}
	delay := t.settings.Clock.NewTimer(peerDelay)
	defer delay.Stop()
	select {
	case result := <-results:
		return result, true
	case <-delay.Chan():
		return opened{}, false
	}
}

// avoid reports peers that did not relay.
func (t *Task) avoid(peers []string) {
	for _, peer := range peers {
		t.post(PeerFailed{peer})
	}
}

// start runs a connect and returns the channel of its result.
func start(connect func() opened) chan opened {
	result := make(chan opened, 1)
	go func() { result <- connect() }()
	return result
}

// discard closes a connection that is opened too late. The channel may be nil.
func discard(result <-chan opened) {
	if result != nil {
		go discardAll(result, 1)
	}
}

func discardAll(results <-chan opened, count int) {
	for range count {
		if result := <-results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}
