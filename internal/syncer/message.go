package syncer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// ExchangeNow requests an exchange as soon as possible.
type ExchangeNow struct{}

// SetNodes replaces the registered nodes.
type SetNodes struct{ Nodes []surveyor.Node }

// SetHolding sets whether this node holds the lease.
type SetHolding struct{ Holding bool }

// HolderHint names the node that the lease object shows as the holder.
type HolderHint struct{ Holder string }

// ExchangeEnded is the result of an Exchange.
type ExchangeEnded struct {
	Peer      string
	StartedAt time.Time
	Failed    bool
	// Cause is the error text of a failed exchange.
	Cause  string
	Report planner.Report
	Answer planner.Answer
}

func (Tick) isMessage()          {}
func (ExchangeNow) isMessage()   {}
func (SetNodes) isMessage()      {}
func (SetHolding) isMessage()    {}
func (HolderHint) isMessage()    {}
func (ExchangeEnded) isMessage() {}

// SetCandidates replaces the nodes that may hold the lease. Candidate is set if
// this node is one of them.
type SetCandidates struct {
	Names     []string
	Candidate bool
}

// SetActing sets whether this node publishes the state of the fleet in place of a
// holder that is lost.
type SetActing struct {
	Acting     bool
	Registered int
}

// Effect is an output of Controller: Exchange, HolderAnswered, ViewReceived,
// SetCandidates, SetActing or Note.
type Effect interface{ isEffect() }

// Exchange sends a report to a node and results in an ExchangeEnded message. An
// empty Address stands for this node itself.
type Exchange struct {
	Peer    string
	Address string
	// Sequence is the number of the report. Epoch and Version identify the state of
	// the fleet that this node has.
	Sequence, Epoch, Version uint64
	NeedsView                bool
	// Timeout ends the exchange on a connection that no longer responds.
	Timeout time.Duration
}

// HolderAnswered publishes the answer of the holder. Ages in the answer's state
// count from AsOf.
type HolderAnswered struct {
	StartedAt time.Time
	AsOf      time.Time
	Answer    planner.Answer
	// HolderAddress is the holder's address for other nodes. It is empty if the
	// holder is this node.
	HolderAddress string
	Callers       []planner.Caller
	Assignments   []resumer.Assignment `json:",omitempty"`
	Others        Usage
}

// ViewReceived publishes what another node has read from the store. Its ages count
// from AsOf.
type ViewReceived struct {
	AsOf time.Time
	View *planner.StoreView
}

// Note is a log entry: the holder was found or lost.
type Note struct {
	Text   string
	Holder string
	Age    time.Duration
	Cause  string
	// Lost is set when the node no longer answers as the holder.
	Lost bool
}

func (Exchange) isEffect()       {}
func (HolderAnswered) isEffect() {}
func (ViewReceived) isEffect()   {}
func (SetCandidates) isEffect()  {}
func (SetActing) isEffect()      {}
func (Note) isEffect()           {}
