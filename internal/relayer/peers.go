package relayer

import (
	"slices"
	"time"
)

const (
	// maxPeers is the number of peers that are tried for one connection. Peers that are
	// partitioned as well refuse at once.
	maxPeers = 6
	// peerAvoidance is how long a peer that did not relay is not asked again.
	peerAvoidance = time.Second
)

// PeerState is what is known of a peer.
type PeerState struct {
	// Relays is set if the last connection through the peer worked.
	Relays bool
	// AvoidUntil is the time until which the peer is not asked.
	AvoidUntil time.Time
}

func (c *Controller) setPeers(message SetPeers) {
	c.Peers = message.Peers
	states := make(map[string]PeerState, len(c.PeerStates))
	for _, peer := range c.Peers {
		if state, known := c.PeerStates[peer.Address]; known {
			states[peer.Address] = state
		}
	}
	c.PeerStates = states
}

// recordPeer records how a peer relays. Peers that were removed meanwhile are ignored, so that
// the states do not outgrow the list.
func (c *Controller) recordPeer(address string, state PeerState) {
	if slices.ContainsFunc(c.Peers, func(peer Peer) bool { return peer.Address == address }) {
		c.PeerStates[address] = state
	}
}

// choose returns the peers through which to connect to a replica: those in its data centre
// first, and among these, as among the others, those that have relayed first.
func (c *Controller) choose(now time.Time, address string) []string {
	replica := c.Replicas[address]
	if replica == nil || now.Before(replica.UnreachableUntil) {
		return nil
	}
	var groups [4][]string
	for _, peer := range c.Peers {
		state := c.PeerStates[peer.Address]
		if now.Before(state.AvoidUntil) {
			continue
		}
		group := 0
		if peer.DataCentre != replica.DataCentre {
			group = 2
		}
		if !state.Relays {
			group++
		}
		groups[group] = append(groups[group], peer.Address)
	}
	var peers []string
	for _, group := range groups {
		c.Random.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		peers = append(peers, group...)
	}
	return peers[:min(maxPeers, len(peers))]
}
