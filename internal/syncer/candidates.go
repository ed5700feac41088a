package syncer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/ranker"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// maxCandidates is the number of highest-ranked nodes that may hold the
	// lease. The holder is searched for among them.
	maxCandidates = 3
	// noHolderTimeout is the time without an answer from a holder after which
	// more nodes become candidates, because all candidates may be gone for good.
	// It is longer than a takeover.
	noHolderTimeout = 4 * time.Second
	// wideningInterval is the time after which the number of candidates doubles
	// again. If all nodes became candidates at once, the reads of the lease by a
	// large fleet would overload the store.
	wideningInterval = 2 * time.Second
)

// candidateNames returns the names of the nodes that may hold the lease, highest
// rank first: maxCandidates of the capable nodes that are not partitioned and, without
// a holder for longer than noHolderTimeout, twice as many after each
// wideningInterval, which may include all nodes.
func (c *Controller) candidateNames(now time.Time) []string {
	ranked := ranker.Rank(c.Lease, nodeNames(surveyor.CapableNodes(c.Nodes)))
	count := maxCandidates
	waited := now.Sub(later(c.HolderExchangeAt, c.NodesKnownAt))
	if !c.Holding && !c.NodesKnownAt.IsZero() && waited > noHolderTimeout {
		for ; waited > noHolderTimeout && count < len(c.Nodes)+1; waited -= wideningInterval {
			count *= 2
		}
		others := slices.DeleteFunc(nodeNames(c.Nodes), func(name string) bool { return slices.Contains(ranked, name) })
		if !slices.Contains(ranked, c.Node) && !slices.Contains(others, c.Node) {
			others = append(others, c.Node)
		}
		ranked = append(ranked, ranker.Rank(c.Lease, others)...)
	} else {
		ranked = c.withoutPartitioned(ranked)
	}
	if len(ranked) == 0 {
		return []string{c.Node}
	}
	return ranked[:min(count, len(ranked))]
}

// withoutPartitioned returns the nodes that reach the replicas, or all if none does.
func (c *Controller) withoutPartitioned(ranked []string) []string {
	reaching := slices.DeleteFunc(slices.Clone(ranked), func(name string) bool { return slices.Contains(c.Partitioned, name) })
	if len(reaching) == 0 {
		return ranked
	}
	return reaching
}

func nodeNames(nodes []surveyor.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}

// updateCandidates returns a SetCandidates effect if this node's candidacy or the
// set of candidates has changed.
func (c *Controller) updateCandidates(now time.Time) []Effect {
	if c.Nodes == nil {
		return nil
	}
	names := c.candidateNames(now)
	if len(names) > maxCandidates && slices.Contains(names, c.Node) {
		// The leaser considers only the highest-ranked names.
		names = []string{c.Node}
	}
	if slices.Equal(names, c.Candidates) {
		return nil
	}
	c.Candidates = names
	return []Effect{SetCandidates{Names: names, Candidate: slices.Contains(names, c.Node)}}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
