package balancer

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// placeOne requests a replica for a call and returns the answer, nil if the request waits.
func placeOne(c *Controller, now time.Time, call runner.Call, need Need) *Placement {
	for _, effect := range c.Step(now, Place{Call: call, Need: need}) {
		if answer, ok := effect.(AnswerPlace); ok && answer.Call == call {
			return &answer.Placement
		}
	}
	return nil
}

func replicaIn(id, dataCentre string, models ...string) surveyor.Replica {
	replica := surveyor.Replica{ID: id, Service: "llm", DataCentre: dataCentre, StartedMS: 1, Slots: 1}
	for _, model := range models {
		replica.Models = append(replica.Models, surveyor.LoadedModel{Name: model})
	}
	return replica
}

// TestPaceOfOtherDataCentres guards against requests that are held until their deadline because
// others, which different data centres may run, have made the node forget the pace of their
// queue, and against requests that are refused because of the pace of other data centres.
func TestPaceOfOtherDataCentres(t *testing.T) {
	c, now := NewController(1), tester.Start
	c.Step(now, SetPeerState{OrdersAllowedIn: time.Hour})
	c.Step(now, SetReplicas{Replicas: []surveyor.Replica{replicaIn("r1", "a", "m"), replicaIn("r2", "b", "m")}})
	c.Step(now, NoticeReceived{Replica: "r2", StartedMS: 1, RetryAfter: 2500 * time.Millisecond})
	need := func(dataCentre string, wait time.Duration) Need {
		return Need{Service: "llm", Model: "m", DataCentres: []string{dataCentre}, Tokens: 100, GiveUpAt: now.Add(wait)}
	}
	for call := range runner.Call(5) {
		placeOne(c, now, call, need("a", 3*time.Second))
	}
	placeOne(c, now, 10, need("b", time.Minute))
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		c.Step(now, Tick{})
	}
	if waiting := len(c.Waiting.ByCall); waiting == 5 {
		t.Error("no request behind a queue of several seconds is refused")
	}
	if placement := placeOne(c, now, 12, need("b", time.Second)); placement != nil {
		t.Errorf("a request for a replica that is open again in 0.5 s does not wait: %+v", placement.Refused)
	}
}

// TestOnlyColdCopies guards against requests that are held until their deadline because a warm
// replica does not have their model, although the replicas with it are cold for longer and get
// nothing from this node.
func TestOnlyColdCopies(t *testing.T) {
	c, now := NewController(1), tester.Start
	c.Step(now, SetPeerState{})
	c.Step(now, SetColdRules{Rules: map[string]ColdRule{"llm": {Time: 3 * time.Second, Rate: 30, MaxPerSecond: 50}}})
	c.Step(now, SetNodes{Self: "a0", Nodes: []string{"a1", "a2"}, Registered: 2})
	cold, warm := replicaIn("r1", "a", "m"), replicaIn("r2", "a", "k")
	cold.ColdKnown, cold.ColdFor, warm.ColdKnown = true, 3*time.Second, true
	c.Step(now, SetReplicas{Replicas: []surveyor.Replica{cold, warm}})
	need := Need{Service: "llm", Model: "m", GiveUpAt: now.Add(time.Second)}
	placement := placeOne(c, now, 1, need)
	if placement == nil || placement.Refused == nil || placement.Refused.RetryAfter < 3*time.Second {
		t.Errorf("request is not refused until the replica is warm: %+v", placement)
	}
	warm.Pending = []surveyor.PendingLoad{{Model: "m", Remaining: 500 * time.Millisecond, EndKnown: true}}
	c.Step(now, SetReplicas{Replicas: []surveyor.Replica{cold, warm}})
	if placement := placeOne(c, now, 2, need); placement != nil {
		t.Errorf("request does not wait for the load at the warm replica: %+v", placement)
	}
}

// TestRefusalByEstimates guards against requests that are held until their deadline although
// known estimates show that no replica begins them in time, against waiting requests that keep
// their place when the estimates change, and against refusals by estimates that are not known.
func TestRefusalByEstimates(t *testing.T) {
	c, now := NewController(1), tester.Start
	c.Step(now, SetPeerState{})
	c.Step(now, SetReplicas{Replicas: []surveyor.Replica{replicaIn("r1", "a", "m")}})
	need := func(wait time.Duration) Need {
		return Need{Service: "llm", Model: "m", OutputTokens: 100, GiveUpAt: now.Add(wait), Deadline: now.Add(time.Minute)}
	}
	if placement := placeOne(c, now, 1, need(time.Second)); placement == nil || placement.Refused != nil {
		t.Fatalf("no replica: %+v", placement)
	}
	if placement := placeOne(c, now, 2, need(2500*time.Millisecond)); placement != nil {
		t.Fatalf("unknown estimate: %+v", placement)
	}
	c.Step(now, Cancel{Call: 2})
	now = now.Add(2 * time.Second)
	c.Step(now, AttemptEnded{PlacementID: 1, Result: Answered, FirstByte: 20 * time.Millisecond, Duration: 2 * time.Second, Events: 12})
	placeOne(c, now, 3, need(time.Second))
	placement := placeOne(c, now, 4, need(500*time.Millisecond))
	if placement == nil || placement.Refused == nil || placement.Refused.RetryAfter < time.Second {
		t.Errorf("no refusal although a slot is free in 2 s: %+v", placement)
	}
	if placement := placeOne(c, now, 5, need(5*time.Second)); placement != nil {
		t.Errorf("request that has time does not wait: %+v", placement)
	}
	late := need(5 * time.Second)
	late.Deadline = now.Add(time.Second)
	if placement := placeOne(c, now, 6, late); placement == nil || placement.Refused == nil {
		t.Errorf("no refusal although the first event comes after the deadline: %+v", placement)
	}
	c.Step(now, Cancel{Call: 5})
	now = now.Add(11 * time.Second)
	c.Step(now, SetPeerState{})
	if placement := placeOne(c, now, 7, need(500*time.Millisecond)); placement != nil {
		t.Errorf("refused by an estimate that is out of date: %+v", placement)
	}
}
