package dispatcher_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/dispatcher"
)

// Guards against retries that multiply the load when all attempts fail.
func TestBudgetIsATenthOfRequests(t *testing.T) {
	budget := dispatcher.NewBudget(clockwork.NewFakeClock())
	const requests = 10_000
	retries := 0
	for range requests {
		budget.RecordAttempt()
		for budget.Spend() {
			retries++
			budget.RecordAttempt()
		}
	}
	if low, high := requests/10-1, requests/10+1; retries < low || retries > high {
		t.Errorf("%d retries for %d requests; want %d to %d", retries, requests, low, high)
	}
}

// Guards against a node with few requests that can never retry, and against a
// balance that grows without bound.
func TestBudgetFloorAndMaxBalance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	budget := dispatcher.NewBudget(clock)
	spend := func() (count int) {
		for budget.Spend() {
			count++
		}
		return count
	}
	if got := spend(); got != 1 {
		t.Errorf("%d retries at the start; want 1", got)
	}
	clock.Advance(time.Second)
	if got := spend(); got != 1 {
		t.Errorf("%d retries after a second; want 1", got)
	}
	for range 1_000_000 {
		budget.RecordAttempt()
	}
	if got := spend(); got > 100 {
		t.Errorf("%d retries after a long time; want at most 100", got)
	}
}
