package syncer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// minCapacityShare is the fraction of the largest node's capacity that a
	// node needs to hold the placement lease: a holder with a small machine or
	// link slows down all other nodes.
	minCapacityShare = 0.7
	// minLargeNodes is the number of large nodes below which all nodes may hold
	// the lease, whatever their capacity.
	minLargeNodes = 3
	// noHolderTimeout is the time without an answer from a holder after which a
	// node becomes a candidate itself, because all candidates may be gone for
	// good. It is longer than a takeover.
	noHolderTimeout = 4 * time.Second
)

// capableNodes returns the names of the nodes that may hold the placement
// lease, out of the registered nodes and, if it is not registered, this node.
func capableNodes(nodes []surveyor.Node, self string) []string {
	maxCapacity := 0.0
	for _, node := range nodes {
		maxCapacity = max(maxCapacity, node.Capacity)
	}
	var large, all []string
	for _, node := range nodes {
		all = append(all, node.Name)
		if node.Capacity >= minCapacityShare*maxCapacity {
			large = append(large, node.Name)
		}
	}
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	if len(large) < minLargeNodes {
		return all
	}
	return large
}

// updateCandidates returns a SetCandidates effect if the set of candidates has
// changed.
func (c *Controller) updateCandidates(now time.Time) []Effect {
	if c.Nodes == nil {
		return nil
	}
	names := capableNodes(c.Nodes, c.Node)
	if !c.Holding && now.Sub(later(c.HolderExchangeAt, c.NodesKnownAt)) > noHolderTimeout {
		names = []string{c.Node}
	}
	if slices.Equal(names, c.Candidates) {
		return nil
	}
	c.Candidates = names
	return []Effect{SetCandidates{Names: names}}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
