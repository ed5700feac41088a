package spreader

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against unintended changes of the spreader's decisions; the head of
// each script states the failure that it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(t *testing.T, setup []byte) tester.Controller[Message, Effect] {
			self, err := encoder.Decode[Peer](setup)
			if err != nil {
				t.Fatal(err)
			}
			return New(self)
		},
		Messages: []Message{PeersChanged{}, Publish{}, Pushed{}, Tick{}},
		Tick:     Tick{},
	})
}

// fleet simulates the spreaders of several data centres and the pushes between
// them.
type fleet struct {
	nodes          map[string]*Spreader
	peers          []Peer
	delivered      map[string][]uint64 // versions by node
	receivedPushes map[string]int      // pushes by node
	localPushes    map[string]int      // pushes by node within its data centre
	dead           map[string]bool
}

func newFleet(dataCentres []int) *fleet {
	f := &fleet{
		nodes: map[string]*Spreader{}, delivered: map[string][]uint64{},
		receivedPushes: map[string]int{}, localPushes: map[string]int{}, dead: map[string]bool{},
	}
	for dataCentre, size := range dataCentres {
		for number := range size {
			name := fmt.Sprintf("n%d-%d", dataCentre, number)
			f.peers = append(f.peers, Peer{Name: name, Address: name, DataCentre: fmt.Sprint("dc", dataCentre), Region: "r"})
		}
	}
	for _, self := range f.peers {
		f.nodes[self.Name] = New(self)
		f.step(self.Name, PeersChanged{Self: self, Peers: f.others(self.Name)})
	}
	return f
}

func (f *fleet) others(name string) []Peer {
	var others []Peer
	for _, peer := range f.peers {
		if peer.Name != name && !f.dead[peer.Name] {
			others = append(others, peer)
		}
	}
	return others
}

// step delivers a message to a node and then all pushes that follow from it.
func (f *fleet) step(name string, message Message) {
	node := f.nodes[name]
	effects := node.Step(tester.Start, message)
	if wake := node.Wake(); !wake.IsZero() {
		effects = append(effects, node.Step(wake, Tick{})...)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Deliver:
			f.delivered[name] = append(f.delivered[name], effect.Item.Version)
		case Push:
			f.receivedPushes[effect.Peer.Name]++
			if effect.Peer.DataCentre == node.Self.DataCentre {
				f.localPushes[name]++
			}
			if !f.dead[effect.Peer.Name] {
				f.step(effect.Peer.Name, Pushed{effect.Items})
			}
		}
	}
}

// Guards against nodes that a push does not reach or reaches twice, and against
// a node that has to push to more peers than the fan-out.
func TestPushReachesAll(t *testing.T) {
	tester.CheckN(t, 3, 12, func(t *rapid.T) {
		f := newFleet([]int{rapid.IntRange(2, 150).Draw(t, "nodes"), rapid.IntRange(0, 20).Draw(t, "elsewhere")})
		origin := rapid.SampledFrom(f.peers).Draw(t, "origin")
		f.step(origin.Name, Publish{Item{Kind: Load, Name: origin.Name, Version: 7, Scope: Everywhere}})
		for _, peer := range f.peers {
			if got := f.delivered[peer.Name]; peer.Name != origin.Name && (len(got) != 1 || got[0] != 7) {
				t.Fatalf("%s delivered versions %v; want 7 once", peer.Name, got)
			}
			if f.receivedPushes[peer.Name] > 1 {
				t.Fatalf("%s received %d pushes", peer.Name, f.receivedPushes[peer.Name])
			}
			if f.localPushes[peer.Name] > Fanout {
				t.Fatalf("%s pushed to %d peers of its data centre; want at most %d", peer.Name, f.localPushes[peer.Name], Fanout)
			}
		}
	})
}

// Guards against a dead interior node of the tree that cuts off more than its
// own subtree, and against one that still does so after the nodes have removed
// it from their peers.
func TestDeadInteriorNode(t *testing.T) {
	f := newFleet([]int{60})
	publish := func(version uint64) int {
		f.step("n0-0", Publish{Item{Kind: Load, Name: "n0-0", Version: version, Scope: DataCentre}})
		reached := 0
		for _, versions := range f.delivered {
			if versions[len(versions)-1] == version {
				reached++
			}
		}
		return reached
	}
	publish(1)
	for name, pushes := range f.localPushes {
		if name != "n0-0" && pushes == Fanout {
			f.dead[name] = true
			break
		}
	}
	// A child of the root has at most 1 + 4 + 16 nodes in its subtree.
	if reached := publish(2); reached < 59-21 || reached == 59 {
		t.Errorf("push reaches %d of 59 nodes before the dead node is removed; want all but its subtree", reached)
	}
	for _, peer := range f.others("") {
		f.step(peer.Name, PeersChanged{Self: peer, Peers: f.others(peer.Name)})
	}
	if reached := publish(3); reached != 58 {
		t.Errorf("push reaches %d nodes after the dead node is removed; want 58", reached)
	}
}
