package limiter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/limiter"
)

// startTasks runs a Limits and an OwnerTask that are connected directly. The owner
// holds the lease for an hour, and its data is stored without delay.
func startTasks(t *testing.T, limit limiter.Limit) *limiter.Limits {
	t.Helper()
	clock := clockwork.NewRealClock()
	var owner *limiter.OwnerTask
	owner = limiter.NewOwnerTask(limiter.DefaultSlots, clock, func(data []byte) {
		go func() { _ = owner.LeaseDataStored(1, data) }()
	})
	limits := limiter.New("a", limiter.DefaultSlots, clock,
		func(ctx context.Context, _ string, exchange limiter.Exchange) (limiter.Answer, error) {
			return owner.Exchange(ctx, exchange)
		}, func(map[string]float64) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- limits.Run(ctx) }()
	go func() { ended <- owner.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	changed := limiter.WorkspacesChanged{Limits: []limiter.Limit{limit}}
	for _, err := range []error{
		limits.Post(changed),
		owner.Post(changed),
		owner.LeaseHeld(1, time.Now().Add(time.Hour), nil),
		limits.Post(limiter.OwnerChanged{Node: "a", Epoch: 1}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return limits
}

// Guards against a Limits that loses tokens or returns wrong refusals to the
// filters, and against an OwnerTask that does not answer.
func TestLimitsServesFilters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := startTasks(t, limiter.Limit{Workspace: "w", Rate: 100, Burst: 1000})
		time.Sleep(20 * time.Second)
		ctx := t.Context()
		deadline := time.Now().Add(time.Minute)
		for range 20 {
			reservation, err := limits.Reserve(ctx, "w", 400, deadline)
			if err != nil {
				t.Fatalf("reserve: %v", err)
			}
			if reservation, err = limits.Confirm(ctx, reservation, deadline); err != nil {
				t.Fatalf("confirm: %v", err)
			}
			limits.Settle(reservation, 1)
			time.Sleep(200 * time.Millisecond)
		}
		_, err := limits.Reserve(ctx, "w", 5000, deadline)
		var refusal filter.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != filter.TooLarge || refusal.Run != filter.NotRun {
			t.Errorf("reserve of 5000: %v; want %s", err, filter.TooLarge)
		}
		_, err = limits.Reserve(ctx, "unknown", 1, deadline)
		if !errors.As(err, &refusal) || refusal.Reason != filter.RateLimited || refusal.RetryAfter <= 0 {
			t.Errorf("reserve of an unknown workspace: %v; want %s", err, filter.RateLimited)
		}
	})
}

// Guards against a reservation that is not released when the context of its caller
// is cancelled during Reserve or Confirm.
func TestLimitsReleasesReservationsOfCancelledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := startTasks(t, limiter.Limit{Workspace: "w", Rate: 1, Burst: 1000})
		time.Sleep(15 * time.Minute)
		deadline := time.Now().Add(time.Hour)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		first, err := limits.Reserve(t.Context(), "w", 500, deadline)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := limits.Reserve(short, "w", 500, deadline); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("reserve: %v; want %v", err, context.DeadlineExceeded)
		}
		if _, err := limits.Confirm(short, first, deadline); err == nil {
			t.Log("Confirm succeeded although its context was cancelled")
			limits.Settle(first, 0)
		}
		time.Sleep(3 * time.Second)
		if _, err := limits.Reserve(t.Context(), "w", 500, deadline); err != nil {
			t.Errorf("reserve after all was given back: %v", err)
		}
	})
}
