package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestOrdersAreSafe guards against replicas that are ordered to hold more than
// fits, against two holders whose orders to one replica come within the
// spacing, and against too many loads from the weight store: with orders that
// get no answer or are carried out late, replicas that restart, holders that
// freeze past their lease, and leases that change hands.
func TestOrdersAreSafe(t *testing.T) {
	tester.CheckSome(t, 20, 30, func(t *rapid.T) {
		world := newWorld(rapid.IntRange(2, 4).Draw(t, "replicas"), rapid.IntRange(4, 9).Draw(t, "models"))
		play := &fuzzed{world: world}
		play.take(0)
		for _, node := range world.nodes {
			world.configure(node)
			world.list(node)
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			play.step(t)
			if len(world.problems) > 0 {
				t.Fatal(world.problems[0])
			}
		}
		world.ceiling()
		if len(world.problems) > 0 {
			t.Fatal(world.problems[0])
		}
	})
}

// TestDemandIsServed guards against a placement that stops: after orders that
// got no answer and restarts, a model that is asked for is loaded again.
func TestDemandIsServed(t *testing.T) {
	tester.CheckSome(t, 20, 20, func(t *rapid.T) {
		world := newWorld(3, 8)
		play := &fuzzed{world: world}
		play.take(0)
		world.configure(world.nodes[0])
		world.list(world.nodes[0])
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			play.disturb(t)
			play.settle(50 * time.Millisecond)
		}
		for _, replica := range world.replicas {
			if replica.crashed {
				world.restart(replica)
			}
		}
		model := fmt.Sprintf("m%d", rapid.IntRange(0, 7).Draw(t, "model"))
		loaded := func() bool {
			for _, replica := range world.replicas {
				if _, ok := replica.models[model]; ok {
					return true
				}
			}
			return false
		}
		// Late orders take up to 12 s, and two loads from the weight store 12 s.
		for range 600 {
			if loaded() {
				return
			}
			play.report(world.nodes[0], Demand{Service: worldService, Model: model, Waiting: 1, Left: 10 * time.Second})
			play.settle(50 * time.Millisecond)
		}
		t.Fatalf("%s is not loaded after 30 s", model)
	})
}

// TestLoadFollowsUnload guards against a load that comes late because the
// replica refused it while its unloads waited for running requests.
func TestLoadFollowsUnload(t *testing.T) {
	world := newWorld(1, 4)
	world.replicas[0].disk = []string{"m0", "m1", "m2", "m3"}
	play := &fuzzed{world: world}
	play.take(0)
	world.configure(world.nodes[0])
	world.list(world.nodes[0])
	ask := func(model string, within time.Duration) {
		t.Helper()
		for asked := world.now; world.now.Sub(asked) <= within; play.settle(10 * time.Millisecond) {
			if _, ok := world.replicas[0].models[model]; ok {
				return
			}
			world.send(world.nodes[0], Reported{Report: Report{
				Node:    surveyor.Node{Name: "n1", RunID: "run"},
				Demands: []Demand{{Service: worldService, Model: model, Waiting: 1, Left: 10 * time.Second}},
			}})
		}
		t.Fatalf("%s is not loaded after %v", model, within)
	}
	for _, model := range []string{"m0", "m1", "m2"} {
		ask(model, 2*time.Second)
	}
	play.settle(400 * time.Millisecond)
	world.unload = 600 * time.Millisecond
	ask("m3", world.unload+world.engine.Models["m3"].DiskLoad+250*time.Millisecond)
}

// TestSparesYield guards against busy models whose spare replicas take every
// place, so that a model that requests wait for is never loaded.
func TestSparesYield(t *testing.T) {
	world := newWorld(2, 4)
	for _, replica := range world.replicas {
		replica.disk = []string{"m0", "m1", "m2", "m3"}
	}
	play := &fuzzed{world: world}
	play.take(0)
	world.configure(world.nodes[0])
	world.list(world.nodes[0])
	holds := func(model string) (count int) {
		for _, replica := range world.replicas {
			if _, ok := replica.models[model]; ok {
				count++
			}
		}
		return count
	}
	report := func(demands ...Demand) {
		// Each model has 4 requests a second.
		report := Report{Node: surveyor.Node{Name: "n1", RunID: "run"}, Demands: demands}
		for _, model := range []string{"m0", "m1", "m2"} {
			report.Uses = append(report.Uses, Use{Service: worldService, Model: model, Count: 1, Tokens: 100})
		}
		world.send(world.nodes[0], Reported{Report: report})
		play.settle(250 * time.Millisecond)
	}
	for range 40 {
		report()
	}
	if holds("m0")+holds("m1")+holds("m2") != 6 {
		t.Fatalf("the busy models have %d, %d and %d replicas", holds("m0"), holds("m1"), holds("m2"))
	}
	for range 12 {
		report(Demand{Service: worldService, Model: "m3", Waiting: 1, Left: 10 * time.Second, InTime: 2 * time.Second})
		if holds("m3") > 0 {
			return
		}
	}
	t.Fatal("m3 is not loaded after 3 s")
}

