package tracker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/spreader"
)

const (
	// AddressLifetime is how long a caller may use an address answer.
	AddressLifetime = 5 * time.Second
	// maxAddresses is the number of addresses in an answer.
	maxAddresses = 3
	// maxLoadAge is how long a node's load counts; after it the node is
	// taken to have defaultFreeCapacity.
	maxLoadAge          = 15 * time.Second
	defaultFreeCapacity = 0.5
	// minFreeCapacity keeps a full node in the answers of a full fleet.
	minFreeCapacity = 0.01
	// localWeightFactor makes a node of the asked data centre this much likelier.
	localWeightFactor = 8
)

// Address is a place where callers may connect.
type Address struct {
	Address    string
	DataCentre string
}

// Addresses returns where a caller should connect, best first. asker is any
// text that stays the same for a caller, such as its IP number. Callers spread
// over the nodes by weighted rendezvous hash: a node with twice the free
// capacity gets twice the callers, and a change of one node's weight moves
// only callers to or from it.
func Addresses(now time.Time, fleet *Fleet, peers Peers, caller string) []Address {
	type scored struct {
		address Address
		score   float64
	}
	var candidates []scored
	for _, node := range fleet.Nodes {
		weight := nodeWeight(now, node, peers)
		if weight <= 0 {
			continue
		}
		address := Address{Address: node.Address, DataCentre: node.DataCentre}
		candidates = append(candidates, scored{address, rendezvousScore(caller, node.Name, weight)})
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address.Address, b.address.Address))
	})
	var addresses []Address
	for _, candidate := range candidates[:min(maxAddresses, len(candidates))] {
		addresses = append(addresses, candidate.address)
	}
	return addresses
}

// nodeWeight returns 0 for a node that callers must not be sent to.
func nodeWeight(now time.Time, node Instance, peers Peers) float64 {
	if node.Phase != Live {
		return 0
	}
	alive := node.Name == peers.Self.Name || slices.ContainsFunc(peers.Alive, func(peer spreader.Peer) bool {
		return peer.Name == node.Name
	})
	if !alive {
		return 0
	}
	weight := defaultFreeCapacity
	load, ok := peers.Loads[node.Name]
	if ok && now.Sub(load.Received) < maxLoadAge {
		if load.Draining || !load.Current {
			return 0
		}
		weight = max(load.Free, minFreeCapacity)
	}
	if node.DataCentre == peers.Self.DataCentre {
		weight *= localWeightFactor
	}
	return weight
}

// score is the weighted rendezvous score -weight/ln(u) of a uniform u in
// (0, 1).
func rendezvousScore(caller, node string, weight float64) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
