package tracker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
)

// NodeLoad is what a node says of itself.
type NodeLoad struct {
	Node string
	// Free is the part of the node's capacity that is free, 0 to 1.
	Free float64
	// Draining says that the node is about to leave.
	Draining bool
	// Current says that the node can serve keyed requests.
	Current bool
	// Version is the node's configuration version in force.
	Version uint64
	// NoteVersion is the version of the last release note in force.
	NoteVersion uint64
	// Received is when the load was received, on the clock of the node that
	// holds it.
	Received time.Time
}

// Message is what a Tracker reacts to.
type Message interface{ isMessage() }

// ListRead brings the instance list from the platform. An empty list with the
// version in force says that nothing changed.
type ListRead struct{ List InstanceList }

// ListFailed says that a read of the list failed.
type ListFailed struct{}

// ListPushed brings the instance list from a peer.
type ListPushed struct{ List InstanceList }

// ReportRead brings a load report that this node asked for.
type ReportRead struct{ Report Report }

// ReportFailed says that an endpoint did not report.
type ReportFailed struct{ Endpoint string }

// EventsRead brings prefix-cache events that this node asked for.
type EventsRead struct{ Events CacheEvents }

// EventsFailed says that an endpoint did not give its events.
type EventsFailed struct{ Endpoint string }

// ReportPushed brings a load report from a peer.
type ReportPushed struct{ Report Report }

// AttemptEnded says how an attempt at an endpoint ended.
type AttemptEnded struct {
	Endpoint string
	// Answered says that the endpoint answered, with whatever result.
	Answered bool
}

// ExchangeEnded says how an exchange with a node ended.
type ExchangeEnded struct {
	Node     string
	Answered bool
}

// LoadPushed brings a node's load.
type LoadPushed struct{ Load NodeLoad }

// Tick passes time on.
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

// Effect is what a Tracker wants done.
type Effect interface{ isEffect() }

// WatchList waits for a list version above After.
type WatchList struct{ After uint64 }

// PushList sends the list to the other nodes of the data centre.
type PushList struct{ List InstanceList }

// PollReport asks an endpoint for its load.
type PollReport struct {
	Endpoint string
	Address  string
}

// PollEvents asks an endpoint for its prefix-cache events after a sequence.
type PollEvents struct {
	Endpoint string
	Address  string
	After    uint64
}

// PushEvents sends events to the other nodes of the region.
type PushEvents struct{ Events CacheEvents }

// PushReport sends a report to the other nodes of the region.
type PushReport struct{ Report Report }

// PublishFleet replaces the view of the fleet.
type PublishFleet struct{ Fleet *Fleet }

// PublishPeers replaces the view of the other nodes.
type PublishPeers struct{ Peers Peers }

func (WatchList) isEffect()    {}
func (PushList) isEffect()     {}
func (PollReport) isEffect()   {}
func (PushReport) isEffect()   {}
func (PollEvents) isEffect()   {}
func (PushEvents) isEffect()   {}
func (PublishFleet) isEffect() {}
func (PublishPeers) isEffect() {}

// Peers is what the other controllers need to know of the nodes.
type Peers struct {
	Self  spreader.Peer
	Alive []spreader.Peer
	// Relay says that this node watches the object API for its data centre.
	Relay  bool
	Parent *spreader.Peer
	Local  []spreader.Peer
	Relays []spreader.Peer
	// DataCentres is the number of data centres with entry instances.
	DataCentres int
	// Loads is keyed by node.
	Loads map[string]NodeLoad
}
