package spreader

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/ranker"
)

// Spreader is the controller that distributes items from and through a node.
type Spreader struct {
	Self  Peer
	Peers []Peer
	// Seen holds the newest version of every item that this node published or
	// received.
	Seen map[ItemKey]Seen
	// Pending holds the items to push, by peer name.
	Pending map[string][]Item
	// PushAt is when Pending is pushed, or zero if it is empty.
	PushAt time.Time
	// PruneSeenAt is when expired entries of Seen are next deleted.
	PruneSeenAt time.Time
}

// ItemKey identifies an item across its versions.
type ItemKey struct {
	Kind Kind
	Name string
}

// Seen is the newest version of an item and when it arrived.
type Seen struct {
	Version uint64
	At      time.Time
}

// New returns a spreader without peers.
func New(self Peer) *Spreader {
	return &Spreader{Self: self, Seen: map[ItemKey]Seen{}, Pending: map[string][]Item{}}
}

// Wake implements runner.Controller.
func (s *Spreader) Wake() time.Time { return s.PushAt }

// Step implements runner.Controller.
func (s *Spreader) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case PeersChanged:
		s.Self, s.Peers = message.Self, message.Peers
	case Publish:
		item := message.Item
		item.Origin = s.Self.Name
		if s.recordIfNew(now, item) {
			s.forwardToChildren(now, item, "")
			s.forwardToDataCentres(now, item)
		}
	case Pushed:
		for _, item := range message.Items {
			effects = append(effects, s.receive(now, item)...)
		}
	case Tick:
	}
	return append(effects, s.flush(now)...)
}

func (s *Spreader) receive(now time.Time, item Item) []Effect {
	if !s.recordIfNew(now, item) {
		return nil
	}
	if s.inDataCentre(item.Origin) {
		s.forwardToChildren(now, item, item.Origin)
	} else {
		// The item came from another data centre, so this node is the root of
		// the distribution tree of its own data centre.
		item.Origin = s.Self.Name
		s.forwardToChildren(now, item, "")
	}
	return []Effect{Deliver{item}}
}

func (s *Spreader) recordIfNew(now time.Time, item Item) bool {
	key := ItemKey{item.Kind, item.Name}
	seen, known := s.Seen[key]
	if known && item.Version <= seen.Version && now.Sub(seen.At) < seenRetention {
		return false
	}
	s.Seen[key] = Seen{Version: item.Version, At: now}
	s.pruneSeen(now)
	return true
}

func (s *Spreader) pruneSeen(now time.Time) {
	if now.Before(s.PruneSeenAt) {
		return
	}
	s.PruneSeenAt = now.Add(seenRetention)
	maps.DeleteFunc(s.Seen, func(_ ItemKey, seen Seen) bool { return now.Sub(seen.At) >= seenRetention })
}

func (s *Spreader) inDataCentre(name string) bool {
	if name == s.Self.Name {
		return true
	}
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool {
		return peer.Name == name && peer.DataCentre == s.Self.DataCentre
	})
}

// forwardToChildren queues an item for this node's children in the distribution
// tree of its data centre with the given root. An empty root means this node.
func (s *Spreader) forwardToChildren(now time.Time, item Item, root string) {
	if root == "" {
		root = s.Self.Name
	}
	members := s.localPeers()
	names := make([]string, 0, len(members)+1)
	for name := range members {
		if name != root {
			names = append(names, name)
		}
	}
	if root != s.Self.Name {
		names = append(names, s.Self.Name)
	}
	treeOrder := append([]string{root}, ranker.Rank(root, names)...)
	for _, child := range children(treeOrder, slices.Index(treeOrder, s.Self.Name)) {
		if peer, ok := members[child]; ok {
			s.enqueue(now, peer, item)
		}
	}
}

// children returns the children of the node at a position of the tree.
func children(treeOrder []string, position int) []string {
	first := position*Fanout + 1
	if position < 0 || first >= len(treeOrder) {
		return nil
	}
	return treeOrder[first:min(first+Fanout, len(treeOrder))]
}

func (s *Spreader) localPeers() map[string]Peer {
	members := map[string]Peer{}
	for _, peer := range s.Peers {
		if peer.DataCentre == s.Self.DataCentre {
			members[peer.Name] = peer
		}
	}
	return members
}

// forwardToDataCentres queues an item for one node of each other data centre in
// scope. That node forwards it within its data centre.
func (s *Spreader) forwardToDataCentres(now time.Time, item Item) {
	if item.Scope == DataCentre {
		return
	}
	members := map[string][]string{}
	byName := map[string]Peer{}
	for _, peer := range s.Peers {
		if peer.DataCentre == s.Self.DataCentre || (item.Scope == Region && peer.Region != s.Self.Region) {
			continue
		}
		members[peer.DataCentre] = append(members[peer.DataCentre], peer.Name)
		byName[peer.Name] = peer
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(members)) {
		s.enqueue(now, byName[ranker.First(item.Name, members[dataCentre])], item)
	}
}

func (s *Spreader) enqueue(now time.Time, peer Peer, item Item) {
	if s.PushAt.IsZero() {
		s.PushAt = now.Add(BatchDelay)
	}
	key := ItemKey{item.Kind, item.Name}
	pending := s.Pending[peer.Name]
	index := slices.IndexFunc(pending, func(other Item) bool { return ItemKey{other.Kind, other.Name} == key })
	if index >= 0 {
		pending[index] = item
		return
	}
	s.Pending[peer.Name] = append(pending, item)
}

func (s *Spreader) flush(now time.Time) []Effect {
	if s.PushAt.IsZero() || now.Before(s.PushAt) {
		return nil
	}
	s.PushAt = time.Time{}
	var effects []Effect
	for _, peer := range s.Peers {
		if items := s.Pending[peer.Name]; len(items) > 0 {
			effects = append(effects, Push{Peer: peer, Items: items})
		}
	}
	clear(s.Pending)
	return effects
}