// fuzzed drives a world.
type fuzzed struct {
	world  *world
	holder int
	epoch  uint64
	// until is the end of the lease.
	until  time.Time
	listAt time.Time
}

const fuzzLease = 2700 * time.Millisecond

// take gives the lease to a node.
func (f *fuzzed) take(node int) {
	f.holder, f.until = node, f.world.now.Add(fuzzLease)
	f.epoch++
	f.world.send(f.world.nodes[node], Held{Epoch: f.epoch, Until: f.until, First: f.epoch == 1})
}

// step draws a disturbance, renews the lease or lets it lapse, and goes on.
func (f *fuzzed) step(t *rapid.T) {
	f.disturb(t)
	holder := f.world.nodes[f.holder]
	switch rapid.IntRange(0, 30).Draw(t, "lease") {
	case 0:
		holder.frozen = !holder.frozen
	case 1:
		f.world.send(holder, Lost{})
		f.until = f.world.now
	}
	if !holder.frozen && f.world.now.Before(f.until) && f.until.Sub(f.world.now) < fuzzLease-time.Second {
		f.until = f.world.now.Add(fuzzLease)
		f.world.send(holder, Held{Epoch: f.epoch, Until: f.until})
	}
	if !f.world.now.Before(f.until) {
		if holder.frozen || rapid.Bool().Draw(t, "other") {
			f.take(1 - f.holder)
		} else {
			f.take(f.holder)
		}
	}
	f.settle(time.Duration(rapid.IntRange(5, 120).Draw(t, "ms")) * time.Millisecond)
}

// settle advances the world, with lists from time to time.
func (f *fuzzed) settle(by time.Duration) {
	if f.epoch > 0 && f.world.now.Before(f.until) && f.until.Sub(f.world.now) < time.Second && !f.world.nodes[f.holder].frozen {
		f.until = f.world.now.Add(fuzzLease)
		f.world.send(f.world.nodes[f.holder], Held{Epoch: f.epoch, Until: f.until})
	}
	if !f.world.now.Before(f.listAt) {
		f.listAt = f.world.now.Add(250 * time.Millisecond)
		for _, node := range f.world.nodes {
			f.world.list(node)
		}
	}
	for range 3 {
		f.world.step(by / 3)
	}
}

// disturb draws a demand, a crash, a restart or a lost answer.
func (f *fuzzed) disturb(t *rapid.T) {
	world := f.world
	switch kind := rapid.IntRange(0, 12).Draw(t, "kind"); {
	case kind < 6:
		demand := Demand{Service: worldService, Model: fmt.Sprintf("m%d", rapid.IntRange(0, len(world.engine.Models)-1).Draw(t, "model")), Waiting: 1, Left: 3 * time.Second}
		if rapid.IntRange(0, 2).Draw(t, "adapter") == 0 {
			demand.Adapter = fmt.Sprintf("a%d", rapid.IntRange(1, 4).Draw(t, "name"))
		}
		f.report(world.nodes[f.holder], demand)
	case kind == 6:
		replica := rapid.SampledFrom(world.replicas).Draw(t, "replica")
		if replica.crashed {
			world.restart(replica)
		} else {
			replica.crashed = true
		}
	case kind < 9:
		f.loseAnswer(t)
	}
}

// loseAnswer takes the answer to an order from a node's inbox: the order was
// carried out, or will be seconds later, or never.
func (f *fuzzed) loseAnswer(t *rapid.T) {
	for _, node := range f.world.nodes {
		for i, waiting := range node.inbox {
			done, ok := waiting.message.(OrderDone)
			if !ok || done.Outcome == Unsent {
				continue
			}
			refused := done.Outcome == Busy || done.Outcome == Rejected
			done.Outcome = Unanswered
			node.inbox[i].message = done
			if replica := f.world.replica(done.Replica); refused && replica != nil && rapid.Bool().Draw(t, "late") {
				at := f.world.now.Add(time.Duration(rapid.Int64Range(0, int64(worldLate)).Draw(t, "delay")))
				f.world.late = append(f.world.late, worldCall{at, replica, done.Order})
			}
			return
		}
	}
}

// report delivers a node's report with a demand.
func (f *fuzzed) report(holder *worldNode, demand Demand) {
	f.world.send(holder, Reported{Report: Report{
		Node:    surveyor.Node{Name: "n1", RunID: "run"},
		Demands: []Demand{demand},
		Uses:    []Use{{Service: demand.Service, Model: demand.Model, Adapter: demand.Adapter, Count: 1, Tokens: 700}},
	}})
}
