package balancer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// waitingWorld is a node's balancer and the replicas of an engine, without knowledge of what
// a lane remembers.
type waitingWorld struct {
	t          *rapid.T
	now        time.Time
	controller *Controller
	open       map[runner.Call]bool
	running    map[runner.Call]bool
	lastCall   runner.Call
}

// TestNoRequestWaitsForNothing guards against a request that waits although a replica has room
// for it, because a change was missed for its lane, such as the return of a data centre or the
// end of a cold time, against one that waits beyond its time, and against one that is answered
// twice or not at all.
func TestNoRequestWaitsForNothing(t *testing.T) {
	tester.Check(t, 20, func(t *rapid.T) {
		w := &waitingWorld{t: t, now: tester.Start, controller: NewController(1), open: map[runner.Call]bool{}, running: map[runner.Call]bool{}}
		w.step(SetPeerState{})
		w.step(SetColdRules{Rules: map[string]ColdRule{"llm": {Time: time.Second, Rate: 30, MaxPerSecond: 50}}})
		w.step(SetNodes{Self: "a0", Nodes: []string{"a0", "a1"}, Registered: 2})
		w.list()
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { w.check() },
			"list":   func(*rapid.T) { w.list() },
			"place":  func(*rapid.T) { w.place() },
			"place2": func(*rapid.T) { w.place() },
			"end":    func(*rapid.T) { w.end() },
			"cancel": func(*rapid.T) { w.cancel() },
			"notice": func(*rapid.T) { w.notice() },
			"peers": func(*rapid.T) {
				w.step(SetPeerState{Active: map[string]int{w.replica(): w.draw(0, 2)}, RateLimits: map[string]float64{w.replica(): float64(w.draw(-1, 20))}, OrdersAllowedIn: time.Duration(w.draw(0, 1)) * time.Second})
			},
			"wait": func(*rapid.T) { w.wait() },
		})
		w.now = w.now.Add(10 * time.Second)
		w.step(Tick{})
		if len(w.open) > 0 || w.controller.Waiting.byArrival.Len()+len(w.controller.Waiting.Services)+w.controller.Waiting.backlogs.Len() > 0 {
			t.Fatalf("%d requests have no answer, or the queue is not empty", len(w.open))
		}
	})
}

func (w *waitingWorld) draw(from, to int) int { return rapid.IntRange(from, to).Draw(w.t, "number") }

func (w *waitingWorld) replica() string { return fmt.Sprint("r", w.draw(1, 3)) }

// wait delivers ticks at the wake times, as the task does.
func (w *waitingWorld) wait() {
	until := w.now.Add(time.Duration(w.draw(1, 400)) * time.Millisecond)
	for {
		wake := w.controller.Wake()
		if wake.IsZero() || wake.After(until) {
			break
		}
		w.now = wake
		w.step(Tick{})
		w.check()
	}
	w.now = until
	w.step(Tick{})
}

func (w *waitingWorld) list() {
	var listed []surveyor.Replica
	for id := range 3 {
		if w.draw(0, 5) == 0 {
			continue
		}
		replica := surveyor.Replica{ID: fmt.Sprint("r", id+1), Service: "llm", Slots: 2, StartedMS: int64(w.draw(1, 2)), Leaving: w.draw(0, 9) == 0}
		replica.DataCentre, replica.Evacuated = string(rune('a'+id)), w.draw(0, 5) == 0
		if replica.ColdKnown = w.draw(0, 2) > 0; w.draw(0, 4) == 0 {
			replica.ColdFor = time.Duration(w.draw(1, 900)) * time.Millisecond
		}
		for _, model := range []string{"m1", "m2"} {
			switch w.draw(0, 3) {
			case 0:
				replica.Pending = append(replica.Pending, surveyor.PendingLoad{Model: model, Remaining: time.Duration(w.draw(1, 900)) * time.Millisecond, EndKnown: w.draw(0, 3) > 0})
			case 1, 2:
				replica.Models = append(replica.Models, surveyor.LoadedModel{Name: model})
			}
		}
		listed = append(listed, replica)
	}
	w.step(SetReplicas{Replicas: listed})
}

func (w *waitingWorld) place() {
	w.lastCall++
	w.open[w.lastCall] = true
	need := Need{Service: "llm", Model: fmt.Sprint("m", w.draw(1, 2)), Workspace: fmt.Sprint("w", w.draw(1, 3)), Rank: w.draw(0, 2), Tokens: w.draw(1, 5000), GiveUpAt: w.now.Add(time.Duration(w.draw(1, 4000)) * time.Millisecond)}
	if w.draw(0, 4) == 0 {
		need.Excluded = []string{w.replica()}
	}
	if w.draw(0, 2) == 0 {
		need.DataCentres = []string{"a", "b"}
	}
	w.step(Place{Call: w.lastCall, Need: need})
}

func (w *waitingWorld) pick(calls map[runner.Call]bool) (runner.Call, bool) {
	if len(calls) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(calls))).Draw(w.t, "call"), true
}

func (w *waitingWorld) end() {
	if call, ok := w.pick(w.running); ok {
		delete(w.running, call)
		result := rapid.SampledFrom([]Result{Answered, Answered, Refused, ModelMissing, Failed, TimedOut, Abandoned}).Draw(w.t, "result")
		w.step(AttemptEnded{PlacementID: call, Result: result})
	}
}

func (w *waitingWorld) cancel() {
	if call, ok := w.pick(w.open); ok {
		delete(w.open, call)
		w.step(Cancel{Call: call})
	}
}

func (w *waitingWorld) notice() {
	call, _ := w.pick(w.running)
	message := NoticeReceived{PlacementID: call, Accepted: w.draw(0, 2) > 0, Replica: w.replica(), StartedMS: int64(w.draw(1, 2)), Leaving: w.draw(0, 9) == 0}
	if w.draw(0, 2) == 0 {
		message.RetryAfter = time.Duration(w.draw(1, 900)) * time.Millisecond
	}
	w.step(message)
}

func (w *waitingWorld) step(message Message) {
	for _, effect := range w.controller.Step(w.now, message) {
		answer, ok := effect.(AnswerPlace)
		if !ok {
			continue
		}
		if !w.open[answer.Call] {
			w.t.Fatalf("request %d is answered twice or after it was cancelled", answer.Call)
		}
		delete(w.open, answer.Call)
		if answer.Placement.Refused == nil {
			w.running[answer.Call] = true
		}
	}
}

// check excepts the lanes that avoid a suspect replica: a suspicion fades without a message, and
// they are checked every suspectCheckInterval.
func (w *waitingWorld) check() {
	for call, waiter := range w.controller.Waiting.ByCall {
		if !w.open[call] || !w.now.Before(waiter.Need.GiveUpAt) {
			w.t.Fatalf("request %d waits beyond its time", call)
		}
		key := modelKey{waiter.Need.Model, waiter.Need.Adapter}
		for id, replica := range w.controller.Replicas {
			if !waiter.lane.Avoiding && w.controller.isUsable(w.now, replica, waiter.Need, key) && !w.controller.shouldAvoid(w.now, waiter.Need, id, replica.isSuspect(w.now)) {
				w.t.Fatalf("request %d waits although %s has room: %+v, %+v", call, id, replica, waiter.lane)
			}
		}
	}
}
