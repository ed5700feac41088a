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

// oneSlot is a scheduler that has one slot to give.
type oneSlot struct {
	slot     filter.Slot
	mutex    sync.Mutex
	asked    []filter.Admission
	released []filter.SlotResult
}

func (s *oneSlot) Admit(_ context.Context, admission filter.Admission) (filter.Slot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked = append(s.asked, admission)
	if s.slot.ID == 0 {
		return filter.Slot{}, filter.Refusal{Reason: filter.NoEndpoint, Run: filter.NotRun}
	}
	return s.slot, nil
}

func (s *oneSlot) Release(_ filter.Slot, result filter.SlotResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released = append(s.released, result)
}

// releases waits until a number of slots came back.
func (s *oneSlot) releases(t *testing.T, count int) []filter.SlotResult {
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
	t.Fatalf("fewer than %d slots came back", count)
	return nil
}

type allowance bool

func (a allowance) Spend() bool { return bool(a) }

// newHedged returns a bench whose engine is silent, a second engine and a
// hedger that may use it.
func newHedged(t *testing.T, allowed allowance) (*bench, *emulator.Engine, *oneSlot, dispatcher.Hedger) {
	t.Helper()
	b := newBench(t, emulator.EngineSettings{Interval: time.Millisecond})
	clock := clockwork.NewRealClock()
	second, stop, err := emulator.NewEngine(emulator.EngineSettings{
		Interval: time.Millisecond, Loaded: []emulator.EngineCheckpoint{{Model: model + "@" + version}},
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	b.serve("second", second)
	scheduler := &oneSlot{slot: filter.Slot{ID: 2, Endpoint: "second", Address: b.addresses["second"]}}
	return b, second, scheduler, dispatcher.Hedger{
		Dispatcher: b.dispatcher, Scheduler: scheduler, Budget: allowed, Clock: clock, Least: shortTimeout / 3,
	}
}

func (b *bench) hedge(hedger dispatcher.Hedger) ([]filter.Event, filter.Finish, error) {
	attempt := b.attempt("engine")
	attempt.Model, attempt.Version, attempt.Prompt, attempt.MaxTokens = model, version, prompt, 20
	attempt.Admission = filter.Admission{Model: model, Avoid: []string{"earlier"}}
	var events []filter.Event
	finish, err := hedger.Generate(b.t.Context(), attempt, func(event filter.Event) error {
		events = append(events, event)
		return nil
	})
	return events, finish, err
}

func wantWholeAnswer(t *testing.T, events []filter.Event) {
	t.Helper()
	for index, event := range events {
		token, ok := event.(filter.Token)
		// More depends on when the lines arrived.
		want := filter.Token{Index: index, Text: emulator.EngineText(prompt, index), MoreReady: token.MoreReady}
		if !ok || token != want {
			t.Fatalf("event %d is %+v; want %+v", index, event, want)
		}
	}
	if len(events) != 20 {
		t.Fatalf("%d tokens; want 20", len(events))
	}
}

// Guards against a caller who waits for a silent endpoint although another one
// is free, against tokens of two attempts in one answer, and against a losing
// attempt that is not cancelled or whose idle connections stay in use. The
// fault comes twice in a row.
func TestHedgeAnswersFromTheSecondEndpoint(t *testing.T) {
	b, _, scheduler, hedger := newHedged(t, true)
	if err := b.engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent, Streams: 2}); err != nil {
		t.Fatal(err)
	}
	for count := 1; count <= 2; count++ {
		events, finish, err := b.hedge(hedger)
		if err != nil || finish.HedgeEndpoint != "second" {
			t.Fatalf("finish %+v, %v; want one from the second endpoint", finish, err)
		}
		wantWholeAnswer(t, events)
		if released := scheduler.releases(t, count); released[count-1].Tokens != 20 || released[count-1].Failed {
			t.Errorf("slot released with %+v", released[count-1])
		}
	}
	if avoid := scheduler.asked[0].Avoid; len(avoid) != 2 || avoid[1] != "engine" {
		t.Errorf("second slot avoided %v; want the earlier and the first endpoint", avoid)
	}
	if got := b.awaitCancels("2"); got != "2 cancellations" {
		t.Error(got)
	}
}

// Guards against a hedge without budget or without a free endpoint, which
// would multiply the load of an overloaded fleet.
func TestHedgeWithoutBudgetOrSlotFailsAsTheFirstAttempt(t *testing.T) {
	for _, allowed := range []allowance{false, true} {
		b, second, scheduler, hedger := newHedged(t, allowed)
		scheduler.slot = filter.Slot{}
		if err := b.engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent}); err != nil {
			t.Fatal(err)
		}
		_, _, err := b.hedge(hedger)
		var failure filter.Failure
		if !errors.As(err, &failure) || failure.Run != filter.Unknown || failure.HedgeEndpoint != "" || !errors.Is(err, dispatcher.ErrSilent) {
			t.Errorf("budget %t: %v; want the silence of the first attempt", allowed, err)
		}
		if len(second.Seen()) != 0 {
			t.Errorf("budget %t: the second endpoint was called", allowed)
		}
	}
}

// Guards against a hedge of an answer that begins in time, and against a
// failure of the second attempt that is not named.
func TestHedgeOnlyWhenSilent(t *testing.T) {
	b, second, scheduler, hedger := newHedged(t, true)
	events, finish, err := b.hedge(hedger)
	if err != nil || finish.HedgeEndpoint != "" || len(scheduler.asked) != 0 {
		t.Errorf("finish %+v, %v after %d questions for a slot", finish, err, len(scheduler.asked))
	}
	wantWholeAnswer(t, events)
	for _, engine := range []*emulator.Engine{b.engine, second} {
		if err := engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent}); err != nil {
			t.Fatal(err)
		}
	}
	_, _, err = b.hedge(hedger)
	var failure filter.Failure
	if !errors.As(err, &failure) || failure.HedgeEndpoint != "second" || failure.Run != filter.Unknown {
		t.Errorf("both silent: %+v", err)
	}
	if released := scheduler.releases(t, 1); !released[0].Failed {
		t.Errorf("slot released with %+v; want a failure", released[0])
	}
}
