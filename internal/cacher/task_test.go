package cacher

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestTaskReads guards against a task that does not call the replicas of its node, or whose
// answers do not reach the balancer.
func TestTaskReads(t *testing.T) {
	clock := clockwork.NewFakeClock()
	published := make(chan Effect, 10)
	task := New(Settings{
		Self:  "n1",
		Clock: clock,
		ReadEvents: func(_ context.Context, call ReadEvents) (Events, bool, error) {
			return Events{Epoch: "a", Next: "1", Changes: []Event{{Model: "m", ID: call.Target.Replica + "/" + call.Since}}}, false, nil
		},
		Publish: func(effect Effect) { published <- effect },
	})
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	go func() { _ = task.Run(ctx) }()
	_ = task.Post(SetNodes{Nodes: []string{"n1"}})
	_ = task.Post(SetReplicas{Replicas: []Target{{Replica: "r1", Address: "1"}}})
	for _, want := range []string{"r1/0", "r1/1"} {
		var effect Effect
		for effect == nil {
			select {
			case effect = <-published:
			case <-time.After(time.Millisecond):
				// The task may not wait for its timer yet.
				clock.Advance(minReadInterval)
			case <-ctx.Done():
				t.Fatal("nothing was published")
			}
		}
		if observed, ok := effect.(Observed); !ok || observed.Events[0].ID != want {
			t.Errorf("published %v, want an event %s", effect, want)
		}
	}
}
