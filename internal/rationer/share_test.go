package rationer

import (
	"testing"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestIsolatedSharesAddUp guards against nodes that are cut off one after the other and
// together use more than the limit, because each has measured its share among the nodes that
// were still connected.
func TestIsolatedSharesAddUp(t *testing.T) {
	tester.CheckN(t, 10, 1, func(t *rapid.T) {
		f := newFleet(t)
		f.nodes = f.nodes[:min(len(f.nodes), 7)]
		f.noFaults, f.demandFactor = true, 0.8
		f.exchange(true)
		for step := range 500 {
			if index := (step - 100) / 50; step >= 100 && step%50 == 0 && index < len(f.nodes) {
				f.nodes[index].isolated = true
			}
			f.step()
		}
		total := 0.0
		for _, node := range f.nodes {
			total += node.controller.isolatedShare(node.controller.Buckets["w"])
		}
		if total > 1.1 {
			t.Fatalf("%d nodes that are cut off use %.2f of the limit", len(f.nodes), total)
		}
	})
}

// TestLimitHoldsWhileNodesComeAndGo guards against a workspace that gets more than its limit
// while nodes lose the holder and find it again, and TestLimitHoldsWhileDemandSwings while its
// demand changes by factors. Both run long with few kinds of faults, so that these add up.
func TestLimitHoldsWhileNodesComeAndGo(t *testing.T) {
	checkLimitUnder(t, 7, func(f *fleet) {
		node := f.nodes[f.random.IntN(len(f.nodes))]
		node.isolated = !node.isolated
	})
}

func TestLimitHoldsWhileDemandSwings(t *testing.T) {
	checkLimitUnder(t, 87, func(f *fleet) { f.demandFactor = 0.2 + 7.8*f.random.Float64() })
}

// checkLimitUnder checks the bound in 25 runs of 25 s with a fault every three seconds on
// average. It draws no cases from rapid, whose search for a smaller case takes minutes.
func checkLimitUnder(t *testing.T, nodes int, fault func(f *fleet)) {
	for seed := range uint64(25) {
		f := newFleetOf(seed, nodes)
		f.noFaults, f.demandFactor, f.maxWait = true, 4, 0
		f.exchange(true)
		for range 500 {
			if f.random.IntN(60) == 0 {
				fault(f)
			}
			f.step()
			if total, allowed := f.usage(); total > allowed {
				t.Fatalf("seed %d: %.0f units in %v, %.0f are allowed", seed, total, fuzzWindow, allowed)
			}
		}
	}
}
