package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestEveryDrawFindsACandidate guards against a draw without a good candidate, which ended the
// process: the replicas that were in time were too costly, and made the others too late.
func TestEveryDrawFindsACandidate(t *testing.T) {
	tester.Check(t, 5, func(t *rapid.T) {
		c := NewController(rapid.Uint64().Draw(t, "seed"))
		milliseconds := rapid.SampledFrom([]int{10, 20, 50, 100, 200, 500, 1000})
		for range rapid.IntRange(1, 4).Draw(t, "replicas") {
			first := time.Duration(milliseconds.Draw(t, "first event")) * time.Millisecond
			cost := float64(first) * rapid.SampledFrom([]float64{1, 2, 5, 10}).Draw(t, "cost factor")
			c.candidates = append(c.candidates, candidate{
				replica:  &Replica{Description: surveyor.Replica{Slots: 2}},
				estimate: estimator.Estimate{FirstEvent: first, Known: rapid.Bool().Draw(t, "known")},
				cost:     cost, readCost: cost,
			})
		}
		lateIn := time.Duration(milliseconds.Draw(t, "late in")) * time.Millisecond
		if drawn := c.drawCandidate(lateIn); drawn.lost != "" {
			t.Errorf("the drawn candidate %+v is not a good one", drawn)
		}
	})
}
