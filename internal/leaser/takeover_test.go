package leaser_test

import (
	"slices"
	"testing"
	"time"
)

const (
	// takeoverSeeds is the number of worlds for each kind of takeover.
	takeoverSeeds = 1000
	// crashBound is the maximum time without a holder after a crash, "about 4.5
	// s" in the design.
	crashBound = 4500 * time.Millisecond
	// handoverBound is the maximum time without a holder after a handover in
	// the design.
	handoverBound = time.Second
	// callRateBound is the maximum number of calls per second for one lease:
	// one renewal by the holder and one read by each of the two other
	// candidates, plus 10% for clocks that run fast.
	callRateBound = 3.3
)

// Guards against takeovers that take longer than the design allows, and against
// a call rate that grows with the number of nodes. It logs a table of the
// times.
func TestTakeoverTimes(t *testing.T) {
	t.Logf("%-28s %8s %8s %8s %8s  (seeds 1 to %d)", "without a holder", "p50", "p95", "p99", "max", takeoverSeeds)
	kinds := []struct {
		name  string
		bound time.Duration
		leave func(*world, *node)
	}{
		{"crash", crashBound, (*world).crash},
		{"handover", handoverBound, (*world).release},
	}
	for _, kind := range kinds {
		var times []time.Duration
		for seed := uint64(1); seed <= takeoverSeeds; seed++ {
			times = append(times, measureTakeover(t, seed, kind.leave))
		}
		slices.Sort(times)
		quantile := func(share float64) time.Duration {
			return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
		}
		t.Logf("%-28s %8s %8s %8s %8s", kind.name, quantile(0.5), quantile(0.95), quantile(0.99), quantile(1))
		if quantile(1) > kind.bound {
			t.Errorf("%s: %s without a holder; want at most %s", kind.name, quantile(1), kind.bound)
		}
	}
	for _, nodes := range []int{3, 7, 100} {
		rate := callRate(nodes)
		t.Logf("%4d nodes: %.2f calls/s for one lease", nodes, rate)
		if rate > callRateBound {
			t.Errorf("%d nodes: %.2f calls/s; want at most %.1f", nodes, rate, callRateBound)
		}
	}
}

// measureTakeover returns how long the lease has no holder after its holder
// leaves.
func measureTakeover(t *testing.T, seed uint64, leave func(*world, *node)) time.Duration {
	t.Helper()
	w := steadyWorld(seed, 7)
	w.runUntil(10*time.Second+w.randomUpTo(2*time.Second), never)
	holder, epoch := w.holder(), w.lastEpoch
	if holder == nil {
		t.Fatalf("seed %d: no node holds the lease", seed)
	}
	leftAt := w.now
	leave(w, holder)
	w.runUntil(leftAt+time.Minute, func() bool { return w.lastEpoch > epoch })
	return w.now - leftAt
}

// steadyWorld returns a world without faults. The drift of its clocks is
// realistic, up to 200 parts per million, and its platform responds within 2 to
// 6 ms.
func steadyWorld(seed uint64, nodes int) *world {
	rates := make([]float64, nodes)
	for i := range rates {
		rates[i] = 1 + 0.0002*(2*float64((seed*31+uint64(i)*17)%101)/100-1)
	}
	return newWorld(seed, rates, 2*time.Millisecond)
}

func callRate(nodes int) float64 {
	w := steadyWorld(1, nodes)
	w.runUntil(10*time.Second, never)
	before := w.calls
	w.runUntil(110*time.Second, never)
	return float64(w.calls-before) / 100
}
