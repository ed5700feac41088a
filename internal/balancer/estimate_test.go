package balancer

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestEstimateIsThatOfTheChoice guards against decisions on waiting requests that are based on
// other estimates than the choice, and against requests at a replica that estimates ignore.
func TestEstimateIsThatOfTheChoice(t *testing.T) {
	c, now := NewController(1), tester.Start
	c.Step(now, SetReplicas{Replicas: []surveyor.Replica{{ID: "r1", Service: "llm", Slots: 4, Models: []surveyor.LoadedModel{{Name: "m1"}}}}})
	c.Step(now, SetPeerState{
		Speeds: []estimator.PublishedSpeed{{Replica: "r1", Value: 10}},
		Paces:  []estimator.PublishedPace{{Service: "llm", Model: "m1", FirstEvent: 20, Interval: 5, IntervalKnown: true}},
	})
	need := Need{Service: "llm", Model: "m1", PromptTokens: 700, OutputTokens: 90, GiveUpAt: now.Add(time.Second)}
	var last estimator.Estimate
	for call := range 4 {
		reference := c.Estimator.Reference(need.work())
		estimate := c.estimate(now, c.Replicas["r1"], &reference, 0)
		if !estimate.Known || estimate.FirstEvent <= last.FirstEvent {
			t.Errorf("estimate beside %d requests is %v, beside one less %v", call, estimate, last)
		}
		effects := c.Step(now, Place{Call: runner.Call(call + 1), Need: need})
		if got := effects[0].(AnswerPlace).Placement; got.Expected != estimate.FirstEvent || got.ExpectedEnd != estimate.End {
			t.Errorf("placement expects %s and %s, the estimate is %v", got.Expected, got.ExpectedEnd, estimate)
		}
		last = estimate
	}
}
