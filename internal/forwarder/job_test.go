package forwarder

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestPriorityFollowsRankAndTimeLeft guards against a request that is about to be late and
// waits in the replica behind requests of its rank with time left, and against a less urgent
// rank that goes first.
func TestPriorityFollowsRankAndTimeLeft(t *testing.T) {
	zero := 0
	for _, c := range []struct {
		name      string
		route     int
		workspace *int
		waited    time.Duration
		started   bool
		want      int
	}{
		{"new", 0, nil, 0, false, 1},
		{"about to be late", 0, nil, 800 * time.Millisecond, false, 0},
		{"late", 1, nil, 2 * time.Second, false, 2},
		{"rest of a stream", 1, nil, 0, true, 2},
		{"the workspace goes before the route", 3, &zero, 0, false, 1},
		{"least urgent", 7, nil, 0, false, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &job{
				request: &filter.Request{Arrived: tester.Start}, responseStarted: c.started,
				forward: &filter.Forward{Route: resolver.Route{Priority: c.route, Objective: time.Second}, Workspace: resolver.Workspace{Priority: c.workspace}},
			}
			if got := j.priority(tester.Start.Add(c.waited)); got != c.want {
				t.Errorf("priority %d, want %d", got, c.want)
			}
		})
	}
}

// TestRestOfStreamIsNotLate guards against the rest of a stream whose model is loaded after
// those of all new requests, because its first event was due long ago.
func TestRestOfStreamIsNotLate(t *testing.T) {
	arrived := tester.Start
	now := arrived.Add(3 * time.Second)
	j := &job{
		Dispatch:        &Dispatch{},
		request:         &filter.Request{Arrived: arrived, Deadline: arrived.Add(10 * time.Second)},
		forward:         &filter.Forward{Route: resolver.Route{Kind: resolver.Streaming, Resumable: true, Objective: 500 * time.Millisecond}},
		origin:          &resumer.Origin{Service: "llm", Version: "v1"},
		responseStarted: true,
	}
	need := j.placementNeed(now, 7*time.Second)
	if !need.Continued || !need.LateAt.After(now) || !need.LateAt.Equal(need.GiveUpAt) {
		t.Errorf("late at %v, given up at %v, now %v: want a rest that is late when it is given up", need.LateAt, need.GiveUpAt, now)
	}
}
