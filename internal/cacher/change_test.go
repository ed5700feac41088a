package cacher

import (
	"fmt"
	"testing"
	"time"
)

// TestObserve guards against parts that count although the replica has removed them, against
// events that arrive after a later answer, and against a gap after which all remain.
func TestObserve(t *testing.T) {
	b, parts := NewBeliefs(), []Part{{"a", 400}, {"b", 300}, {"own", 90}}
	b.Read(start, "r1", 1, model, parts, 2, 10_000)
	if changes := b.Collect(); len(changes) != 2 || changes[0].ID != "a" || changes[1].ID != "b" {
		t.Errorf("reported: %v", changes)
	}
	check := func(when string, want, reported int) {
		t.Helper()
		if got := b.CachedTokens(start, "r1", model, parts); got != want {
			t.Errorf("%s: %d tokens are cached, want %d", when, got, want)
		}
		if changes := b.Collect(); len(changes) != reported {
			t.Errorf("%s: %d changes are reported, want %d: %v", when, len(changes), reported, changes)
		}
	}
	b.Observe(start, "r1", 1, []Event{{Model: "m", ID: "b"}, {Model: "m", ID: "unknown", Tokens: 900}, {Model: "x", ID: "a"}})
	check("after a removal", 400, 1)
	b.Observe(start, "r1", 1, []Event{{Model: "m", ID: "b", Tokens: 300}})
	check("read again", 790, 1)
	b.Observe(start, "r1", 0, []Event{{Model: "m", ID: "a"}})
	check("event of an earlier start", 790, 0)
	b.Drop("r1", 1)
	check("after a gap", 0, 2)
}

// TestExchange guards against nodes that do not learn of each other what replicas keep or no
// longer keep, against reports that are repeated although the holder has published them,
// and against a new holder that gets none.
func TestExchange(t *testing.T) {
	pool, version, now := &Pool{}, uint64(0), start
	a, b := NewBeliefs(), NewBeliefs()
	parts := []Part{{"a", 400}, {"b", 300}}
	exchange := func() (changes []Change) {
		now = now.Add(time.Second)
		pool.Record(now, a.Collect())
		pool.Record(now, b.Collect())
		if pool.Publish(now, version+1) {
			version++
			changes = pool.Since(version - 1)
		}
		for i := len(changes) - 1; i >= 0; i-- {
			a.Apply(now, changes[i], 10_000)
			b.Apply(now, changes[i], 10_000)
		}
		return changes
	}
	check := func(when string, want int, changes []Change, published int) {
		t.Helper()
		if got := b.CachedTokens(now, "r1", model, parts); got != want || len(changes) != published {
			t.Errorf("%s: %d tokens are cached, want %d; published %v", when, got, want, changes)
		}
	}
	a.Read(now, "r1", 1, model, parts, 2, 10_000)
	check("read", 700, exchange(), 2)
	now = now.Add(beliefTTL)
	a.Read(now, "r1", 1, model, parts, 2, 10_000)
	check("still used", 700, exchange(), 0)
	now = now.Add(refreshAge)
	a.Read(now, "r1", 1, model, parts, 2, 10_000)
	check("refreshed", 700, exchange(), 2)
	a.Observe(now, "r1", 1, []Event{{Model: "m", ID: "a"}})
	check("removed", 0, exchange(), 1)
	if full := pool.Since(0); len(full) != 1 || full[0].ID != "b" {
		t.Errorf("a new node gets %v", full)
	}
	pool, version = &Pool{}, 0
	a.ReportAgain()
	a.Read(now, "r1", 1, model, parts, 2, 10_000)
	check("new holder", 700, exchange(), 2)
	pool.Retain(now, func(change Change) bool { return change.ID == "a" })
	if full := pool.Since(0); len(full) != 1 || full[0].ID != "a" {
		t.Errorf("after a release a new node gets %v", full)
	}
}

// TestPoolIsBounded guards against states, reports or a holder that grow without a bound, and
// against changes that many nodes use and that wait behind others.
func TestPoolIsBounded(t *testing.T) {
	pool := &Pool{}
	change := func(i int) Change { return Change{Replica: "r1", Model: "m", ID: fmt.Sprint(i), Tokens: 500} }
	for i := range 3 * maxPoolEntries {
		pool.Record(start, []Change{change(i), {Replica: "r1", ID: "negative", Tokens: -1}})
	}
	for range 2 {
		pool.Record(start, []Change{change(maxPoolEntries - 1)})
	}
	now, published := start, 0
	for version := uint64(1); version <= 40; version++ {
		now = now.Add(100 * time.Millisecond)
		pool.Publish(now, version)
		changes := pool.Since(version - 1)
		if version == 1 && changes[len(changes)-1].ID != fmt.Sprint(maxPoolEntries-1) {
			t.Error("the change with most reports is not published first")
		}
		published += len(changes)
	}
	if most := publishBurst + 4*publishRate; published > most || len(pool.Entries) > maxPoolEntries {
		t.Errorf("%d changes published in 4 s, want at most %d; %d entries", published, most, len(pool.Entries))
	}
	if changes := pool.Since(1); len(changes) > maxStateChanges {
		t.Errorf("%d changes in a state", len(changes))
	}
}
