package tracker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
)

// NodeLoad is the load and state that a node publishes about itself.
type NodeLoad struct {
	Node string
	// Free is the free fraction of the node's capacity, 0 to 1.
	Free float64
	// Draining reports whether the node is about to shut down.
	Draining bool
	// Current reports whether the node can serve requests that need a key.
	Current bool
	// Version is the version of the configuration in force at the node.
	Version uint64
	// NoteVersion is the version of the last release note in force at the
	// node.
	NoteVersion uint64
	// Received is when the load was received, on the clock of the node that
	// holds it.
	Received time.Time
}

// Message is an input of a Tracker.
type Message interface{ isMessage() }

// ListRead carries the instance list read from the platform. An empty list
// with the known version means that the list has not changed.
type ListRead struct{ List InstanceList }

// ListFailed reports that reading the instance list failed.
type ListFailed struct{}

// ListPushed carries the instance list received from a peer.
type ListPushed struct{ List InstanceList }

// ReportRead carries a load report that this node requested.
type ReportRead struct{ Report Report }

// ReportFailed reports that a request for an endpoint's load report failed.
type ReportFailed struct{ Endpoint string }

// EventsRead carries prefix-cache events that this node requested.
type EventsRead struct{ Events CacheEvents }

// EventsFailed reports that a request for an endpoint's events failed.
type EventsFailed struct{ Endpoint string }

// ReportPushed carries a load report received from a peer.
type ReportPushed struct{ Report Report }

// AttemptEnded reports the outcome of a request attempt at an endpoint.
type AttemptEnded struct {
	Endpoint string
	// Answered reports whether the endpoint responded, with any result.
	Answered bool
}

// ExchangeEnded reports the outcome of a message exchange with a node.
type ExchangeEnded struct {
	Node     string
	Answered bool
}

// LoadPushed carries the load of this node or one received from a peer.
type LoadPushed struct{ Load NodeLoad }

// Tick is delivered at the time that Wake returns.
type Tick struct{}

func (ListRead) isMessage()      {}
func (ListFailed) isMessage()    {}
func (ListPushed) isMessage()    {}
func (ReportRead) isMessage()    {}
func (ReportFailed) isMessage()  {}
func (EventsRead) isMessage()    {}
func (EventsFailed) isMessage()  {}
func (ReportPushed) isMessage()  {}
func (AttemptEnded) isMessage()  {}
func (ExchangeEnded) isMessage() {}
func (LoadPushed) isMessage()    {}
func (Tick) isMessage()          {}

// Effect is an action that a Tracker requests from its task.
type Effect interface{ isEffect() }

// WatchList reads the instance list once its version is above After.
type WatchList struct{ After uint64 }

// PushList sends the list to the other nodes of the data centre.
type PushList struct{ List InstanceList }

// PollReport requests an endpoint's load report.
type PollReport struct {
	Endpoint string
	Address  string
}

// PollEvents requests an endpoint's prefix-cache events with sequence numbers
// above After.
type PollEvents struct {
	Endpoint string
	Address  string
	After    uint64
}

// PushEvents sends events to the other nodes of the region.
type PushEvents struct{ Events CacheEvents }

// PushReport sends a report to the other nodes of the region.
type PushReport struct{ Report Report }

// PublishFleet replaces the published view of the fleet.
type PublishFleet struct{ Fleet *Fleet }

// PublishPeers replaces the published view of the other nodes.
type PublishPeers struct{ Peers Peers }

func (WatchList) isEffect()    {}
func (PushList) isEffect()     {}
func (PollReport) isEffect()   {}
func (PushReport) isEffect()   {}
func (PollEvents) isEffect()   {}
func (PushEvents) isEffect()   {}
func (PublishFleet) isEffect() {}
func (PublishPeers) isEffect() {}

// Peers is the view of the nodes that other controllers use.
type Peers struct {
	Self  spreader.Peer
	Alive []spreader.Peer
	// Relay reports whether this node watches the object API for its data
	// centre.
	Relay  bool
	Parent *spreader.Peer
	Local  []spreader.Peer
	Relays []spreader.Peer
	// DataCentres is the number of data centres with entry instances.
	DataCentres int
	// Loads is keyed by node name.
	Loads map[string]NodeLoad
}
