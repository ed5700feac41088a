// Package ranker orders names by rendezvous hashing.
//
// All nodes that know the same names compute the same order without communicating,
// and adding or removing a name does not reorder the others. This suffices to
// distribute work for which a short disagreement between nodes is harmless.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names sorted by their hash with key, highest first. It does not
// modify names.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the name with the highest hash, or "" if there are no names.
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
