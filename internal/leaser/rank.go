package leaser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes that come first for a key by rendezvous hash, at
// most count of them. When a node joins or leaves, only the ranks below its
// own change, so that nodes with slightly different views mostly agree.
func Rank(key string, nodes []string, count int) []string {
	type scored struct {
		node  string
		score uint64
	}
	ranked := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		ranked = append(ranked, scored{node, xxhash.Sum64String(key + "\x00" + node)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	first := make([]string, 0, count)
	for _, entry := range ranked[:min(count, len(ranked))] {
		first = append(first, entry.node)
	}
	return first
}
