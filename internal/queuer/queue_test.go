package queuer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// naiveQueue is a reference implementation of start-time fair queueing with ranks and
// without indexes: it scans all waiting requests for every decision.
type naiveQueue struct {
	now            time.Time
	oldestInterval int
	sinceOldest    int
	virtual        map[int]float64
	finish         map[string]float64 // by rank and workspace
	tags           map[string]float64 // by rank, lane and workspace, while backlogged
	waiting        []*waitingRequest
}

type waitingRequest struct {
	Attributes
	number int
}

func workspaceName(w *waitingRequest) string { return fmt.Sprint(w.Rank, "/", w.Workspace) }

func flowName(w *waitingRequest) string { return fmt.Sprint(w.Rank, "/", w.Lane, "/", w.Workspace) }

func (q *naiveQueue) push(w *waitingRequest) {
	name := flowName(w)
	if _, ok := q.tags[name]; !ok {
		q.tags[name] = max(q.virtual[w.Rank], q.finish[workspaceName(w)])
	}
	q.waiting = append(q.waiting, w)
}

func (q *naiveQueue) remove(w *waitingRequest) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *waitingRequest) bool { return other == w })
	if !slices.ContainsFunc(q.waiting, func(other *waitingRequest) bool { return flowName(other) == flowName(w) }) {
		delete(q.tags, flowName(w))
	}
}

func (q *naiveQueue) tag(w *waitingRequest) float64 {
	return max(q.tags[flowName(w)], q.finish[workspaceName(w)])
}

func (q *naiveQueue) isPromoted(w *waitingRequest) bool {
	return !w.PromoteAt.IsZero() && !w.PromoteAt.After(q.now)
}

// isBefore reports whether a request precedes another one of its flow.
func (q *naiveQueue) isBefore(w, other *waitingRequest) bool {
	if q.isPromoted(w) != q.isPromoted(other) {
		return q.isPromoted(w)
	}
	return w.Due.Before(other.Due)
}

// first returns the request of a flow that is served next.
func (q *naiveQueue) first(name string) *waitingRequest {
	var first *waitingRequest
	for _, w := range q.waiting {
		if flowName(w) == name && (first == nil || q.isBefore(w, first)) {
			first = w
		}
	}
	return first
}

func (q *naiveQueue) hasSeveralRanks() bool {
	return slices.ContainsFunc(q.waiting, func(w *waitingRequest) bool { return w.Rank != q.waiting[0].Rank })
}

func (q *naiveQueue) next(ready map[string]bool) *waitingRequest {
	if q.oldestInterval > 0 && q.sinceOldest == q.oldestInterval-1 && q.hasSeveralRanks() {
		for _, w := range q.waiting {
			if ready[w.Lane] {
				return w
			}
		}
	}
	var best *waitingRequest
	for _, w := range q.waiting {
		if !ready[w.Lane] || q.first(flowName(w)) != w {
			continue
		}
		if best == nil || w.Rank < best.Rank || w.Rank == best.Rank && (q.tag(w) < q.tag(best) || q.tag(w) == q.tag(best) && w.number < best.number) {
			best = w
		}
	}
	return best
}

func (q *naiveQueue) take(w *waitingRequest) {
	if q.oldestInterval > 0 && q.hasSeveralRanks() {
		q.sinceOldest = (q.sinceOldest + 1) % q.oldestInterval
	}
	start := q.tag(w)
	q.virtual[w.Rank] = max(q.virtual[w.Rank], start)
	q.finish[workspaceName(w)] = start + w.Cost/w.Weight
	q.tags[flowName(w)] = q.finish[workspaceName(w)]
	q.remove(w)
}

// pair is a queue with its reference implementation.
type pair struct {
	fast    *Queue[*waitingRequest]
	naive   *naiveQueue
	entries map[*waitingRequest]*Entry[*waitingRequest]
	ranks   int
}

// Guards against an indexed fair queue that serves requests in another order
// than the definition of start-time fair queueing, with one rank as in the scheduler.
func TestQueueMatchesNaiveQueue(t *testing.T) {
	tester.Check(t, 10, func(t *rapid.T) { checkAgainstNaive(t, 0, 1) })
}

// Guards against a less urgent request that is served before an urgent one, except for
// the share of dispatches that goes to the request that has waited longest.
func TestQueueWithRanksMatchesNaiveQueue(t *testing.T) {
	tester.Check(t, 10, func(t *rapid.T) { checkAgainstNaive(t, 4, 3) })
}

func checkAgainstNaive(t *rapid.T, oldestInterval, ranks int) {
	p := &pair{
		fast:    New[*waitingRequest](oldestInterval),
		naive:   &naiveQueue{now: time.Unix(90, 0), oldestInterval: oldestInterval, virtual: map[int]float64{}, finish: map[string]float64{}, tags: map[string]float64{}},
		entries: map[*waitingRequest]*Entry[*waitingRequest]{}, ranks: ranks,
	}
	number := 0
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "count") {
				number++
				w := p.drawWaiting(t, number)
				p.entries[w] = p.fast.Push(w, w.Attributes)
				p.naive.push(w)
			}
		},
		"remove": func(t *rapid.T) {
			if len(p.naive.waiting) == 0 {
				t.Skip("empty")
			}
			w := rapid.SampledFrom(p.naive.waiting).Draw(t, "which")
			p.fast.Remove(p.entries[w])
			p.naive.remove(w)
		},
		"take": p.take,
		"drain": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "count") {
				p.take(t)
			}
		},
		"advance": func(t *rapid.T) {
			p.naive.now = p.naive.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			p.fast.Advance(p.naive.now)
		},
	})
}

func (p *pair) drawWaiting(t *rapid.T, number int) *waitingRequest {
	workspace := rapid.IntRange(0, 4).Draw(t, "workspace")
	w := &waitingRequest{number: number, Attributes: Attributes{
		Workspace: fmt.Sprint("w", workspace),
		Weight:    float64(1 + workspace%3),
		Cost:      float64(rapid.IntRange(1, 8).Draw(t, "cost")),
		Rank:      rapid.IntRange(0, p.ranks-1).Draw(t, "rank"),
		Lane:      rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "lane"),
		Due:       time.Unix(int64(rapid.IntRange(100, 110).Draw(t, "due")), 0),
	}}
	if p.ranks > 1 && rapid.Bool().Draw(t, "promoted") {
		w.PromoteAt = p.naive.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "promotion")) * time.Second)
	}
	return w
}

func (p *pair) take(t *rapid.T) {
	ready := map[string]bool{}
	for _, lane := range []string{"", "a", "b"} {
		ready[lane] = rapid.IntRange(0, 3).Draw(t, "ready") > 0
	}
	entry := p.fast.Next(func(w *waitingRequest) bool { return ready[w.Lane] })
	want := p.naive.next(ready)
	switch {
	case entry == nil && want == nil:
		return
	case entry == nil || entry.Value != want:
		t.Fatalf("next is %+v; want %+v", entry, want)
	}
	p.fast.Serve(entry)
	p.naive.take(want)
	if p.fast.Waiting != len(p.naive.waiting) {
		t.Fatalf("%d wait; want %d", p.fast.Waiting, len(p.naive.waiting))
	}
}

// TestSecondsFit guards against waits that do not fit into a Duration, which are negative on
// some processors, so that a request would wait for what is out of reach.
func TestSecondsFit(t *testing.T) {
	for _, s := range []float64{1e12, math.Inf(1)} {
		if got := Seconds(s); got <= 0 || got > maxWaitTime {
			t.Errorf("%g s are %s", s, got)
		}
	}
}
