package ranker_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/ranker"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestRemovingANameKeepsTheOrderOfTheOthers guards against orders that differ
// between nodes, and against a removed name that reorders the others, which would
// needlessly move relays and writers.
func TestRemovingANameKeepsTheOrderOfTheOthers(t *testing.T) {
	tester.Check(t, 3, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 1, 20, rapid.ID).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		ranked := ranker.Rank(key, names)
		if first := ranker.First(key, names); first != ranked[0] {
			t.Fatalf("First is %q, Rank starts with %q", first, ranked[0])
		}
		if got := ranker.Rank(key, rapid.Permutation(names).Draw(t, "shuffled")); !slices.Equal(got, ranked) {
			t.Fatalf("shuffled names are ranked %q; want %q", got, ranked)
		}
		removed := rapid.SampledFrom(names).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == removed })
		want := slices.DeleteFunc(slices.Clone(ranked), func(name string) bool { return name == removed })
		if got := ranker.Rank(key, rest); !slices.Equal(got, want) {
			t.Fatalf("without %q: %q; want %q", removed, got, want)
		}
	})
}
