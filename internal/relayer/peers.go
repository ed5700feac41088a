package relayer

import (
	"math/rand/v2"
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
	states := make(map[string]PeerState, len(c.Peers))
	for _, peer := range c.Peers {
		states[peer.Address] = c.PeerStates[peer.Address]
	}
	c.PeerStates = states
}

// recordPeer records how a peer relays. Peers that were removed meanwhile are ignored.
func (c *Controller) recordPeer(address string, state PeerState) {
	if _, listed := c.PeerStates[address]; listed {
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
	var groups [4]sample
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
		groups[group].add(c.Random, peer.Address)
	}
	var peers []string
	for _, group := range groups {
		c.Random.Shuffle(len(group.addresses), func(i, j int) {
			group.addresses[i], group.addresses[j] = group.addresses[j], group.addresses[i]
		})
		peers = append(peers, group.addresses...)
	}
	return peers[:min(maxPeers, len(peers))]
}

// sample is a random sample of up to maxPeers of the addresses that were added.
type sample struct {
	added     int
	addresses []string
}

func (s *sample) add(random *rand.Rand, address string) {
	s.added++
	if len(s.addresses) < maxPeers {
		s.addresses = append(s.addresses, address)
	} else if i := random.IntN(s.added); i < maxPeers {
		s.addresses[i] = address
	}
}
