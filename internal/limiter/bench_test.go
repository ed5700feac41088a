package limiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

var benchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func benchLimits(count int) []limiter.Limit {
	limits := make([]limiter.Limit, count)
	for i := range limits {
		limits[i] = limiter.Limit{Workspace: fmt.Sprintf("workspace-%04d", i), Rate: 1e9, Burst: 1e12}
	}
	return limits
}

func newOwner(workspaces int) *limiter.Owner {
	owner := limiter.NewOwner(limiter.DefaultSlots)
	owner.Step(benchStart, limiter.WorkspacesChanged{Limits: benchLimits(workspaces)})
	owner.Step(benchStart, limiter.InstancesListed{})
	owner.Step(benchStart, limiter.LeaseHeld{Epoch: 1, Until: benchStart.Add(1e6 * time.Hour)})
	return owner
}

// exchangeOf returns an exchange that requests one grant in each of the first
// workspaces. From the second sequence on it reports the previous grant as spent.
func exchangeOf(sequence uint64, workspaces int) limiter.ExchangeReceived {
	exchange := limiter.Exchange{Holder: "a", Session: 1, Epoch: 1, Sequence: sequence, Received: sequence - 1}
	for i := range workspaces {
		account := limiter.Account{Workspace: fmt.Sprintf("workspace-%04d", i), Need: 10, Waiting: 10}
		if sequence > 1 {
			account.Grants = []limiter.GrantUse{{Grant: sequence - 1, Spent: 10}}
		}
		exchange.Accounts = append(exchange.Accounts, account)
	}
	return limiter.ExchangeReceived{Exchange: exchange}
}

// BenchmarkOwnerExchange measures one exchange that reports the last grant of each
// of its workspaces and requests another.
func BenchmarkOwnerExchange(b *testing.B) {
	for _, workspaces := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("accounts=%d", workspaces), func(b *testing.B) {
			owner := newOwner(100)
			now := benchStart.Add(time.Minute)
			message := exchangeOf(1, workspaces)
			b.ReportAllocs()
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				now = now.Add(time.Millisecond)
				message.Exchange.Sequence, message.Exchange.Received = sequence, sequence-1
				for i := range message.Exchange.Accounts {
					message.Exchange.Accounts[i].Grants = []limiter.GrantUse{{Grant: sequence - 1, Spent: 10}}
				}
				owner.Step(now, message)
			}
		})
	}
}

// BenchmarkHolderRequest measures one request from reservation to settlement (three
// steps) with tokens that the node already has.
func BenchmarkHolderRequest(b *testing.B) {
	for _, workspaces := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			holder := limiter.NewHolder("a", 1, limiter.DefaultSlots)
			holder.Standing = true
			limits := benchLimits(workspaces)
			holder.Step(benchStart, limiter.WorkspacesChanged{Limits: limits})
			now := benchStart.Add(time.Hour)
			holder.Step(now, limiter.HolderTick{})
			b.ReportAllocs()
			call := runner.Call(0)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				call += 2
				name := limits[int(call)%len(limits)].Workspace
				effects := holder.Step(now, limiter.ReserveRequested{Call: call, Workspace: name, Tokens: 100, Deadline: now.Add(time.Second)})
				id := effects[0].(limiter.Reserved).ID
				holder.Step(now, limiter.ConfirmRequested{Call: call + 1, ID: id, Deadline: now.Add(time.Second)})
				holder.Step(now, limiter.Settled{ID: id, Used: 50})
			}
		})
	}
}

// BenchmarkHolderTick measures one tick over all workspaces.
func BenchmarkHolderTick(b *testing.B) {
	for _, workspaces := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			holder := limiter.NewHolder("a", 1, limiter.DefaultSlots)
			holder.Step(benchStart, limiter.WorkspacesChanged{Limits: benchLimits(workspaces)})
			now := benchStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				holder.Step(now, limiter.HolderTick{})
			}
		})
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory reports the memory in bytes of a workspace at the owner and at a
// holder, and of a grant at the owner.
func BenchmarkMemory(b *testing.B) {
	const workspaces = 10_000
	for b.Loop() {
		before := heap()
		owner := newOwner(workspaces)
		ledgers := heap()
		now := benchStart.Add(time.Minute)
		owner.Step(now, exchangeOf(1, workspaces))
		empty := heap()
		for sequence := range uint64(10) {
			message := exchangeOf(sequence+2, workspaces)
			for i := range message.Exchange.Accounts {
				message.Exchange.Accounts[i].Grants = nil
			}
			owner.Step(now, message)
		}
		full := heap()
		holder := limiter.NewHolder("a", 1, limiter.DefaultSlots)
		holder.Standing = true
		holder.Step(benchStart, limiter.WorkspacesChanged{Limits: benchLimits(workspaces)})
		pools := heap()
		b.ReportMetric((ledgers-before)/workspaces, "B/ledger")
		b.ReportMetric((full-empty)/workspaces/10, "B/grant")
		b.ReportMetric((pools-full)/workspaces, "B/pool")
		runtime.KeepAlive(owner)
		runtime.KeepAlive(holder)
	}
}
