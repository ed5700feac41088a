package balancer

import (
	"bytes"
	"encoding/json"
	"io"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestLoads plays the loads of testdata/load in virtual time. The head of each file names
// which failure it guards against.
func TestLoads(t *testing.T) {
	paths, err := filepath.Glob("testdata/load/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no loads: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			load := newLoad(t, archive)
			load.run()
			for _, want := range decodeLines[expectation](t, archive, "expect") {
				load.check(want)
			}
		})
	}
}

// simulatedReplica is a replica that fails at FailsAtMS, if that is set.
type simulatedReplica struct {
	Replica   surveyor.Replica
	FailsAtMS int
}

// simulatedCaller sends a request every EveryMS, or Batch requests at once, between FromMS and
// UntilMS. It gives up after WaitMS and, if Returns is set, comes back after the retry delay.
type simulatedCaller struct {
	Name                                    string
	Need                                    Need
	FromMS, UntilMS, EveryMS, Batch, WaitMS int
	DurationMS                              int
	Returns                                 bool
	sent, served, refused, waitedRefused    int
	returns                                 map[int]int // by 100 ms
	longestWait, totalWait                  time.Duration
}

// expectation bounds what a caller experiences. Fields that are 0 are not checked.
type expectation struct {
	Caller string
	// MinServed is a share of the requests, also of those that came back.
	MinServed float64
	// MinServedOf is the share of the other caller's share that is served at least.
	Other       string
	MinServedOf float64
	// MaxWaitMS bounds the mean wait, MaxRefusedWaitMS the wait of the longest-held refusal.
	MaxWaitMS, MaxRefusedWaitMS int
	// MaxHeldShare bounds the share of the refusals that come after a wait.
	MaxHeldShare float64
	// MaxReturnsAtOnce bounds the callers that return within the same 100 ms.
	MaxReturnsAtOnce int
}

type load struct {
	t          *testing.T
	now        time.Time
	controller *Controller
	replicas   []simulatedReplica
	callers    []*simulatedCaller
	lastCall   runner.Call
	waiting    map[runner.Call]*simulatedCaller
	endsAt     map[runner.Call]time.Time
	resends    map[time.Time][]*simulatedCaller
}

func decodeLines[T any](t *testing.T, archive *txtar.Archive, name string) []T {
	var values []T
	decoder := json.NewDecoder(bytes.NewReader(tester.File(archive, name)))
	decoder.DisallowUnknownFields()
	for {
		var value T
		switch err := decoder.Decode(&value); err {
		case nil:
			values = append(values, value)
		case io.EOF:
			return values
		default:
			t.Fatalf("%s: %v", name, err)
		}
	}
}

func newLoad(t *testing.T, archive *txtar.Archive) *load {
	l := &load{t: t, now: tester.Start, controller: NewController(1), waiting: map[runner.Call]*simulatedCaller{}, endsAt: map[runner.Call]time.Time{}, resends: map[time.Time][]*simulatedCaller{}}
	l.replicas = decodeLines[simulatedReplica](t, archive, "replicas")
	for _, caller := range decodeLines[simulatedCaller](t, archive, "callers") {
		caller.returns = map[int]int{}
		l.callers = append(l.callers, &caller)
	}
	return l
}

// run advances the time in steps of a millisecond until the last request has ended.
func (l *load) run() {
	l.list()
	until := 0
	for _, caller := range l.callers {
		until = max(until, caller.UntilMS)
	}
	for ms := range until + 30_000 {
		l.now = tester.Start.Add(time.Duration(ms) * time.Millisecond)
		if slices.ContainsFunc(l.replicas, func(r simulatedReplica) bool { return r.FailsAtMS == ms && ms > 0 }) {
			l.replicas = slices.DeleteFunc(l.replicas, func(r simulatedReplica) bool { return r.FailsAtMS == ms })
			l.list()
		}
		l.end()
		for _, caller := range l.callers {
			if ms >= caller.FromMS && ms < caller.UntilMS && (ms-caller.FromMS)%caller.EveryMS == 0 {
				for range max(1, caller.Batch) {
					l.send(caller)
				}
			}
		}
		for _, caller := range l.resends[l.now] {
			caller.returns[ms/100]++
			l.send(caller)
		}
		delete(l.resends, l.now)
		if ms > until && len(l.waiting)+len(l.endsAt)+len(l.resends) == 0 {
			return
		}
		if wake := l.controller.Wake(); !wake.IsZero() && !wake.After(l.now) {
			l.step(Tick{})
		}
	}
	if len(l.waiting) > 0 {
		l.t.Errorf("%d requests have no answer", len(l.waiting))
	}
}

