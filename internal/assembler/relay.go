package assembler

import (
	"context"
	"net"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/relayer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// relayLists are the last lists that the relayer got. Each is used by the effects of one task
// only.
type relayLists struct {
	replicas []relayer.Replica
	peers    []relayer.Peer
}

// createRelayer creates the relayer, and the carrier for the relayers of other nodes. It returns
// the function that closes the carrier's connections.
func (n *Node) createRelayer(dialer *net.Dialer) func() {
	n.relayer = relayer.New(relayer.Settings{
		Clock:     n.clock,
		Seed:      seed(n.self.RunID),
		Dial:      dialer.DialContext,
		DialPeer:  n.peers.Relay,
		CloseIdle: n.closeIdle,
		Count:     n.countRelay,
		Log:       n.logRelayerNote,
		LogError:  func(err error) { n.logPostError("relayer", err) },
	})
	carrier, closeCarrier := relayer.NewCarrier(relayer.CarrierSettings{
		Clock:       n.clock,
		Connections: n.acceptor.Capacity(),
		Ways:        n.relayer,
		Dial:        dialer.DialContext,
		Admit:       n.admitRelay,
		Count:       n.countRelay,
	})
	n.carrier = carrier
	return closeCarrier
}

// closeIdle closes the connections that are not of the current routes, among them those of other
// nodes to replicas that this one does not reach any more.
func (n *Node) closeIdle() {
	n.pool.CloseUnusable()
	if n.relayer.Partitioned() {
		n.carrier.Retire()
	}
}

// admitRelay returns an error if this node must not connect another one with the replica.
func (n *Node) admitRelay(ctx context.Context, replica relayer.Replica) error {
	if n.draining.Load() {
		return merry.New("the node shuts down")
	}
	return n.balancer.AdmitRelay(ctx, replica.ID, replica.Address)
}

// setRelayedReplicas passes the replicas to which requests may be sent to the relayer.
func (n *Node) setRelayedReplicas(listed []surveyor.Replica) {
	var replicas []relayer.Replica
	for _, replica := range listed {
		if !replica.Leaving && !replica.Evacuated {
			replicas = append(replicas, relayer.Replica{ID: replica.ID, Address: replica.Address, DataCentre: replica.DataCentre})
		}
	}
	if !slices.Equal(n.relays.replicas, replicas) {
		n.relays.replicas = replicas
		n.logPostError("relayer", n.relayer.Post(relayer.SetReplicas{Replicas: replicas}))
	}
}

// setRelayPeers passes the other nodes that serve callers to the relayer.
func (n *Node) setRelayPeers(callers []planner.Caller) {
	var peers []relayer.Peer
	for _, caller := range callers {
		if caller.PeerAddress != "" && caller.Address != n.self.CallerAddress {
			peers = append(peers, relayer.Peer{Address: caller.PeerAddress, DataCentre: caller.DataCentre})
		}
	}
	if !slices.Equal(n.relays.peers, peers) {
		n.relays.peers = peers
		n.logPostError("relayer", n.relayer.Post(relayer.SetPeers{Peers: peers}))
	}
}

func (n *Node) countRelay(result string) { n.meter.RecordChange("relayer", result) }

// logRelayerNote logs the beginning and the end of a partition.
func (n *Node) logRelayerNote(note relayer.Note) {
	n.meter.RecordChange("relayer", note.Text)
	n.logger.WithFields(logrus.Fields{"Replicas": note.Replicas, "LastedMs": note.Lasted.Milliseconds()}).Warn(note.Text)
}
