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

func run(t *testing.T, sched *scheduler.Scheduler) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- sched.Run(ctx) }()
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

func admission(timeout time.Duration) filter.Admission {
	return filter.Admission{Model: "m@1", Workspace: "w", Weight: 1, Class: filter.Assured, Deadline: time.Now().Add(timeout)}
}

func post(t *testing.T, sched *scheduler.Scheduler, message scheduler.Message) {
	t.Helper()
	if err := sched.Post(message); err != nil {
		t.Fatal(err)
	}
}

// Guards against a slot that leaks when its caller is cancelled or the inbox is
// full on its release, and against a request that waits past its deadline.
func TestSchedulerGrantsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := scheduler.NewAtLocation(router.Location{}, 1, scheduler.Settings{Clock: clockwork.NewRealClock(), InboxSize: 1})
		post(t, sched, oneSlot)
		run(t, sched)
		synctest.Wait()
		slot, err := sched.Admit(t.Context(), admission(time.Minute))
		if err != nil || slot.Endpoint != "a" {
			t.Fatalf("admit: %+v, %v; want a slot at a", slot, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := sched.Admit(ctx, admission(time.Minute)); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("cancelled admit: %v; want %v", err, context.DeadlineExceeded)
		}
		begun := time.Now()
		_, err = sched.Admit(t.Context(), admission(3*time.Second))
		var refusal filter.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != filter.DeadlinePassed || time.Since(begun) != 3*time.Second {
			t.Fatalf("admit: %v after %s; want %s after 3s", err, time.Since(begun), filter.DeadlinePassed)
		}
		sched.Release(slot, filter.SlotResult{Duration: time.Second})
		synctest.Wait() // the inbox has room again once the task has taken the release
		if _, err := sched.Admit(t.Context(), admission(time.Minute)); err != nil {
			t.Fatalf("admit after the release: %v", err)
		}
	})
}

// Guards against a full inbox that blocks a request or loses a release.
func TestSchedulerWithFullInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := scheduler.NewController(router.Location{}, 1)
		controller.Step(time.Now(), oneSlot)
		effects := controller.Step(time.Now(), scheduler.Admit{Call: 1000, Admission: admission(time.Minute)})
		slot := effects[0].(scheduler.Grant).Slot
		sched := scheduler.New(scheduler.Settings{Clock: clockwork.NewRealClock(), Controller: controller, InboxSize: 1})
		post(t, sched, scheduler.Tick{})
		var refusal filter.Refusal
		_, err := sched.Admit(t.Context(), admission(time.Minute))
		if !errors.As(err, &refusal) || refusal.Reason != filter.Overloaded || refusal.Run != filter.NotRun {
			t.Fatalf("admit: %v; want %s, not run", err, filter.Overloaded)
		}
		sched.Release(slot, filter.SlotResult{})
		run(t, sched)
		time.Sleep(time.Second)
		if _, err := sched.Admit(t.Context(), admission(time.Minute)); err != nil {
			t.Fatalf("admit after the release: %v", err)
		}
	})
}

// Guards against a request that waits for a task that has ended.
func TestSchedulerAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := scheduler.NewAtLocation(router.Location{}, 1, scheduler.Settings{Clock: clockwork.NewRealClock()})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := sched.Run(ctx); err != nil {
			t.Fatal(err)
		}
		var refusal filter.Refusal
		_, err := sched.Admit(t.Context(), admission(time.Minute))
		if !errors.As(err, &refusal) || refusal.Reason != filter.Draining || refusal.Run != filter.NotRun {
			t.Fatalf("admit: %v; want %s, not run", err, filter.Draining)
		}
	})
}
