package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestSomeCandidateIsDrawn guards against a choice that leaves out all candidates, for their
// cost or because they are late, and ends the process.
func TestSomeCandidateIsDrawn(t *testing.T) {
	tester.Check(t, 20, func(t *rapid.T) {
		c := NewController(1)
		milliseconds := rapid.SampledFrom([]int{45, 60, 20, 80, 400})
		for range rapid.IntRange(1, 4).Draw(t, "candidates") {
			estimate := estimator.Estimate{
				FirstEvent: time.Duration(milliseconds.Draw(t, "first event")) * time.Millisecond,
				Known:      rapid.SampledFrom([]bool{true, false}).Draw(t, "known"),
			}
			readCost := float64(estimate.FirstEvent) * rapid.SampledFrom([]float64{1, 16, 4, 2}).Draw(t, "factor")
			c.candidates = append(c.candidates, candidate{
				replica:  &Replica{Description: surveyor.Replica{Slots: 4}},
				estimate: estimate,
				cost:     readCost * rapid.SampledFrom([]float64{1, 0.3}).Draw(t, "cached"),
				readCost: readCost,
			})
		}
		lateIn := time.Duration(rapid.SampledFrom([]int{50, 25, 100, -100, 500}).Draw(t, "late in")) * time.Millisecond
		if drawn := c.drawCandidate(lateIn); drawn.lost != "" {
			t.Fatalf("the drawn candidate %+v is not a good one", drawn)
		}
		good, _ := c.compareCandidates(lateIn)
		inTime := false
		for _, one := range c.candidates[:good] {
			inTime = inTime || one.estimate.FirstEvent <= lateIn
		}
		for _, one := range c.candidates[:good] {
			if inTime && one.estimate.Known && one.estimate.FirstEvent > lateIn {
				t.Fatalf("a candidate that is late by %v is good beside one in time", one.estimate.FirstEvent-lateIn)
			}
		}
	})
}
