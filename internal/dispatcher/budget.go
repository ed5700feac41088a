package dispatcher

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// retryShare is the part of requests that may be retried or hedged.
	retryRatio = 0.1
	// maxRetrySavings bounds the retries that a quiet time leaves for a bad
	// one.
	maxRetryBalance = 100
	// minRetryInterval is how often a retry is allowed whatever the requests, so
	// that a node with few requests can retry at all.
	minRetryInterval = time.Second

	// budgetUnit is one retry in the units of the balance.
	budgetUnit = 1000
)

// BudgetSettings describes a budget.
type BudgetSettings struct {
	// Share is the part of requests that may be retried.
	Ratio float64
	// Savings bounds the retries that a quiet time leaves for a bad one, and
	// Opening is what the budget begins with.
	MaxBalance, InitialBalance float64
	// Floor is how often a retry is allowed whatever the requests; 0 means
	// never.
	FloorInterval time.Duration
}

// Budget bounds retries and hedges to a part of the requests. It is a token
// bucket that requests fill. Requests share no lock: the balance is an atomic
// number.
type Budget struct {
	settings  BudgetSettings
	clock     clockwork.Clock
	startedAt time.Time
	balance   atomic.Int64
	// floorAt is when the floor next allows a retry, in nanoseconds since
	// started.
	nextFloorRetry atomic.Int64
}

// NewBudget returns an empty budget for the attempts of a node that shares
// none with others.
func NewBudget(clock clockwork.Clock) *Budget {
	return NewBudgetWith(clock, BudgetSettings{Ratio: retryRatio, MaxBalance: maxRetryBalance, FloorInterval: minRetryInterval})
}

// NewBudgetWith returns a budget with the given settings.
func NewBudgetWith(clock clockwork.Clock, settings BudgetSettings) *Budget {
	budget := &Budget{settings: settings, clock: clock, startedAt: clock.Now()}
	budget.balance.Store(int64(settings.InitialBalance * budgetUnit))
	return budget
}

// Attempt counts an attempt. The attempt of a retry counts too; Spend takes
// that into account, so that the budget is a share of the requests.
func (b *Budget) RecordAttempt() {
	for {
		balance := b.balance.Load()
		filled := min(balance+int64(b.settings.Ratio*budgetUnit), int64(b.settings.MaxBalance*budgetUnit))
		if filled == balance || b.balance.CompareAndSwap(balance, filled) {
			return
		}
	}
}

// Spend implements filter.Budget. A retry costs one unit and the share that
// its own attempt adds.
func (b *Budget) Spend() bool {
	cost := budgetUnit + int64(b.settings.Ratio*budgetUnit)
	for {
		balance := b.balance.Load()
		if balance < cost {
			return b.spendFloor()
		}
		if b.balance.CompareAndSwap(balance, balance-cost) {
			return true
		}
	}
}

func (b *Budget) spendFloor() bool {
	if b.settings.FloorInterval == 0 {
		return false
	}
	now := int64(b.clock.Since(b.startedAt))
	at := b.nextFloorRetry.Load()
	return now >= at && b.nextFloorRetry.CompareAndSwap(at, now+int64(b.settings.FloorInterval))
}
