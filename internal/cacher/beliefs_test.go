package cacher

import (
	"fmt"
	"testing"
	"time"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	model = ModelKey{Model: "m"}
)

// TestCachedTokens guards against parts that count without those before them, for another
// model or adapter, after a restart, or longer than they were confirmed.
func TestCachedTokens(t *testing.T) {
	b := NewBeliefs()
	parts := []Part{{"a", 300}, {"b", 500}, {"c", 40}}
	check := func(when string, now time.Time, key ModelKey, parts []Part, want int) {
		t.Helper()
		if got := b.CachedTokens(now, "r1", key, parts); got != want {
			t.Errorf("%s: %d tokens are cached, want %d", when, got, want)
		}
	}
	check("before", start, model, parts, 0)
	b.Confirm(start, "r1", 1, model, parts, 10_000)
	check("same prompt", start, model, parts, 840)
	check("other end", start, model, []Part{{"a", 300}, {"b", 500}, {"d", 40}}, 800)
	check("other beginning", start, model, []Part{{"x", 300}, {"b", 500}}, 0)
	check("longer part", start, model, []Part{{"a", 400}, {"b", 500}}, 300)
	check("adapter", start, ModelKey{"m", "x"}, parts, 0)
	check("old", start.Add(beliefTTL+1), model, parts, 0)
	b.Confirm(start, "r1", 2, model, parts[:1], 10_000)
	check("after a restart", start, model, parts, 300)
	b.Retain("r1", 2, func(string, string) bool { return false })
	check("after a release", start, model, parts, 0)
	if b.Len() != 0 {
		t.Errorf("%d parts remain", b.Len())
	}
}

// TestBeliefsAreBounded guards against parts beyond the capacity of a replica, against a first
// part that is forgotten before those that depend on it, and against unbounded memory.
func TestBeliefsAreBounded(t *testing.T) {
	b := NewBeliefs()
	b.Confirm(start, "r1", 1, model, []Part{{"a", 400}, {"b", 400}}, 1000)
	b.Confirm(start, "r1", 1, model, []Part{{"c", 300}}, 1000)
	if got := b.CachedTokens(start, "r1", model, []Part{{"a", 400}, {"b", 400}}); got != 400 {
		t.Errorf("%d tokens of the older beginning are cached, want its first part", got)
	}
	if got := b.CachedTokens(start, "r1", model, []Part{{"c", 300}}); got != 300 || b.Replicas["r1"].Tokens != 700 {
		t.Errorf("%d tokens of the newer beginning and %d of all are cached", got, b.Replicas["r1"].Tokens)
	}
	for i := range 3 * maxParts {
		b.Confirm(start, fmt.Sprintf("r%d", i%64), 1, model, []Part{{fmt.Sprint(i), 1}}, 1e9)
	}
	if kept := b.Replicas["r5"]; b.Len() > maxParts || kept.recent.Len() > maxReplicaParts {
		t.Errorf("%d parts, %d of one replica", b.Len(), kept.recent.Len())
	}
	for i := range 64 {
		b.Forget(fmt.Sprintf("r%d", i))
	}
	if b.Len() != 0 || len(b.Replicas) != 0 {
		t.Errorf("%d parts of %d replicas remain", b.Len(), len(b.Replicas))
	}
}
