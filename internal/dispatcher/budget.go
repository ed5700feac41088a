package dispatcher

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// retryRatio is the share of requests that may be retried or hedged.
	retryRatio = 0.1
	// maxRetryBalance bounds the number of retries that can accumulate while
	// few are needed.
	maxRetryBalance = 100
	// retryFloorInterval is the interval at which one retry is allowed regardless
	// of the number of requests, so that a node with few requests can retry at
	// all.
	retryFloorInterval = time.Second

	// budgetUnit is one retry in the balance, which is an integer number of
	// thousandths of a retry.
	budgetUnit = 1000
)

// BudgetSettings configures a Budget.
type BudgetSettings struct {
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// MaxBalance bounds the number of retries that can accumulate while few are
	// needed, and InitialBalance is the number available at the start.
	MaxBalance, InitialBalance float64
	// FloorInterval is the interval at which one retry is allowed regardless of
	// the balance; 0 means never.
	FloorInterval time.Duration
}

// Budget bounds retries and hedges to a share of the requests. It is a token
// bucket that requests fill. The balance is an atomic integer, so that requests
// do not contend for a lock.
type Budget struct {
	settings  BudgetSettings
	clock     clockwork.Clock
	startedAt time.Time
	balance   atomic.Int64
	// nextFloorRetry is when FloorInterval next allows a retry, in nanoseconds
	// since startedAt.
	nextFloorRetry atomic.Int64
}

// NewBudget returns an empty budget with the default settings, for a node whose
// retry budget is not shared with other nodes.
func NewBudget(clock clockwork.Clock) *Budget {
	return NewBudgetWith(clock, BudgetSettings{Ratio: retryRatio, MaxBalance: maxRetryBalance, FloorInterval: retryFloorInterval})
}

// NewBudgetWith returns a budget with the given settings.
func NewBudgetWith(clock clockwork.Clock, settings BudgetSettings) *Budget {
	budget := &Budget{settings: settings, clock: clock, startedAt: clock.Now()}
	budget.balance.Store(int64(settings.InitialBalance * budgetUnit))
	return budget
}

// RecordAttempt adds an attempt's share to the balance. Attempts of retries
// count too; Spend takes that into account, so that the budget is a share of
// the requests.
func (b *Budget) RecordAttempt() {
	for {
		balance := b.balance.Load()
		filled := min(balance+int64(b.settings.Ratio*budgetUnit), int64(b.settings.MaxBalance*budgetUnit))
		if filled == balance || b.balance.CompareAndSwap(balance, filled) {
			return
		}
	}
}

// Spend implements filter.Budget. A retry costs one unit plus the share that
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
