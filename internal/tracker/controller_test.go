package tracker

import (
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// summarisedTracker is a Tracker whose published views are reduced to the
// fields that the scripts check.
type summarisedTracker struct{ *Tracker }

// FleetView is the summary of PublishFleet in a trace.
type FleetView struct {
	List      uint64
	Endpoints []string
}

// PeersView is the summary of PublishPeers in a trace.
type PeersView struct {
	Relay         bool
	Parent        string
	Local, Relays []string
	DataCentres   int
}

func (FleetView) isEffect() {}
func (PeersView) isEffect() {}

func (s summarisedTracker) Step(now time.Time, message Message) []Effect {
	effects := s.Tracker.Step(now, message)
	for i, effect := range effects {
		switch effect := effect.(type) {
		case PublishFleet:
			effects[i] = fleetView(now, effect.Fleet)
		case PublishPeers:
			effects[i] = peersView(effect.Peers)
		}
	}
	return effects
}

func fleetView(now time.Time, fleet *Fleet) FleetView {
	view := FleetView{List: fleet.ListVersion}
	for _, endpoint := range fleet.Endpoints {
		description := endpoint.Name + " " + string(endpoint.Phase)
		if endpoint.Report != nil {
			description += fmt.Sprintf(", report %d", endpoint.Report.Sequence)
		}
		if remaining := endpoint.SuspectUntil.Sub(now); remaining > 0 {
			description += ", suspected for " + remaining.String()
		}
		view.Endpoints = append(view.Endpoints, description)
	}
	return view
}

func peersView(peers Peers) PeersView {
	view := PeersView{Relay: peers.Relay, Local: names(peers.Local), Relays: names(peers.Relays), DataCentres: peers.DataCentres}
	if peers.Parent != nil {
		view.Parent = peers.Parent.Name
	}
	return view
}

func names(peers []spreader.Peer) []string {
	var names []string
	for _, peer := range peers {
		names = append(names, peer.Name)
	}
	return names
}

func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(t *testing.T, setup []byte) tester.Controller[Message, Effect] {
			self, err := encoder.Decode[spreader.Peer](setup)
			if err != nil {
				t.Fatal(err)
			}
			return summarisedTracker{New(self)}
		},
		Messages: []Message{
			ListRead{},
			ListFailed{},
			ListPushed{},
			ReportRead{},
			ReportFailed{},
			ReportPushed{},
			EventsRead{},
			EventsFailed{},
			AttemptEnded{},
			ExchangeEnded{},
			LoadPushed{},
			Tick{},
		},
		Tick: Tick{},
	})
}

// Guards against a tree in which a node is its own ancestor or has no path to
// a relay, and against nodes that compute different sets of relays.
func TestTreeReachesRelay(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7, 40, 150} {
		var list InstanceList
		list.Version = 1
		for number := range size {
			name := fmt.Sprint("n", number)
			list.Instances = append(list.Instances, Instance{Name: name, Kind: Entry, DataCentre: "d", Phase: Live, PeerAddress: name})
		}
		parents := map[string]string{}
		relays := 0
		for _, instance := range list.Instances {
			tracker := New(peerOf(instance))
			tracker.Step(tester.Start, ListPushed{list})
			peers := tracker.buildPeers(tester.Start)
			if peers.Relay {
				relays++
				continue
			}
			parents[instance.Name] = peers.Parent.Name
		}
		if want := min(size, relaysPerDataCentre); relays != want {
			t.Errorf("%d nodes: %d relays; want %d", size, relays, want)
		}
		for name := range parents {
			depth := 0
			for ancestor, ok := name, true; ok && depth <= size; depth++ {
				ancestor, ok = parents[ancestor]
			}
			if depth > size {
				t.Errorf("%d nodes: %s has no path to a relay", size, name)
			}
		}
	}
}
