package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestOneCandidateIsAlwaysGood guards against a choice in which each candidate loses to another
// one, for which the process ended: the only one that answers in time costs much, since it has
// named a limit or fails requests, and the cheap one is late.
func TestOneCandidateIsAlwaysGood(t *testing.T) {
	tester.Check(t, 5, func(t *rapid.T) {
		c := NewController(1)
		for range rapid.IntRange(1, 5).Draw(t, "candidates") {
			replica := &Replica{Notice: &Notice{RateLimit: float64(rapid.IntRange(0, 1).Draw(t, "limit"))}, FailedAt: tester.Start}
			replica.Description.Slots, replica.Failures = 4, float64(rapid.IntRange(0, 3).Draw(t, "failures"))
			estimate := estimator.Estimate{Known: true, FirstEvent: time.Duration(rapid.IntRange(5, 12).Draw(t, "first event")) * 10 * time.Millisecond}
			cost := replica.cost(tester.Start, estimate)
			c.candidates = append(c.candidates, candidate{replica: replica, estimate: estimate, cost: cost, readCost: cost})
		}
		lateIn := time.Duration(rapid.IntRange(4, 13).Draw(t, "late in")) * 10 * time.Millisecond
		if good, _ := c.compareCandidates(lateIn); good == 0 {
			t.Fatalf("no good candidate among %d", len(c.candidates))
		}
	})
}
