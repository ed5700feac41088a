package tracker

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/ranker"
	"toucanhitch.example/toucanhitch/internal/spreader"
)

// relaysPerDataCentre is the number of nodes of a data centre that watch the
// object API. Two, so that one can die without a gap.
const relaysPerDataCentre = 2

// relayKey is the rendezvous key by which relays are chosen.
const relayKey = "relay"

// nodes returns the live nodes of the list that are not suspected, and this
// node itself, by data centre.
func (t *Tracker) nodes(now time.Time) map[string][]spreader.Peer {
	nodes := map[string][]spreader.Peer{t.Self.DataCentre: {t.Self}}
	for _, instance := range t.List.Instances {
		if instance.Kind != Entry || instance.Phase != Live || instance.Name == t.Self.Name {
			continue
		}
		if now.Before(t.Suspicions[instance.Name].Until) {
			continue
		}
		nodes[instance.DataCentre] = append(nodes[instance.DataCentre], peerOf(instance))
	}
	return nodes
}

func peerOf(instance Instance) spreader.Peer {
	return spreader.Peer{
		Name:       instance.Name,
		Address:    instance.PeerAddress,
		DataCentre: instance.DataCentre,
		Region:     instance.Region,
	}
}

// ranked returns the nodes of a data centre in the order of its tree: the
// first ones are its relays.
func ranked(nodes []spreader.Peer) []spreader.Peer {
	byName := map[string]spreader.Peer{}
	for _, node := range nodes {
		byName[node.Name] = node
	}
	names := ranker.Rank(relayKey, slices.Sorted(maps.Keys(byName)))
	order := make([]spreader.Peer, 0, len(names))
	for _, name := range names {
		order = append(order, byName[name])
	}
	return order
}

func (t *Tracker) isRelay(now time.Time) bool {
	order := ranked(t.nodes(now)[t.Self.DataCentre])
	at := slices.Index(order, t.Self)
	return at >= 0 && at < relaysPerDataCentre
}

func (t *Tracker) peers(now time.Time) Peers {
	nodes := t.nodes(now)
	peers := Peers{
		Self:        t.Self,
		DataCentres: t.dataCentres(),
		Loads:       maps.Clone(t.Loads),
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(nodes)) {
		order := ranked(nodes[dataCentre])
		if dataCentre == t.Self.DataCentre {
			t.placeInTree(&peers, order)
			continue
		}
		peers.Alive = append(peers.Alive, order...)
		peers.Relays = append(peers.Relays, order[:min(relaysPerDataCentre, len(order))]...)
	}
	return peers
}

// placeInTree finds this node's place in the tree of its data centre. The
// relays are roots; the others have a parent each.
func (t *Tracker) placeInTree(peers *Peers, order []spreader.Peer) {
	at := slices.Index(order, t.Self)
	peers.Relay = at < relaysPerDataCentre
	if !peers.Relay {
		parent := order[(at-relaysPerDataCentre)/spreader.Fanout]
		peers.Parent = &parent
	}
	for _, peer := range order {
		if peer.Name != t.Self.Name {
			peers.Local = append(peers.Local, peer)
		}
	}
	peers.Alive = append(peers.Alive, peers.Local...)
}

// dataCentres counts the data centres with entry instances in the list,
// whatever their state, so that a data centre that fails still counts for the
// majority.
func (t *Tracker) dataCentres() int {
	names := map[string]bool{t.Self.DataCentre: true}
	for _, instance := range t.List.Instances {
		if instance.Kind == Entry {
			names[instance.DataCentre] = true
		}
	}
	return len(names)
}

// assignPolls decides which endpoints this node observes: those of its region
// for which it ranks first among the nodes of the endpoint's data centre, or
// of the region if that data centre has no node.
func (t *Tracker) assignPolls(now time.Time) {
	nodes := t.nodes(now)
	mine := map[string]bool{}
	for _, instance := range t.List.Instances {
		if instance.Kind == Engine && instance.Region == t.Self.Region && t.observes(nodes, instance) {
			mine[instance.Name] = true
			if _, ok := t.Polls[instance.Name]; !ok {
				t.Polls[instance.Name] = now
				t.Events[instance.Name] = EventsPoll{At: now}
			}
		}
	}
	maps.DeleteFunc(t.Polls, func(name string, _ time.Time) bool { return !mine[name] })
	maps.DeleteFunc(t.Events, func(name string, _ EventsPoll) bool { return !mine[name] })
}

func (t *Tracker) observes(nodes map[string][]spreader.Peer, endpoint Instance) bool {
	candidates := nodes[endpoint.DataCentre]
	if len(candidates) == 0 {
		for _, dataCentre := range slices.Sorted(maps.Keys(nodes)) {
			for _, node := range nodes[dataCentre] {
				if node.Region == endpoint.Region {
					candidates = append(candidates, node)
				}
			}
		}
	}
	names := make([]string, 0, len(candidates))
	for _, node := range candidates {
		names = append(names, node.Name)
	}
	return ranker.First(endpoint.Name, names) == t.Self.Name
}

func (t *Tracker) poll(now time.Time) []Effect {
	var effects []Effect
	for _, instance := range t.List.Instances {
		at, mine := t.Polls[instance.Name]
		if !mine || at.IsZero() || now.Before(at) {
			continue
		}
		t.Polls[instance.Name] = time.Time{}
		effects = append(effects, PollReport{Endpoint: instance.Name, Address: instance.Address})
	}
	return effects
}

func (t *Tracker) pollDone(now time.Time, endpoint string, loading bool) {
	if _, mine := t.Polls[endpoint]; !mine {
		return
	}
	wait := PollEvery
	if loading {
		wait = pollLoading
	}
	t.Polls[endpoint] = now.Add(wait)
}

// loading says whether a model or adapter is being loaded.
func (r Report) loading() bool {
	return slices.ContainsFunc(r.Models, func(model ModelState) bool {
		return model.State == Loading || slices.ContainsFunc(model.Adapters, func(adapter AdapterState) bool {
			return adapter.State == Loading
		})
	})
}

const (
	// repeatBusy and repeatIdle are how often a report that says nothing new
	// goes to the other nodes. Most endpoints idle most of the time, and every
	// node of the region pays for every report.
	repeatBusy = time.Second
	repeatIdle = 2 * time.Second
)

// repeats says whether a report tells other nodes nothing that the last one
// did not.
func (r Report) repeats(last Report) bool {
	interval := repeatIdle
	if r.Running+r.Queued > 0 {
		interval = repeatBusy
	}
	if r.Measured.Sub(last.Measured) >= interval {
		return false
	}
	last.Sequence, last.Measured = r.Sequence, r.Measured
	return reflect.DeepEqual(r, last)
}
