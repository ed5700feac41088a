package leaser_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// faultWindow is the period in which faults begin in each case, and recoveryTime
// how long the lease may be without a holder after the last fault: an expired
// lease, one lost call and a few polls on a slow clock.
const (
	faultWindow  = 60 * time.Second
	recoveryTime = 8 * time.Second
)

// Guards against two valid holders at the same time, an epoch that is used
// twice, stored data that a later holder does not inherit, and a lease that no
// node takes. Clocks run up to 10% fast or slow.
func TestOneHolderAtATime(t *testing.T) {
	tester.Check(t, 30, func(t *rapid.T) {
		w := drawWorld(t)
		end := drawFaults(t, w, []string{"pause", "crash", "outage", "release", "withdraw", "keep"})
		w.runUntil(max(end, w.faultyUntil+maxStall, w.outageUntil)+recoveryTime, never)
		if w.holder() == nil {
			w.violate("no node holds the lease %s after the last fault", recoveryTime)
		}
		if len(w.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(w.violations), w.violations[0])
		}
	})
}

// maxCopyAge is the maximum age of the copy from which the object API is restored.
const maxCopyAge = 15 * time.Second

// Guards against two valid holders at the same time and an epoch that is used twice
// when the object API comes back from an older copy, in which the lease is free, held
// by an earlier holder, or has a version that is given out again for another lease.
func TestOneHolderAcrossRestorations(t *testing.T) {
	tester.Check(t, 30, func(t *rapid.T) {
		w := drawWorld(t)
		w.era = 1
		end := drawFaults(t, w, []string{"pause", "crash", "outage", "release", "withdraw", "keep", "restore", "restore"})
		w.runUntil(max(end, w.faultyUntil+maxStall, w.outageUntil)+recoveryTime, never)
		if w.holder() == nil {
			w.violate("no node holds the lease %s after the last fault", recoveryTime)
		}
		if len(w.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(w.violations), w.violations[0])
		}
	})
}

func drawWorld(t *rapid.T) *world {
	rate := rapid.OneOf(rapid.SampledFrom([]float64{0.9, 1.1}), rapid.Float64Range(0.9, 1.1))
	rates := rapid.SliceOfN(rate, 2, 4).Draw(t, "rates")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), rates, rapid.SampledFrom([]time.Duration{
		2 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond,
	}).Draw(t, "latency"))
	share := rapid.SampledFrom([]float64{0, 0.05, 0.3})
	w.requestLoss = share.Draw(t, "lost")
	w.replyLoss = share.Draw(t, "replyLost")
	w.lateWrites = share.Draw(t, "late")
	w.stalls = share.Draw(t, "stalled")
	w.faultyUntil = rapid.SampledFrom([]time.Duration{0, faultWindow}).Draw(t, "faultyUntil")
	return w
}

// drawFaults schedules faults and returns when the last one ends.
func drawFaults(t *rapid.T, w *world, names []string) time.Duration {
	startTime := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(faultWindow)).Draw(t, "at"))
	})
	kinds := rapid.SliceOfN(rapid.SampledFrom(names), 0, 15).Draw(t, "kinds")
	end := time.Duration(0)
	for _, kind := range kinds {
		start := startTime.Draw(t, "start")
		length := rapid.SampledFrom([]time.Duration{
			100 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond, 3500 * time.Millisecond, 10 * time.Second,
		}).Draw(t, "length")
		n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
		onHolder := rapid.Bool().Draw(t, "onHolder")
		w.after(start, func() { w.injectFault(kind, n, onHolder, length) })
		end = max(end, start+length)
	}
	return end
}

// injectFault starts a fault of a node, or of the holder if onHolder is set and
// there is one.
func (w *world) injectFault(kind string, n *node, onHolder bool, length time.Duration) {
	if holder := w.holder(); onHolder && holder != nil {
		n = holder
	}
	switch kind {
	case "pause":
		n.pausedUntil = w.now + length
	case "outage":
		w.outageUntil = max(w.outageUntil, w.now+length)
	case "restore":
		w.outageUntil = max(w.outageUntil, w.now+length/2)
		w.after(length/2, func() { w.restore(w.randomUpTo(maxCopyAge)) })
	case "keep":
		w.setData(n)
	case "release":
		w.release(n)
		w.after(length, func() { w.start(n) })
	case "withdraw":
		w.release(n)
		run := n.run
		w.after(length, func() { w.resume(n, run) })
	case "crash":
		w.crash(n)
		w.after(length, func() { w.start(n) })
	}
}
