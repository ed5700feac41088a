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

// TestNoticesAreKept guards against requests to a replica that has announced that it leaves or
// wants none for a time, against more requests than may return at once, against refusals
// although a replica is open in time, and against a service that stays without requests
// after all of that. Replicas start again, and lists lack them, show older starts or show
// replicas as ready that leave.
func TestNoticesAreKept(t *testing.T) {
	tester.Check(t, 20, func(t *rapid.T) {
		w := &noticeWorld{t: t, now: tester.Start, controller: NewController(1), announced: map[replicaStart]*announcement{}, running: map[runner.Call]replicaStart{}}
		w.list()
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { w.step(Tick{}) },
			"list":   func(*rapid.T) { w.list() },
			"place":  func(*rapid.T) { w.place() },
			"answer": func(*rapid.T) { w.answer() },
			"end":    func(*rapid.T) { w.end() },
			"peers": func(t *rapid.T) {
				w.step(SetPeerState{Closed: map[string]time.Duration{w.draw().id: time.Duration(rapid.IntRange(0, 3000).Draw(t, "closed")) * time.Millisecond}})
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
		w.checkRecovery()
	})
}

const noticeReplicas = 3

// announcement is what a start has announced. Unanswered counts the requests sent
// since it last asked for none and not answered yet.
type announcement struct {
	leaving     bool
	closedUntil time.Time
	unanswered  map[runner.Call]bool
	// maxUnanswered is 0 unless the replica has asked for no requests.
	maxUnanswered int
}

// noticeWorld is a node's balancer and the replicas of one plain service.
type noticeWorld struct {
	t          *rapid.T
	now        time.Time
	controller *Controller
	listed     []surveyor.Replica
	announced  map[replicaStart]*announcement
	running    map[runner.Call]replicaStart
	lastCall   runner.Call
}

// draw returns one of the starts that the replicas may have.
func (w *noticeWorld) draw() replicaStart {
	start := replicaStart{fmt.Sprintf("r%d", rapid.IntRange(1, noticeReplicas).Draw(w.t, "replica")), int64(rapid.IntRange(1, 2).Draw(w.t, "start"))}
	if w.announced[start] == nil {
		w.announced[start] = &announcement{unanswered: map[runner.Call]bool{}}
	}
	return start
}

func (w *noticeWorld) list() {
	w.listed = nil
	for range noticeReplicas {
		start := w.draw()
		if slices.ContainsFunc(w.listed, func(r surveyor.Replica) bool { return r.ID == start.id }) {
			continue
		}
		w.listed = append(w.listed, surveyor.Replica{ID: start.id, StartedMS: start.startedMS, Service: "app", Slots: 100})
	}
	w.step(SetReplicas{Replicas: w.listed})
}

func (w *noticeWorld) place() {
	w.lastCall++
	giveUpAt := w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "time left")) * time.Millisecond)
	w.step(Place{Call: w.lastCall, Need: Need{Service: "app", GiveUpAt: giveUpAt}})
}

// answer makes a replica begin the answer to a running request.
func (w *noticeWorld) answer() {
	call, start, ok := w.drawRunning()
	if !ok {
		return
	}
	announced := w.announced[start]
	message := NoticeReceived{PlacementID: call, Replica: start.id, StartedMS: start.startedMS, Accepted: true}
	switch rapid.IntRange(0, 7).Draw(w.t, "answer") {
	case 0:
		message.Leaving = true
	case 1:
		message.Leaving, message.Accepted, message.RetryAfter = true, false, w.drawRetryAfter()
	case 2, 3:
		message.Accepted, message.RetryAfter = false, w.drawRetryAfter()
	}
	if announced.unanswered[call] && message.Accepted {
		announced.maxUnanswered *= 2
	}
	delete(announced.unanswered, call)
	announced.leaving = announced.leaving || message.Leaving
	if until := w.now.Add(message.RetryAfter); message.RetryAfter > 0 && until.After(announced.closedUntil) {
		announced.closedUntil, announced.maxUnanswered = until, 1
	}
	w.step(message)
}

func (w *noticeWorld) drawRetryAfter() time.Duration {
	return time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "retry after")) * time.Millisecond
}

func (w *noticeWorld) end() {
	call, start, ok := w.drawRunning()
	if !ok {
		return
	}
	result := rapid.SampledFrom([]Result{Answered, Refused, Abandoned, ServerError}).Draw(w.t, "result")
	announced := w.announced[start]
	if announced.unanswered[call] && result != Refused && result != Abandoned {
		announced.maxUnanswered *= 2
	}
	delete(announced.unanswered, call)
	delete(w.running, call)
	w.step(AttemptEnded{PlacementID: call, Result: result})
}

func (w *noticeWorld) drawRunning() (runner.Call, replicaStart, bool) {
	if len(w.running) == 0 {
		return 0, replicaStart{}, false
	}
	call := rapid.SampledFrom(slices.Sorted(maps.Keys(w.running))).Draw(w.t, "call")
	return call, w.running[call], true
}

func (w *noticeWorld) step(message Message) {
	for _, effect := range w.controller.Step(w.now, message) {
		if answer, ok := effect.(AnswerPlace); ok {
			w.check(answer)
		}
	}
}

func (w *noticeWorld) check(answer AnswerPlace) {
	placement := answer.Placement
	if placement.Refused != nil {
		if placement.Refused.Reason == "all replicas leave" && slices.ContainsFunc(w.listed, func(r surveyor.Replica) bool { return !w.announced[startOf(r)].leaving }) {
			w.t.Fatalf("request %d refused because all replicas leave", answer.Call)
		}
		return
	}
	start := replicaStart{placement.Replica, placement.StartedMS}
	announced := w.announced[start]
	switch {
	case announced.leaving:
		w.t.Fatalf("request %d sent to %v, which leaves", answer.Call, start)
	case w.now.Before(announced.closedUntil):
		w.t.Fatalf("request %d sent to %v, which wants none for %v", answer.Call, start, announced.closedUntil.Sub(w.now))
	}
	w.running[answer.Call] = start
	if announced.maxUnanswered == 0 || announced.maxUnanswered >= 100 {
		return
	}
	announced.unanswered[answer.Call] = true
	if len(announced.unanswered) > announced.maxUnanswered {
		w.t.Fatalf("%d requests return to %v at once, at most %d may", len(announced.unanswered), start, announced.maxUnanswered)
	}
}

func startOf(r surveyor.Replica) replicaStart { return replicaStart{r.ID, r.StartedMS} }

// checkRecovery checks that a request is sent at once to a new start of a replica.
func (w *noticeWorld) checkRecovery() {
	start := replicaStart{"r1", 3}
	w.announced[start] = &announcement{unanswered: map[runner.Call]bool{}}
	w.listed = []surveyor.Replica{{ID: start.id, StartedMS: start.startedMS, Service: "app", Slots: 100}}
	w.step(SetReplicas{Replicas: w.listed})
	w.lastCall++
	w.step(Place{Call: w.lastCall, Need: Need{Service: "app", GiveUpAt: w.now.Add(time.Second)}})
	if w.running[w.lastCall] != start {
		w.t.Fatalf("request %d is not sent to %v", w.lastCall, start)
	}
}
