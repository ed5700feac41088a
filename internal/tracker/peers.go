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
// object API. With two, the failure of one does not interrupt the watch.
const relaysPerDataCentre = 2

// relayKey is the rendezvous hashing key for choosing relays.
const relayKey = "relay"

// liveNodes returns this node and the live nodes of the list that are not
// suspected, by data centre.
func (t *Tracker) liveNodes(now time.Time) map[string][]spreader.Peer {
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

// rankNodes returns the nodes of a data centre in the order in which they are
// placed in its tree. The first relaysPerDataCentre nodes are the relays.
func rankNodes(nodes []spreader.Peer) []spreader.Peer {
	byName := map[string]spreader.Peer{}
	for _, node := range nodes {
		byName[node.Name] = node
	}
	names := ranker.Rank(relayKey, slices.Sorted(maps.Keys(byName)))
	ranking := make([]spreader.Peer, 0, len(names))
	for _, name := range names {
		ranking = append(ranking, byName[name])
	}
	return ranking
}

func (t *Tracker) isRelay(now time.Time) bool {
	ranking := rankNodes(t.liveNodes(now)[t.Self.DataCentre])
	rank := slices.Index(ranking, t.Self)
	return rank >= 0 && rank < relaysPerDataCentre
}

func (t *Tracker) buildPeers(now time.Time) Peers {
	nodes := t.liveNodes(now)
	peers := Peers{
		Self:        t.Self,
		DataCentres: t.countDataCentres(),
		Loads:       maps.Clone(t.Loads),
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(nodes)) {
		ranking := rankNodes(nodes[dataCentre])
		if dataCentre == t.Self.DataCentre {
			t.placeInTree(&peers, ranking)
			continue
		}
		peers.Alive = append(peers.Alive, ranking...)
		peers.Relays = append(peers.Relays, ranking[:min(relaysPerDataCentre, len(ranking))]...)
	}
	return peers
}

// placeInTree sets this node's relay role, parent and local peers from the tree
// of its data centre. Relays are roots; every other node has one parent.
func (t *Tracker) placeInTree(peers *Peers, ranking []spreader.Peer) {
	rank := slices.Index(ranking, t.Self)
	peers.Relay = rank < relaysPerDataCentre
	if !peers.Relay {
		parent := ranking[(rank-relaysPerDataCentre)/spreader.Fanout]
		peers.Parent = &parent
	}
	for _, peer := range ranking {
		if peer.Name != t.Self.Name {
			peers.Local = append(peers.Local, peer)
		}
	}
	peers.Alive = append(peers.Alive, peers.Local...)
}

// countDataCentres returns the number of data centres with entry instances in
// the list, in any phase, so that a failed data centre still counts towards the
// total that a majority is computed from.
func (t *Tracker) countDataCentres() int {
	names := map[string]bool{t.Self.DataCentre: true}
	for _, instance := range t.List.Instances {
		if instance.Kind == Entry {
			names[instance.DataCentre] = true
		}
	}
	return len(names)
}

// updateObservedEndpoints determines which endpoints this node observes: the
// engines of its region for which it ranks first among the nodes of the engine's
// data centre, or among those of the region if that data centre has no live node.
func (t *Tracker) updateObservedEndpoints(now time.Time) {
	nodes := t.liveNodes(now)
	observed := map[string]bool{}
	for _, instance := range t.List.Instances {
		if instance.Kind == Engine && instance.Region == t.Self.Region && t.observes(nodes, instance) {
			observed[instance.Name] = true
			if _, ok := t.NextPolls[instance.Name]; !ok {
				t.NextPolls[instance.Name] = now
				t.EventsPolls[instance.Name] = EventsPoll{NextAt: now}
			}
		}
	}
	maps.DeleteFunc(t.NextPolls, func(name string, _ time.Time) bool { return !observed[name] })
	maps.DeleteFunc(t.EventsPolls, func(name string, _ EventsPoll) bool { return !observed[name] })
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

func (t *Tracker) startPolls(now time.Time) []Effect {
	var effects []Effect
	for _, instance := range t.List.Instances {
		at, observed := t.NextPolls[instance.Name]
		if !observed || at.IsZero() || now.Before(at) {
			continue
		}
		t.NextPolls[instance.Name] = time.Time{}
		effects = append(effects, PollReport{Endpoint: instance.Name, Address: instance.Address})
	}
	return effects
}

func (t *Tracker) schedulePoll(now time.Time, endpoint string, loading bool) {
	if _, observed := t.NextPolls[endpoint]; !observed {
		return
	}
	interval := PollInterval
	if loading {
		interval = loadingPollInterval
	}
	t.NextPolls[endpoint] = now.Add(interval)
}

// isLoading reports whether a model or adapter is being loaded.
func (r Report) isLoading() bool {
	return slices.ContainsFunc(r.Models, func(model ModelState) bool {
		return model.State == Loading || slices.ContainsFunc(model.Adapters, func(adapter AdapterState) bool {
			return adapter.State == Loading
		})
	})
}

const (
	// busyRepeatInterval and idleRepeatInterval are how often an unchanged
	// report is pushed to the other nodes. Most endpoints are idle most of the
	// time, and every node of the region has to process every report.
	busyRepeatInterval = time.Second
	idleRepeatInterval = 2 * time.Second
)

// isRepeatOf reports whether a report need not be pushed because it differs
// from the last pushed one only in sequence number and time of measurement, and
// the repeat interval has not passed.
func (r Report) isRepeatOf(last Report) bool {
	interval := idleRepeatInterval
	if r.Running+r.Queued > 0 {
		interval = busyRepeatInterval
	}
	if r.Measured.Sub(last.Measured) >= interval {
		return false
	}
	last.Sequence, last.Measured = r.Sequence, r.Measured
	return reflect.DeepEqual(r, last)
}
