package assembler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/platform"
)

// directoryNode is a node with what decides about its directory.
type directoryNode struct {
	name    string
	planner *planner.Controller
	// holder is nil while the node has lost it.
	holder         *directoryNode
	directory      *directory
	epoch, version uint64
	known          []planner.Caller
	sequence       uint64
}

var contactBounds = platform.Bounds{ContactTime: 3 * time.Second}

// exchange reports to the node's holder and adopts its answer.
func (n *directoryNode) exchange(now time.Time) {
	n.sequence++
	report := planner.Report{
		Node: surveyor.Node{Name: n.name, RunID: "1", CallerAddress: n.name}, Sequence: n.sequence, Epoch: n.epoch, Version: n.version,
	}
	for _, effect := range n.holder.planner.Step(now, planner.ReportReceived{Report: report}) {
		answer, ok := effect.(planner.AnswerReport)
		if !ok || answer.Answer.State == nil {
			continue
		}
		state := answer.Answer.State
		if state.Full {
			n.known = nil
		}
		for _, caller := range state.Callers {
			n.known = slices.DeleteFunc(n.known, func(known planner.Caller) bool { return known.Address == caller.Address })
			n.known = append(n.known, caller)
		}
		n.known = slices.DeleteFunc(n.known, func(known planner.Caller) bool { return slices.Contains(state.RemovedCallers, known.Address) })
		n.epoch, n.version = state.Epoch, state.Version
		n.directory = n.directory.update(n.known, state.Callers, now.Add(-answer.Answer.StateAge))
	}
}

// take makes the node the holder or an acting node.
func (n *directoryNode) take(now time.Time, epoch uint64, acting bool) {
	callers := n.directory.callers(now, maxCallerAge(contactBounds))
	n.planner.Step(now, planner.ConfigurationChanged{Configuration: &resolver.Configuration{}, CurrentAsOf: now})
	n.planner.Step(now, planner.ReplicasListed{CurrentAsOf: now})
	if acting {
		n.planner.Step(now, planner.SetActing{Acting: true, Callers: callers, Registered: 9})
		return
	}
	n.planner.Step(now, planner.LeaseHeld{Epoch: epoch, Until: now.Add(time.Hour), Callers: callers})
}

// TestDirectoryForgetsEndedNodes guards against a node that is named to callers 6 s after it has
// ended, where the time of contact is 3 s: holders end one after the other, and each new holder
// or acting node inherits the list of the one before. Nodes that live stay named.
func TestDirectoryForgetsEndedNodes(t *testing.T) {
	tester.CheckN(t, 10, 20, func(t *rapid.T) {
		now := tester.Start
		var nodes []*directoryNode
		for i := range 9 {
			nodes = append(nodes, &directoryNode{name: fmt.Sprintf("n%d", i), planner: planner.NewController(planner.Settings{Node: fmt.Sprintf("n%d", i)})})
		}
		endedAt := map[string]time.Time{}
		takenAt, epoch := now, uint64(1)
		takeOver := func(node *directoryNode, acting bool) {
			node.take(now, epoch, acting)
			epoch++
			takenAt = now
			for _, other := range nodes {
				other.holder = node
			}
		}
		takeOver(nodes[0], false)
		for range 60 {
			for range rapid.IntRange(1, 8).Draw(t, "exchanges") {
				now = now.Add(100 * time.Millisecond)
				for _, node := range nodes {
					if node.holder != nil {
						node.planner.Step(now, planner.ReplicasListed{CurrentAsOf: now})
						node.exchange(now)
					}
				}
				for _, node := range nodes {
					named := node.directory.callers(now, maxCallerAge(contactBounds))
					for _, caller := range named {
						if at, ended := endedAt[caller.Address]; ended && now.Sub(at) >= 6*time.Second {
							t.Fatalf("%v: %s names %s, which ended %v ago", now.Sub(tester.Start), node.name, caller.Address, now.Sub(at))
						}
					}
					if node.holder != nil && now.Sub(takenAt) > 200*time.Millisecond && len(named) < len(nodes) {
						t.Fatalf("%v: %s names %d of %d living nodes", now.Sub(tester.Start), node.name, len(named), len(nodes))
					}
				}
			}
			switch event := rapid.SampledFrom([]string{"end", "end holder", "lose holder", "act", "none"}).Draw(t, "event"); {
			case event == "end" && len(nodes) > 3:
				i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				holder := nodes[i].holder
				endedAt[nodes[i].name] = now
				isHolder := holder == nodes[i]
				nodes = slices.Delete(nodes, i, i+1)
				if isHolder {
					for _, node := range nodes {
						node.holder = nil
					}
				}
			case event == "lose holder":
				for _, node := range nodes {
					node.holder = nil
				}
			case event == "act" || event == "end holder":
				takeOver(nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "holder")], event == "act")
			}
		}
	})
}

// TestAddressesByRegion guards against a directory that names nodes outside the caller's region
// and the allowed ones while there are others, and against one that names none.
func TestAddressesByRegion(t *testing.T) {
	configuration := &resolver.Configuration{Routes: []resolver.Route{
		{Host: "east", AllowedRegions: []string{"e"}},
		{Host: "east"},
		{Host: "all"},
		{Host: "west", AllowedRegions: []string{"w"}},
		{Host: "gone", AllowedRegions: []string{"x"}},
	}}
	regionOf := map[string]string{"n1": "n", "e1": "e", "e2": "e"}
	callers := []planner.Caller{{Address: "a", DataCentre: "n1"}, {Address: "b", DataCentre: "e1"}, {Address: "c", DataCentre: "e2"}, {Address: "d", DataCentre: "none"}}
	for _, test := range []struct {
		query platform.AddressQuery
		want  []string
	}{
		{platform.AddressQuery{Region: "n"}, []string{"a", "b", "c", "d"}},
		{platform.AddressQuery{Host: "all", Region: "n"}, []string{"a", "b", "c", "d"}},
		{platform.AddressQuery{Host: "unknown", Region: "n"}, []string{"a", "b", "c", "d"}},
		{platform.AddressQuery{Host: "east", Region: "e"}, []string{"b", "c"}},
		{platform.AddressQuery{Host: "EAST", Region: "n"}, []string{"a", "b", "c"}},
		{platform.AddressQuery{Host: "east", DataCentre: "n1"}, []string{"a", "b", "c"}},
		{platform.AddressQuery{Host: "east"}, []string{"b", "c"}},
		{platform.AddressQuery{Host: "west", Region: "n"}, []string{"a"}},
		{platform.AddressQuery{Host: "gone"}, []string{"a", "b", "c", "d"}},
	} {
		got := slices.Sorted(slices.Values(chooseAddresses(callers, findRegions(configuration, test.query, regionOf))))
		if !slices.Equal(got, test.want) {
			t.Errorf("%+v: %v, want %v", test.query, got, test.want)
		}
	}
	var none *directory
	v := &view{}
	v.directory.Store(none.update(callers, callers, tester.Start))
	got := v.addresses(tester.Start.Add(5*time.Second), maxCallerAge(contactBounds), planner.Caller{Address: "self"}, false, directoryRegions{})
	if !slices.Equal(got, []string{"self"}) {
		t.Errorf("without fresh entries %v is named", got)
	}
}
