package spreader

import "time"

// Kind says what an item holds.
type Kind string

// The kinds of items.
const (
	// Changes holds the latest changes of the configuration.
	Changes Kind = "Changes"
	// List holds the instance list.
	List Kind = "List"
	// Report holds the load report of the endpoint that Name names.
	Report Kind = "Report"
	// Events holds prefix-cache events of the endpoint that Name names.
	Events Kind = "Events"
	// Load holds the state of the node that Name names.
	Load Kind = "Load"
	// Leaseholder holds the holder of the lease that Name names.
	Leaseholder Kind = "Leaseholder"
	// Placement holds the decided placement of the region that Name names.
	Placement Kind = "Placement"
)

// Scope says how far an item goes.
type Scope string

// The scopes of items.
const (
	DataCentre Scope = "DataCentre"
	Region     Scope = "Region"
	Everywhere Scope = "Everywhere"
)

// Item is one version of a named value.
type Item struct {
	Kind Kind
	Name string
	// Version orders the versions of an item; a node passes a version on
	// once, and never an older one after it.
	Version uint64
	// Origin is the node that pushes the item in a data centre; it decides
	// the tree along which the item goes there.
	Origin string
	Scope  Scope
	Value  []byte
}

// Peer is another node.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
}

// Message is what a Spreader reacts to: PeersChanged, Publish, Pushed
// or Tick.
type Message interface{ isMessage() }

// PeersChanged replaces the live nodes. Self is not among Peers.
type PeersChanged struct {
	Self  Peer
	Peers []Peer
}

// Publish sends an item of this node to the others.
type Publish struct{ Item Item }

// Pushed brings items from another node.
type Pushed struct{ Items []Item }

// Tick passes time on.
type Tick struct{}

func (PeersChanged) isMessage() {}
func (Publish) isMessage()      {}
func (Pushed) isMessage()       {}
func (Tick) isMessage()         {}

// Effect is what a Spreader wants done: Push or Deliver.
type Effect interface{ isEffect() }

// Push sends items to a peer. A push that fails is not repeated.
type Push struct {
	Peer  Peer
	Items []Item
}

// Deliver hands a new version of an item to this node's other tasks.
type Deliver struct{ Item Item }

func (Push) isEffect()    {}
func (Deliver) isEffect() {}

// Delays and sizes of pushes.
const (
	// BatchDelay is how long items wait for others to the same peer.
	BatchDelay = 20 * time.Millisecond
	// Fanout is the number of children of a node in the tree of its data
	// centre.
	Fanout = 4
	// seenRetention is how long the version of an item is remembered after it
	// was last seen.
	seenRetention = 10 * time.Minute
)
