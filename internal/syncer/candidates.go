package syncer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// capableShare is the part of the largest capacity from which on a node
	// may hold the placement lease: a small machine or link would slow all
	// others.
	minCapacityShare = 0.7
	// leastCapable is the number of nodes that are enough to choose from.
	minLargeNodes = 3
	// orphanedAfter is how long a node hears no holder before it becomes a
	// candidate itself: the candidates may all be gone for good. It is above
	// the time of a takeover.
	noHolderTimeout = 4 * time.Second
)

// capable returns the names of the registered nodes, with this one, that may
// hold the placement lease.
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

// candidacy returns the effect that changes who may be a candidate, if it
// changes.
func (c *Controller) updateCandidates(now time.Time) []Effect {
	if c.Nodes == nil {
		return nil
	}
	names := capableNodes(c.Nodes, c.Node)
	if !c.Holding && now.Sub(later(c.HolderAskedAt, c.NodesKnownAt)) > noHolderTimeout {
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
