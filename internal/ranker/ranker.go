// Package ranker orders names by rendezvous hash.
//
// Every node that knows the same names computes the same order without
// talking to the others, and one name more or less moves no other name past
// its neighbours. That is enough to share out work in which a short
// disagreement does no harm.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in the order of their hash with key, best first. It
// does not change names.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the name with the best hash, or "" if there is none.
func First(key string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		switch w := weight(key, name); {
		case best == "", w > bestWeight, w == bestWeight && name < best:
			best, bestWeight = name, w
		}
	}
	return best
}

func weight(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
