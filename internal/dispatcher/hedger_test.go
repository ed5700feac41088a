package dispatcher_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// singleSlotScheduler is a scheduler that always grants the same slot, or none
// if its ID is 0.
type singleSlotScheduler struct {
	slot       filter.Slot
	mutex      sync.Mutex
	admissions []filter.Admission
	released   []filter.SlotResult
}

func (s *singleSlotScheduler) Admit(_ context.Context, admission filter.Admission) (filter.Slot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.admissions = append(s.admissions, admission)
	if s.slot.ID == 0 {
		return filter.Slot{}, filter.Refusal{Reason: filter.NoEndpoint, Run: filter.NotRun}
	}
	return s.slot, nil
}

func (s *singleSlotScheduler) Release(_ filter.Slot, result filter.SlotResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released = append(s.released, result)
}

// waitForReleases waits until at least count slots have been released.
func (s *singleSlotScheduler) waitForReleases(t *testing.T, count int) []filter.SlotResult {
	t.Helper()
	for range 5000 {
		s.mutex.Lock()
		released := s.released
		s.mutex.Unlock()
		if len(released) >= count {
			return released
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("fewer than %d slots were released", count)
	return nil
}

// fixedBudget is a budget that allows every retry or none.
type fixedBudget bool

func (b fixedBudget) Spend() bool { return bool(b) }

// newHedgeFixture returns a fixture, a second engine, a scheduler with a slot at
// the second engine, and a hedger that uses them.
func newHedgeFixture(t *testing.T, allowed fixedBudget) (*fixture, *emulator.Engine, *singleSlotScheduler, dispatcher.Hedger) {
	t.Helper()
	f := newFixture(t, emulator.EngineSettings{Interval: time.Millisecond})
	clock := clockwork.NewRealClock()
	second, stop, err := emulator.NewEngine(emulator.EngineSettings{
		Interval: time.Millisecond, Loaded: []emulator.EngineCheckpoint{{Model: model + "@" + version}},
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	f.serve("second", second)
	scheduler := &singleSlotScheduler{slot: filter.Slot{ID: 2, Endpoint: "second", Address: f.addresses["second"]}}
	return f, second, scheduler, dispatcher.Hedger{
		Dispatcher: f.dispatcher, Scheduler: scheduler, Budget: allowed, Clock: clock, MinDelay: shortTimeout / 3,
	}
}

func (f *fixture) hedge(hedger dispatcher.Hedger) ([]filter.Event, filter.Finish, error) {
	attempt := f.attempt("engine")
	attempt.Model, attempt.Version, attempt.Prompt, attempt.MaxTokens = model, version, prompt, 20
	attempt.Admission = filter.Admission{Model: model, Avoid: []string{"earlier"}}
	var events []filter.Event
	finish, err := hedger.Generate(f.t.Context(), attempt, func(event filter.Event) error {
		events = append(events, event)
		return nil
	})
	return events, finish, err
}

func checkCompleteAnswer(t *testing.T, events []filter.Event) {
	t.Helper()
	for index, event := range events {
		token, ok := event.(filter.Token)
		// MoreReady depends on when the lines arrived, so any value is accepted.
		want := filter.Token{Index: index, Text: emulator.EngineText(prompt, index), MoreReady: token.MoreReady}
		if !ok || token != want {
			t.Fatalf("event %d is %+v; want %+v", index, event, want)
		}
	}
	if len(events) != 20 {
		t.Fatalf("%d tokens; want 20", len(events))
	}
}

// Guards against waiting for an endpoint that sends nothing although another one
// is free, against tokens of two attempts in one response, and against a losing
// attempt that is not cancelled or whose idle connections stay in use. The fault
// is injected twice in a row.
func TestHedgeAnswersFromTheSecondEndpoint(t *testing.T) {
	f, _, scheduler, hedger := newHedgeFixture(t, true)
	if err := f.engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent, Streams: 2}); err != nil {
		t.Fatal(err)
	}
	for count := 1; count <= 2; count++ {
		events, finish, err := f.hedge(hedger)
		if err != nil || finish.HedgeEndpoint != "second" {
			t.Fatalf("finish %+v, %v; want one from the second endpoint", finish, err)
		}
		checkCompleteAnswer(t, events)
		if released := scheduler.waitForReleases(t, count); released[count-1].Tokens != 20 || released[count-1].Failed {
			t.Errorf("slot released with %+v", released[count-1])
		}
	}
	if avoid := scheduler.admissions[0].Avoid; len(avoid) != 2 || avoid[1] != "engine" {
		t.Errorf("second slot avoided %v; want the earlier and the first endpoint", avoid)
	}
	if got := f.awaitCancels("2"); got != "2 cancellations" {
		t.Error(got)
	}
}

// Guards against a hedge without budget or without a free endpoint, which would
// multiply the load of overloaded endpoints.
func TestHedgeWithoutBudgetOrSlotFailsAsTheFirstAttempt(t *testing.T) {
	for _, allowed := range []fixedBudget{false, true} {
		f, second, scheduler, hedger := newHedgeFixture(t, allowed)
		scheduler.slot = filter.Slot{}
		if err := f.engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent}); err != nil {
			t.Fatal(err)
		}
		_, _, err := f.hedge(hedger)
		var failure filter.Failure
		if !errors.As(err, &failure) || failure.Run != filter.Unknown || failure.HedgeEndpoint != "" || !errors.Is(err, dispatcher.ErrReadTimeout) {
			t.Errorf("budget %t: %v; want the read timeout of the first attempt", allowed, err)
		}
		if len(second.ReceivedRequests()) != 0 {
			t.Errorf("budget %t: the second endpoint was called", allowed)
		}
	}
}

// Guards against a hedge of a response that begins in time, and against a
// failure that does not name the second endpoint when both attempts fail.
func TestHedgeOnlyAfterDelay(t *testing.T) {
	f, second, scheduler, hedger := newHedgeFixture(t, true)
	events, finish, err := f.hedge(hedger)
	if err != nil || finish.HedgeEndpoint != "" || len(scheduler.admissions) != 0 {
		t.Errorf("finish %+v, %v after %d slot requests", finish, err, len(scheduler.admissions))
	}
	checkCompleteAnswer(t, events)
	for _, engine := range []*emulator.Engine{f.engine, second} {
		if err := engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent}); err != nil {
			t.Fatal(err)
		}
	}
	_, _, err = f.hedge(hedger)
	var failure filter.Failure
	if !errors.As(err, &failure) || failure.HedgeEndpoint != "second" || failure.Run != filter.Unknown {
		t.Errorf("both endpoints send nothing: %+v", err)
	}
	if released := scheduler.waitForReleases(t, 1); !released[0].Failed {
		t.Errorf("slot released with %+v; want a failure", released[0])
	}
}
