package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// evacuate posts the evacuated data centres to all nodes. In a world each replica is a data
// centre.
func (f *fuzzRun) evacuate(dataCentres []string) {
	for _, node := range f.world.nodes {
		f.world.send(node, EvacuationsListed{DataCentres: dataCentres, CurrentAsOf: f.world.now})
	}
}

// TestEvacuatedReplicasGetNoLoads guards against a load of a model or an adapter in a data
// centre that the holder knows to be evacuated, whatever orders were queued, refused or
// unanswered before, and whoever holds the lease. The world reports such an order.
func TestEvacuatedReplicasGetNoLoads(t *testing.T) {
	tester.CheckN(t, 10, 15, func(t *rapid.T) {
		world := newWorld(rapid.IntRange(2, 4).Draw(t, "replicas"), 6)
		// Fast loads and slow unloads leave orders in the queues.
		world.unloadTime = 500 * time.Millisecond
		for _, replica := range world.replicas {
			replica.onDisk = []string{"m0", "m1", "m2", "m3", "m4", "m5"}
		}
		run := &fuzzRun{world: world}
		run.grantLease(0)
		for _, node := range world.nodes {
			world.sendConfiguration(node)
			world.sendList(node)
		}
		takeoverAt := rapid.IntRange(0, 400).Draw(t, "takeover")
		for i := range rapid.IntRange(100, 250).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "evacuate") == 0 {
				var dataCentres []string
				for _, replica := range world.replicas {
					if rapid.Bool().Draw(t, "evacuated") {
						dataCentres = append(dataCentres, replica.id)
					}
				}
				run.evacuate(dataCentres)
			}
			run.disturb(t)
			if i == takeoverAt {
				world.send(world.nodes[run.holder], LeaseLost{})
				run.grantLease(1 - run.holder)
			}
			run.advance(time.Duration(rapid.IntRange(5, 120).Draw(t, "ms")) * time.Millisecond)
			if len(world.problems) > 0 {
				t.Fatal(world.problems[0])
			}
		}
	})
}

// TestEvacuatedModelsAreLoadedElsewhere guards against models that only evacuated replicas
// hold and that no other replica loads before requests wait for them, and against models
// that displace each other again and again because not all of them have room.
func TestEvacuatedModelsAreLoadedElsewhere(t *testing.T) {
	tester.CheckN(t, 10, 15, func(t *rapid.T) {
		const models, requested = 9, 3
		world := newWorld(4, models)
		for i, replica := range world.replicas {
			replica.onDisk = nil
			for m := range models {
				replica.onDisk = append(replica.onDisk, fmt.Sprintf("m%d", m))
			}
			for _, m := range [][]int{{0, 1, 2}, {3, 4, 5}, {6, 7}, {8}}[i] {
				replica.models[fmt.Sprintf("m%d", m)] = map[string]bool{}
				if m%2 == 0 {
					replica.models[fmt.Sprintf("m%d", m)]["x"] = true
				}
			}
			replica.history = nil
		}
		world.recordStates()
		run := &fuzzRun{world: world}
		run.grantLease(0)
		world.sendConfiguration(world.nodes[0])
		world.sendList(world.nodes[0])
		first := rapid.IntRange(0, models-requested).Draw(t, "first requested model")
		advance := func(steps int) {
			for i := range steps {
				if run.leaseEnd.Sub(world.now) < time.Second {
					run.leaseEnd = world.now.Add(leaseDuration)
					world.send(world.nodes[0], LeaseHeld{Epoch: run.epoch, Until: run.leaseEnd})
				}
				report := Report{Node: surveyor.Node{Name: "n1", RunID: "run"}, Sequence: uint64(i) + 1}
				for m := first; m < first+requested; m++ {
					report.Uses = append(report.Uses, Use{Service: worldService, Model: fmt.Sprintf("m%d", m), Adapter: "x", Count: 1, Tokens: 10})
				}
				world.send(world.nodes[0], ReportReceived{Report: report})
				run.advance(500 * time.Millisecond)
			}
		}
		advance(8)
		evacuated := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"r0", "r1", "r2", "r3"}), 1, 3, rapid.ID).Draw(t, "evacuated")
		run.evacuate(evacuated)
		advance(12)
		elsewhere := map[string]bool{}
		for _, replica := range world.replicas {
			for model := range replica.models {
				elsewhere[model] = elsewhere[model] || !slices.Contains(evacuated, replica.id)
			}
		}
		for m := first; m < first+requested; m++ {
			if name := fmt.Sprintf("m%d", m); len(evacuated) < 3 && !elsewhere[name] {
				t.Fatalf("%s is loaded at no replica outside %q", name, evacuated)
			}
		}
		before := world.sequences()
		advance(20)
		if orders := world.sequences() - before; orders > models {
			t.Fatalf("%d orders in 10 s after what is requested was loaded outside %q, want at most %d", orders, evacuated, models)
		}
	})
}

// sequences returns the number of orders that the replicas have accepted.
func (w *world) sequences() (total int) {
	for _, replica := range w.replicas {
		total += int(replica.sequence)
	}
	return total
}
