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

// BenchmarkWaiting measures steps of a node whose replicas are full, with 20 models: a check in
// which nothing has changed, and the end of an attempt with the next request in its place.
func BenchmarkWaiting(b *testing.B) {
	for _, replicas := range []int{97, 10_000} {
		b.Run(fmt.Sprint("check/", replicas), func(b *testing.B) {
			w := newFullNode(replicas)
			for b.Loop() {
				w.controller.Step(w.now, Tick{})
			}
		})
		b.Run(fmt.Sprint("attempt/", replicas), func(b *testing.B) {
			w := newFullNode(replicas)
			for b.Loop() {
				w.now = w.now.Add(time.Millisecond)
				w.place()
				for _, effect := range w.controller.Step(w.now, AttemptEnded{PlacementID: w.running[0], Result: Answered}) {
					w.record(effect)
				}
				w.running = w.running[1:]
			}
		})
	}
}

type fullNode struct {
	controller *Controller
	now        time.Time
	lastCall   runner.Call
	running    []runner.Call
}

func newFullNode(replicas int) *fullNode {
	w := &fullNode{controller: NewController(1), now: tester.Start}
	var listed []surveyor.Replica
	for id := range replicas {
		replica := surveyor.Replica{ID: fmt.Sprintf("r%05d", id), Service: "llm", Slots: 1}
		for model := range 4 {
			replica.Models = append(replica.Models, surveyor.LoadedModel{Name: fmt.Sprint("m", (id+model)%20)})
		}
		listed = append(listed, replica)
	}
	w.controller.Step(w.now, SetPeerState{})
	w.controller.Step(w.now, SetReplicas{Replicas: listed})
	for range replicas + 500 {
		w.place()
	}
	return w
}

func (w *fullNode) place() {
	w.lastCall++
	need := Need{Service: "llm", Model: fmt.Sprint("m", w.lastCall%20), Tokens: 100, GiveUpAt: w.now.Add(time.Hour)}
	for _, effect := range w.controller.Step(w.now, Place{Call: w.lastCall, Need: need}) {
		w.record(effect)
	}
}

func (w *fullNode) record(effect Effect) {
	if answer, ok := effect.(AnswerPlace); ok && answer.Placement.Refused == nil {
		w.running = append(w.running, answer.Call)
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