func (l *load) list() {
	var listed []surveyor.Replica
	for _, replica := range l.replicas {
		listed = append(listed, replica.Replica)
	}
	l.step(SetReplicas{Replicas: listed})
	l.step(SetPeerState{})
}

func (l *load) end() {
	var ended []runner.Call
	for call, at := range l.endsAt {
		if !at.After(l.now) {
			ended = append(ended, call)
		}
	}
	slices.Sort(ended)
	for _, call := range ended {
		delete(l.endsAt, call)
		l.step(AttemptEnded{PlacementID: call, Result: Answered, FirstByte: 20 * time.Millisecond})
	}
}

func (l *load) send(caller *simulatedCaller) {
	l.lastCall++
	caller.sent++
	l.waiting[l.lastCall] = caller
	need := caller.Need
	need.GiveUpAt = l.now.Add(time.Duration(caller.WaitMS) * time.Millisecond)
	need.LateAt = need.GiveUpAt
	l.step(Place{Call: l.lastCall, Need: need})
}

func (l *load) step(message Message) {
	for _, effect := range l.controller.Step(l.now, message) {
		answer, ok := effect.(AnswerPlace)
		if !ok {
			continue
		}
		caller, placement := l.waiting[answer.Call], answer.Placement
		delete(l.waiting, answer.Call)
		if placement.Refused == nil {
			caller.served++
			caller.totalWait += placement.Waited
			l.endsAt[answer.Call] = l.now.Add(time.Duration(caller.DurationMS) * time.Millisecond)
			continue
		}
		caller.refused++
		if placement.Waited > 0 {
			caller.waitedRefused++
			caller.longestWait = max(caller.longestWait, placement.Waited)
		}
		if caller.Returns {
			at := l.now.Add(placement.Refused.RetryAfter).Truncate(time.Millisecond).Add(time.Millisecond)
			l.resends[at] = append(l.resends[at], caller)
		}
	}
}

func (l *load) caller(name string) *simulatedCaller {
	index := slices.IndexFunc(l.callers, func(c *simulatedCaller) bool { return c.Name == name })
	return l.callers[index]
}

func (c *simulatedCaller) servedShare() float64 { return float64(c.served) / float64(max(1, c.sent)) }

func (l *load) check(want expectation) {
	caller := l.caller(want.Caller)
	meanWait := caller.totalWait / time.Duration(max(1, caller.served))
	heldShare := float64(caller.waitedRefused) / float64(max(1, caller.refused))
	most := 0
	for _, count := range caller.returns {
		most = max(most, count)
	}
	l.t.Logf("%s: sent %d, served %.3f, mean wait %v, refused after a wait %.3f, longest %v, at most %d return at once",
		caller.Name, caller.sent, caller.servedShare(), meanWait, heldShare, caller.longestWait, most)
	if caller.servedShare() < want.MinServed {
		l.t.Errorf("%s: %.3f served, want %.3f", caller.Name, caller.servedShare(), want.MinServed)
	}
	if want.Other != "" && caller.servedShare() < want.MinServedOf*l.caller(want.Other).servedShare() {
		l.t.Errorf("%s: %.3f served, want %.2f of %.3f", caller.Name, caller.servedShare(), want.MinServedOf, l.caller(want.Other).servedShare())
	}
	if want.MaxWaitMS > 0 && meanWait > time.Duration(want.MaxWaitMS)*time.Millisecond {
		l.t.Errorf("%s: mean wait %v, want %d ms", caller.Name, meanWait, want.MaxWaitMS)
	}
	if want.MaxRefusedWaitMS > 0 && caller.longestWait > time.Duration(want.MaxRefusedWaitMS)*time.Millisecond {
		l.t.Errorf("%s: refused after %v, want %d ms", caller.Name, caller.longestWait, want.MaxRefusedWaitMS)
	}
	if want.MaxHeldShare > 0 && heldShare > want.MaxHeldShare {
		l.t.Errorf("%s: %.3f of the refusals come after a wait, want %.3f", caller.Name, heldShare, want.MaxHeldShare)
	}
	if want.MaxReturnsAtOnce > 0 && most > want.MaxReturnsAtOnce {
		l.t.Errorf("%s: %d return within 100 ms, want %d", caller.Name, most, want.MaxReturnsAtOnce)
	}
}
