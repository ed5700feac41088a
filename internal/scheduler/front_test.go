package scheduler_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

func run(t *testing.T, front *scheduler.Front) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- front.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

var oneSlot = scheduler.FleetChanged{Fleet: tracker.Fleet{Endpoints: []tracker.Endpoint{{
	Instance: tracker.Instance{Name: "a", Kind: tracker.Engine, Phase: tracker.Live},
	Report: &tracker.Report{
		Measured: time.Unix(1, 0), Slots: 1, Models: []tracker.ModelState{{Model: "m@1", State: tracker.Loaded}},
	},
}}}}

func admission(patience time.Duration) filter.Admission {
	return filter.Admission{Model: "m@1", Workspace: "w", Weight: 1, Class: filter.Assured, Deadline: time.Now().Add(patience)}
}

func post(t *testing.T, front *scheduler.Front, message scheduler.Message) {
	t.Helper()
	if err := front.Post(message); err != nil {
		t.Fatal(err)
	}
}

// Guards against a slot that stays in use when its asker is cancelled or its
// release meets a full inbox, and against a request that outlives its
// deadline.
func TestFrontGivesSlotsAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := scheduler.NewAt(router.Location{}, 1, scheduler.Settings{Clock: clockwork.NewRealClock(), Inbox: 1})
		post(t, front, oneSlot)
		run(t, front)
		synctest.Wait()
		slot, err := front.Admit(t.Context(), admission(time.Minute))
		if err != nil || slot.Endpoint != "a" {
			t.Fatalf("admit: %+v, %v; want a slot at a", slot, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := front.Admit(ctx, admission(time.Minute)); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("cancelled admit: %v; want %v", err, context.DeadlineExceeded)
		}
		begun := time.Now()
		_, err = front.Admit(t.Context(), admission(3*time.Second))
		var refusal filter.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != filter.DeadlinePassed || time.Since(begun) != 3*time.Second {
			t.Fatalf("admit: %v after %s; want %s after 3s", err, time.Since(begun), filter.DeadlinePassed)
		}
		front.Release(slot, filter.SlotResult{Duration: time.Second})
		if _, err := front.Admit(t.Context(), admission(time.Minute)); err != nil {
			t.Fatalf("admit after the release: %v", err)
		}
	})
}

// Guards against a full inbox that hangs a request or loses a release.
func TestFrontWithFullInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := scheduler.NewController(router.Location{}, 1)
		controller.Step(time.Now(), oneSlot)
		effects := controller.Step(time.Now(), scheduler.Admit{Call: 1000, Admission: admission(time.Minute)})
		slot := effects[0].(scheduler.Grant).Slot
		front := scheduler.New(scheduler.Settings{Clock: clockwork.NewRealClock(), Controller: controller, Inbox: 1})
		post(t, front, scheduler.Tick{})
		var refusal filter.Refusal
		_, err := front.Admit(t.Context(), admission(time.Minute))
		if !errors.As(err, &refusal) || refusal.Reason != filter.Overloaded || refusal.Run != filter.NotRun {
			t.Fatalf("admit: %v; want %s, not run", err, filter.Overloaded)
		}
		front.Release(slot, filter.SlotResult{})
		run(t, front)
		time.Sleep(time.Second)
		if _, err := front.Admit(t.Context(), admission(time.Minute)); err != nil {
			t.Fatalf("admit after the release: %v", err)
		}
	})
}

// Guards against a request that waits for a task that has ended.
func TestFrontAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := scheduler.NewAt(router.Location{}, 1, scheduler.Settings{Clock: clockwork.NewRealClock()})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := front.Run(ctx); err != nil {
			t.Fatal(err)
		}
		var refusal filter.Refusal
		_, err := front.Admit(t.Context(), admission(time.Minute))
		if !errors.As(err, &refusal) || refusal.Reason != filter.Draining || refusal.Run != filter.NotRun {
			t.Fatalf("admit: %v; want %s, not run", err, filter.Draining)
		}
	})
}
