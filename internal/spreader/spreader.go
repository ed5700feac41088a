package spreader

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/ranker"
)

// Spreader is the controller of a node's dissemination.
type Spreader struct {
	Self  Peer
	Peers []Peer
	// Seen holds the newest version of every item that passed this node.
	Seen map[Key]Seen
	// Waiting holds the items to push, by peer name.
	Waiting map[string][]Item
	// PushAt is when Waiting goes out; zero if it is empty.
	PushAt time.Time
	// ForgetAt is when Seen is next cleaned.
	ForgetAt time.Time
}

// Key names an item.
type Key struct {
	Kind Kind
	Name string
}

// Seen is what a node remembers of an item.
type Seen struct {
	Version uint64
	At      time.Time
}

// New returns a spreader that knows no peers.
func New(self Peer) *Spreader {
	return &Spreader{Self: self, Seen: map[Key]Seen{}, Waiting: map[string][]Item{}}
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
		if s.isNew(now, item) {
			s.forward(now, item, "")
			s.forwardToOthers(now, item)
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
	if !s.isNew(now, item) {
		return nil
	}
	if s.inDataCentre(item.Origin) {
		s.forward(now, item, item.Origin)
	} else {
		// The item came from another data centre: this node is the one that
		// pushes it in its own.
		item.Origin = s.Self.Name
		s.forward(now, item, "")
	}
	return []Effect{Deliver{item}}
}

func (s *Spreader) isNew(now time.Time, item Item) bool {
	key := Key{item.Kind, item.Name}
	seen, known := s.Seen[key]
	if known && item.Version <= seen.Version && now.Sub(seen.At) < forgetAfter {
		return false
	}
	s.Seen[key] = Seen{Version: item.Version, At: now}
	s.forget(now)
	return true
}

func (s *Spreader) forget(now time.Time) {
	if now.Before(s.ForgetAt) {
		return
	}
	s.ForgetAt = now.Add(forgetAfter)
	maps.DeleteFunc(s.Seen, func(_ Key, seen Seen) bool { return now.Sub(seen.At) >= forgetAfter })
}

func (s *Spreader) inDataCentre(name string) bool {
	if name == s.Self.Name {
		return true
	}
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool {
		return peer.Name == name && peer.DataCentre == s.Self.DataCentre
	})
}

// forward queues an item for this node's children in the tree of its data
// centre whose root is origin; origin "" means this node.
func (s *Spreader) forward(now time.Time, item Item, origin string) {
	if origin == "" {
		origin = s.Self.Name
	}
	members := s.local()
	names := make([]string, 0, len(members)+1)
	for name := range members {
		if name != origin {
			names = append(names, name)
		}
	}
	if origin != s.Self.Name {
		names = append(names, s.Self.Name)
	}
	order := append([]string{origin}, ranker.Rank(origin, names)...)
	for _, child := range children(order, slices.Index(order, s.Self.Name)) {
		if peer, ok := members[child]; ok {
			s.queue(now, peer, item)
		}
	}
}

// children returns the children of the node at a position of the tree.
func children(order []string, position int) []string {
	first := position*Fanout + 1
	if position < 0 || first >= len(order) {
		return nil
	}
	return order[first:min(first+Fanout, len(order))]
}

func (s *Spreader) local() map[string]Peer {
	members := map[string]Peer{}
	for _, peer := range s.Peers {
		if peer.DataCentre == s.Self.DataCentre {
			members[peer.Name] = peer
		}
	}
	return members
}

// forwardToOthers queues an item for one node of each other data centre in
// scope, which pushes it on there.
func (s *Spreader) forwardToOthers(now time.Time, item Item) {
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
		s.queue(now, byName[ranker.First(item.Name, members[dataCentre])], item)
	}
}

func (s *Spreader) queue(now time.Time, peer Peer, item Item) {
	if s.PushAt.IsZero() {
		s.PushAt = now.Add(BatchDelay)
	}
	key := Key{item.Kind, item.Name}
	waiting := s.Waiting[peer.Name]
	at := slices.IndexFunc(waiting, func(other Item) bool { return Key{other.Kind, other.Name} == key })
	if at >= 0 {
		waiting[at] = item
		return
	}
	s.Waiting[peer.Name] = append(waiting, item)
}

func (s *Spreader) flush(now time.Time) []Effect {
	if s.PushAt.IsZero() || now.Before(s.PushAt) {
		return nil
	}
	s.PushAt = time.Time{}
	var effects []Effect
	for _, peer := range s.Peers {
		if items := s.Waiting[peer.Name]; len(items) > 0 {
			effects = append(effects, Push{Peer: peer, Items: items})
		}
	}
	clear(s.Waiting)
	return effects
}
