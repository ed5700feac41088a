package spreader

import "time"

// Kind is the type of an item's value.
type Kind string

// Item kinds.
const (
	// Changes holds the latest changes of the configuration.
	Changes Kind = "Changes"
	// List holds the instance list.
	List Kind = "List"
	// Report holds the load report of the endpoint in Name.
	Report Kind = "Report"
	// Events holds prefix-cache events of the endpoint in Name.
	Events Kind = "Events"
	// Load holds the load of the node in Name.
	Load Kind = "Load"
	// Leaseholder holds the holder of the lease in Name.
	Leaseholder Kind = "Leaseholder"
	// Placement holds the decided placement of the region in Name.
	Placement Kind = "Placement"
)

// Scope limits the nodes to which an item is distributed.
type Scope string

// Item scopes.
const (
	DataCentre Scope = "DataCentre"
	Region     Scope = "Region"
	Everywhere Scope = "Everywhere"
)

// Item is one version of a named value.
type Item struct {
	Kind Kind
	Name string
	// Version orders the versions of an item. A node forwards each version
	// once, and never an older version after it.
	Version uint64
	// Origin is the node that starts the distribution of the item in a data
	// centre. It is the root of the distribution tree there and determines its
	// order.
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

// Message is an input of a Spreader: PeersChanged, Publish, Pushed or Tick.
type Message interface{ isMessage() }

// PeersChanged replaces the live nodes. Self is not in Peers.
type PeersChanged struct {
	Self  Peer
	Peers []Peer
}

// Publish distributes an item of this node to other nodes.
type Publish struct{ Item Item }

// Pushed carries items received from another node.
type Pushed struct{ Items []Item }

// Tick is sent when the controller's wake time has come.
type Tick struct{}

func (PeersChanged) isMessage() {}
func (Publish) isMessage()      {}
func (Pushed) isMessage()       {}
func (Tick) isMessage()         {}

// Effect is an output of a Spreader: Push or Deliver.
type Effect interface{ isEffect() }

// Push sends items to a peer. A failed push is not retried.
type Push struct {
	Peer  Peer
	Items []Item
}

// Deliver passes a new version of an item to this node's other tasks.
type Deliver struct{ Item Item }

func (Push) isEffect()    {}
func (Deliver) isEffect() {}

// Delays and sizes of pushes.
const (
	// BatchDelay is how long items wait to be sent in one push with others to
	// the same peer.
	BatchDelay = 20 * time.Millisecond
	// Fanout is the number of children of a node in the distribution tree of
	// its data centre.
	Fanout = 4
	// seenRetention is how long the version of an item is kept after it was
	// last updated.
	seenRetention = 10 * time.Minute
)
