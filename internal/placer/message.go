package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Message is a message to the Placer.
type Message interface{ isMessage() }

// LeaseHeld says that this node holds the lease of its region.
type LeaseHeld struct {
	Epoch uint64
	Until time.Time
}

// LeaseLost says that this node no longer holds the lease.
type LeaseLost struct{}

// ObjectRead answers ReadObject. An object that does not exist has version 0.
type ObjectRead struct {
	Ticket    uint64
	Version   uint64
	Placement Placement
}

// ReadFailed answers ReadObject.
type ReadFailed struct {
	Ticket uint64
	Detail string
}

// ObjectWritten says that a write took effect.
type ObjectWritten struct {
	Ticket  uint64
	Version uint64
}

// WriteFailed says that a write had no effect.
type WriteFailed struct {
	Ticket uint64
	// Conflict says that another holder wrote the object.
	Conflict bool
	Detail   string
}

// WriteUncertain says that a write may have taken effect or may still.
type WriteUncertain struct {
	Ticket uint64
	Detail string
}

// ConfigurationChanged brings the configuration in force.
type ConfigurationChanged struct {
	Configuration *releaser.Configuration
}

// FleetChanged brings the instances and their load reports.
type FleetChanged struct {
	Fleet tracker.Fleet
}

// Demand says that requests wait at a node for a model or an adapter. Waiting
// 0 ends the node's demand.
type Demand struct {
	Node  string
	Model string
	// Adapter is empty for the model itself.
	Adapter          string
	Class            filter.Class
	Waiting          int
	EarliestDeadline time.Time
}

// OrderAnswered brings the result of SendOrder.
type OrderAnswered struct {
	Endpoint string
	Key      Key
	Fence    uint64
	Outcome  Outcome
	// Current is the endpoint's fence if the outcome is StaleFence.
	Current uint64
	Detail  string
}

// Tick is delivered at the wake time.
type Tick struct{}

func (LeaseHeld) isMessage()            {}
func (LeaseLost) isMessage()            {}
func (ObjectRead) isMessage()           {}
func (ReadFailed) isMessage()           {}
func (ObjectWritten) isMessage()        {}
func (WriteFailed) isMessage()          {}
func (WriteUncertain) isMessage()       {}
func (ConfigurationChanged) isMessage() {}
func (FleetChanged) isMessage()         {}
func (Demand) isMessage()               {}
func (OrderAnswered) isMessage()        {}
func (Tick) isMessage()                 {}

// Outcome is what became of an order.
type Outcome string

// The outcomes of an order.
const (
	// Accepted orders are being carried out.
	Accepted Outcome = "Accepted"
	// StaleFence orders were refused because the endpoint had a newer one.
	StaleFence Outcome = "StaleFence"
	// NoMemory orders were refused for lack of memory.
	NoMemory Outcome = "NoMemory"
	// Refused orders were refused for another reason.
	Refused Outcome = "Refused"
	// NotSent orders certainly did not reach the endpoint.
	NotSent Outcome = "NotSent"
	// Uncertain orders may have reached the endpoint.
	Uncertain Outcome = "Uncertain"
)

// OrderKind says what an order asks for.
type OrderKind string

// The orders that a placer gives.
const (
	LoadModel     OrderKind = "LoadModel"
	UnloadModel   OrderKind = "UnloadModel"
	LoadAdapter   OrderKind = "LoadAdapter"
	UnloadAdapter OrderKind = "UnloadAdapter"
)

// Order is an order to an endpoint.
type Order struct {
	Kind     OrderKind
	Endpoint string
	Address  string
	Key      Key
	MemoryMB int
	Fence    uint64
	// Until is when the lease under which the order was given ends. The
	// order must not be sent later.
	Until time.Time
}

// Effect is an effect of the Placer.
type Effect interface{ isEffect() }

// ReadObject asks for the decided state.
type ReadObject struct {
	Ticket uint64
}

// WriteObject asks for a conditional update of the decided state.
type WriteObject struct {
	Ticket    uint64
	IfVersion uint64
	Placement Placement
}

// SendOrder asks for an order to be sent once.
type SendOrder struct {
	Order Order
}

// Publish brings a new view for operators.
type Publish struct {
	View View
}

func (ReadObject) isEffect()  {}
func (WriteObject) isEffect() {}
func (SendOrder) isEffect()   {}
func (Publish) isEffect()     {}

// View is what operators see of a placer. It is immutable.
type View struct {
	Region string
	// Leading says that this node decides for the region.
	Leading bool
	Epoch   uint64
	// Version is the version of the object.
	Version   uint64
	Placement Placement
	// Warnings are the endpoints and models that need attention.
	Warnings []Warning
}

// Warning is a fault that an operator may want to look at.
type Warning struct {
	Endpoint string
	Key      Key
	Text     string
	At       time.Time
}
