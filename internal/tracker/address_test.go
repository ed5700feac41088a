package tracker

import (
	"fmt"
	"math"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const callerCount = 10_000

// newView returns a fleet of nodes in one data centre with the given free
// capacities, and the peers as seen by a node of another data centre.
func newView(free ...float64) (*Fleet, Peers) {
	fleet := &Fleet{}
	peers := Peers{Self: spreader.Peer{Name: "self", DataCentre: "elsewhere"}, Loads: map[string]NodeLoad{}}
	for number, capacity := range free {
		name := fmt.Sprint("n", number)
		fleet.Nodes = append(fleet.Nodes, Instance{Name: name, Kind: Entry, Address: name, DataCentre: "d", Phase: Live})
		peers.Alive = append(peers.Alive, spreader.Peer{Name: name, DataCentre: "d"})
		peers.Loads[name] = NodeLoad{Node: name, Free: capacity, Current: true, Received: tester.Start}
	}
	return fleet, peers
}

// firstAddresses returns the first address returned to each caller.
func firstAddresses(t *testing.T, fleet *Fleet, peers Peers) []string {
	t.Helper()
	result := make([]string, callerCount)
	for caller := range result {
		addresses := Addresses(tester.Start.Add(time.Second), fleet, peers, fmt.Sprint("10.0.", caller/250, ".", caller%250))
		if len(addresses) == 0 {
			t.Fatal("no address")
		}
		result[caller] = addresses[0].Address
	}
	return result
}

func countByAddress(addresses []string) map[string]int {
	counts := map[string]int{}
	for _, address := range addresses {
		counts[address]++
	}
	return counts
}

// Guards against a distribution of callers over the nodes that is not
// proportional to free capacity.
func TestCallersFollowFreeCapacity(t *testing.T) {
	free := []float64{1, 0.5, 0.8, 0.6, 0.9, 0.7, 0.5}
	total := 0.0
	for _, capacity := range free {
		total += capacity
	}
	counts := countByAddress(firstAddresses(t, fleetOf(newView(free...)), peersOf(newView(free...))))
	for number, capacity := range free {
		got, want := float64(counts[fmt.Sprint("n", number)]), callerCount*capacity/total
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("node %d with %.1f free gets %.0f callers; want %.0f within 10%%", number, capacity, got, want)
		}
	}
}

func fleetOf(fleet *Fleet, _ Peers) *Fleet { return fleet }
func peersOf(_ *Fleet, peers Peers) Peers  { return peers }

// Guards against directing callers to a node that is leaving, draining, not
// current or dead, and against using a node's load after it has expired.
func TestIneligibleNodesAreExcluded(t *testing.T) {
	fleet, peers := newView(1, 1, 1, 1, 1, 1)
	peers.Loads["n0"] = NodeLoad{Free: 1, Draining: true, Current: true, Received: tester.Start}
	peers.Loads["n1"] = NodeLoad{Free: 1, Received: tester.Start}
	peers.Alive = append(peers.Alive[:2:2], peers.Alive[3:]...)
	fleet.Nodes[3].Phase = Leaving
	peers.Loads["n4"] = NodeLoad{Draining: true, Received: tester.Start.Add(-time.Hour)}
	counts := countByAddress(firstAddresses(t, fleet, peers))
	for _, ineligible := range []string{"n0", "n1", "n2", "n3"} {
		if counts[ineligible] > 0 {
			t.Errorf("%s gets %d callers; want none", ineligible, counts[ineligible])
		}
	}
	if counts["n4"] == 0 || counts["n5"] == 0 {
		t.Errorf("callers %v; want some at n4 and n5", counts)
	}
}

// Guards against callers that move between two nodes when only the load of a
// third node has changed.
func TestChangedWeightMovesFewCallers(t *testing.T) {
	before := firstAddresses(t, fleetOf(newView(1, 1, 1, 1, 1)), peersOf(newView(1, 1, 1, 1, 1)))
	after := firstAddresses(t, fleetOf(newView(0.5, 1, 1, 1, 1)), peersOf(newView(0.5, 1, 1, 1, 1)))
	moved := 0
	for caller := range before {
		if before[caller] == after[caller] {
			continue
		}
		moved++
		if before[caller] != "n0" {
			t.Fatalf("a caller moved from %s to %s though only n0 changed", before[caller], after[caller])
		}
	}
	// n0's share of the callers falls from 1/5 to 1/9.
	if want := callerCount * (1.0/5 - 1.0/9); math.Abs(float64(moved)-want) > 0.1*want {
		t.Errorf("%d callers moved; want %.0f within 10%%", moved, want)
	}
}

// Guards against directing callers to another data centre while nodes of their
// own one have free capacity.
func TestOwnDataCentreIsPreferred(t *testing.T) {
	fleet, peers := newView(1, 1)
	fleet.Nodes[0].DataCentre = peers.Self.DataCentre
	counts := countByAddress(firstAddresses(t, fleet, peers))
	if want := callerCount * 8.0 / 9; math.Abs(float64(counts["n0"])-want) > 0.1*want {
		t.Errorf("%d callers are directed to their own data centre; want %.0f within 10%%", counts["n0"], want)
	}
}
