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
	// AddressLifetime is how long a caller may use the addresses of one response.
	AddressLifetime = 5 * time.Second
	// maxAddresses bounds the addresses in one response.
	maxAddresses = 3
	// maxLoadAge is how long a node's reported load is used. A node with an
	// older load, or none, is assumed to have defaultFreeCapacity.
	maxLoadAge          = 15 * time.Second
	defaultFreeCapacity = 0.5
	// minFreeCapacity is the free capacity that is assumed for a full node, so
	// that responses still contain addresses when all nodes are full.
	minFreeCapacity = 0.01
	// localWeightFactor multiplies the weight of nodes in the data centre of
	// the node that computes the response.
	localWeightFactor = 8
)

// Address is the address of an entry node that callers may connect to.
type Address struct {
	Address    string
	DataCentre string
}

// Addresses returns the addresses that a caller should connect to, best first.
// caller is any string that is stable for a caller, such as its IP address.
// Callers are distributed over the nodes by weighted rendezvous hashing: a node
// with twice the free capacity gets twice the callers, and a change of one
// node's weight moves callers only to or from that node.
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

// nodeWeight returns the rendezvous weight of a node, or 0 if callers must not
// be directed to it.
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

// rendezvousScore returns the weighted rendezvous score -weight/ln(u), where u
// in (0, 1) is uniform: the hash of caller and node.
func rendezvousScore(caller, node string, weight float64) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
