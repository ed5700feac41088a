package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// naiveQueue is a reference implementation of start-time fair queueing without
// indexes: it scans all waiting requests for every decision.
type naiveQueue struct {
	virtual float64
	finish  map[string]float64
	tags    map[string]float64 // by lane and workspace, while backlogged
	waiting []*WaitingRequest
}

func flowName(w *WaitingRequest) string {
	return fmt.Sprint(laneKey(w.Admission), w.Admission.Workspace)
}

func (q *naiveQueue) push(w *WaitingRequest) {
	name := flowName(w)
	if _, ok := q.tags[name]; !ok {
		q.tags[name] = max(q.virtual, q.finish[w.Admission.Workspace])
	}
	q.waiting = append(q.waiting, w)
}

func (q *naiveQueue) remove(w *WaitingRequest) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *WaitingRequest) bool { return other == w })
	if !slices.ContainsFunc(q.waiting, func(other *WaitingRequest) bool { return flowName(other) == flowName(w) }) {
		delete(q.tags, flowName(w))
	}
}

func (q *naiveQueue) tag(w *WaitingRequest) float64 {
	return max(q.tags[flowName(w)], q.finish[w.Admission.Workspace])
}

// first returns the request of a flow that is served next.
func (q *naiveQueue) first(name string) *WaitingRequest {
	var first *WaitingRequest
	for _, w := range q.waiting {
		if flowName(w) == name && (first == nil || w.due().Before(first.due())) {
			first = w
		}
	}
	return first
}

func (q *naiveQueue) next(ready map[LaneKey]bool) *WaitingRequest {
	var best *WaitingRequest
	for _, w := range q.waiting {
		if !ready[laneKey(w.Admission)] || q.first(flowName(w)) != w {
			continue
		}
		if best == nil || q.tag(w) < q.tag(best) || q.tag(w) == q.tag(best) && w.ArrivalNumber < best.ArrivalNumber {
			best = w
		}
	}
	return best
}

func (q *naiveQueue) take(w *WaitingRequest) {
	start := q.tag(w)
	q.virtual = max(q.virtual, start)
	q.finish[w.Admission.Workspace] = start + w.Cost/w.Admission.Weight
	q.tags[flowName(w)] = q.finish[w.Admission.Workspace]
	q.remove(w)
}

// Guards against an indexed fair queue that serves requests in another order
// than the definition of start-time fair queueing.
func TestFairQueueMatchesNaiveQueue(t *testing.T) {
	tester.Check(t, 10, func(t *rapid.T) {
		fast := NewFairQueue()
		naive := &naiveQueue{finish: map[string]float64{}, tags: map[string]float64{}}
		number := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					number++
					w := drawWaiting(t, number)
					fast.Push(w, nil)
					naive.push(w)
				}
			},
			"remove": func(t *rapid.T) {
				if len(naive.waiting) == 0 {
					t.Skip("empty")
				}
				w := rapid.SampledFrom(naive.waiting).Draw(t, "which")
				fast.Remove(w)
				naive.remove(w)
			},
			"take": func(t *rapid.T) { takeBoth(t, fast, naive) },
			"drain": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					takeBoth(t, fast, naive)
				}
			},
		})
	})
}

func drawWaiting(t *rapid.T, number uint64) *WaitingRequest {
	workspace := rapid.IntRange(0, 4).Draw(t, "workspace")
	return &WaitingRequest{ArrivalNumber: number, Arrived: time.Unix(90, 0), Cost: float64(rapid.IntRange(1, 8).Draw(t, "cost")), Admission: filter.Admission{
		Workspace: fmt.Sprint("w", workspace),
		Weight:    float64(1 + workspace%3),
		Class:     rapid.SampledFrom([]filter.Class{filter.Interactive, filter.Assured}).Draw(t, "class"),
		Adapter:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter"),
		Deadline:  time.Unix(int64(rapid.IntRange(100, 110).Draw(t, "deadline")), 0),
	}}
}

func takeBoth(t *rapid.T, fast *FairQueue, naive *naiveQueue) {
	ready := map[LaneKey]bool{}
	for _, adapter := range []string{"", "a", "b"} {
		ready[LaneKey{Adapter: adapter}] = rapid.IntRange(0, 3).Draw(t, "ready") > 0
	}
	got := fast.Next(func(lane *Lane) bool { return ready[lane.Key] })
	want := naive.next(ready)
	if got != want {
		t.Fatalf("next is %+v; want %+v", got, want)
	}
	if got == nil {
		return
	}
	fast.Serve(got)
	naive.take(want)
	if fast.Waiting != len(naive.waiting) {
		t.Fatalf("%d wait; want %d", fast.Waiting, len(naive.waiting))
	}
}
