package balancer

import (
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// BenchmarkPlace measures a choice among 160 replicas, all of which serve a plain service, or
// two of which have a model of an engine.
func BenchmarkPlace(b *testing.B) {
	for _, need := range []Need{{Service: "app"}, {Service: "llm", Model: "7", Tokens: 500}} {
		b.Run(need.Service, func(b *testing.B) {
			c := NewController(1)
			var listed []surveyor.Replica
			for i := range 160 {
				replica := surveyor.Replica{ID: fmt.Sprintf("r%03d", i), Service: need.Service, Slots: 64}
				if need.Model != "" {
					replica.Models = []surveyor.LoadedModel{{Name: fmt.Sprint(i / 2)}, {Name: fmt.Sprint(100 + i/2)}}
				}
				listed = append(listed, replica)
			}
			c.Step(tester.Start, SetReplicas{Replicas: listed})
			need.GiveUpAt = tester.Start.Add(time.Hour)
			b.ReportAllocs()
			for i := range b.N {
				call := runner.Call(i + 1)
				c.Step(tester.Start, Place{Call: call, Need: need})
				c.Step(tester.Start, AttemptEnded{PlacementID: call, Result: Answered, FirstByte: 30 * time.Millisecond})
			}
		})
	}
}

// BenchmarkPlaceBeginning measures a choice among 9 replicas of 160 with the model, three of which
// keep the beginning of the prompt.
func BenchmarkPlaceBeginning(b *testing.B) {
	c := NewController(1)
	var listed []surveyor.Replica
	for i := range 160 {
		listed = append(listed, surveyor.Replica{ID: fmt.Sprintf("r%03d", i), Service: "llm", Slots: 64, Models: []surveyor.LoadedModel{{Name: fmt.Sprint(i / 9)}}})
	}
	c.Step(tester.Start, SetReplicas{Replicas: listed})
	c.Step(tester.Start, SetModels{CacheTokens: map[string]int{"llm": 200_000}})
	parts := []cacher.Part{{ID: "a", Tokens: 900}, {ID: "b", Tokens: 600}, {ID: "own", Tokens: 50}}
	need := Need{Service: "llm", Model: "7", PromptTokens: 1550, Parts: parts, SharedParts: 2, GiveUpAt: tester.Start.Add(time.Hour)}
	for i := range 3 {
		c.Caches.Beliefs.Confirm(tester.Start, fmt.Sprintf("r%03d", 63+i), 0, need.cacheKey(), parts, 200_000)
	}
	b.ReportAllocs()
	for i := range b.N {
		call := runner.Call(i + 1)
		c.Step(tester.Start, Place{Call: call, Need: need})
		c.Step(tester.Start, AttemptEnded{PlacementID: call, Result: Answered, FirstByte: 30 * time.Millisecond})
	}
}
