package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Message is a message to the Placer.
type Message interface{ isMessage() }

// LeaseHeld reports that this node holds the lease of its region.
type LeaseHeld struct {
	Epoch uint64
	Until time.Time
}

// LeaseLost reports that this node no longer holds the lease.
type LeaseLost struct{}

// ObjectRead is the result of a ReadObject effect. An object that does not
// exist has version 0.
type ObjectRead struct {
	Ticket uint64
	// Era is the era of the object API, 0 if it is not known.
	Era       uint64 `json:",omitempty"`
	Version   uint64
	Placement Placement
}

// ReadFailed reports that a ReadObject effect failed.
type ReadFailed struct {
	Ticket uint64
	Detail string
}

// ObjectWritten reports that a write took effect.
type ObjectWritten struct {
	Ticket uint64
	// Era is that in which the write took effect.
	Era     uint64 `json:",omitempty"`
	Version uint64
}

// WriteFailed reports that a write had no effect.
type WriteFailed struct {
	Ticket uint64
	// Conflict is true if another holder wrote the object.
	Conflict bool
	Detail   string
}

// WriteUncertain reports that a write may have taken effect, or may still take
// effect.
type WriteUncertain struct {
	Ticket uint64
	Detail string
}

// ConfigurationChanged delivers the configuration in force.
type ConfigurationChanged struct {
	Configuration *releaser.Configuration
}

// FleetChanged delivers the instances and their load reports.
type FleetChanged struct {
	Fleet tracker.Fleet
}

// Demand reports that requests at a node are waiting for a model or an
// adapter. Waiting 0 ends the node's demand.
type Demand struct {
	Node  string
	Model string
	// Adapter is empty for the model itself.
	Adapter          string
	Class            filter.Class
	Waiting          int
	EarliestDeadline time.Time
}

// OrderAnswered is the result of a SendOrder effect.
type OrderAnswered struct {
	Endpoint string
	Key      Key
	Fence    uint64
	Outcome  Outcome
	// Current is the endpoint's fence if Outcome is StaleFence.
	Current uint64
	Detail  string
}

// Tick is delivered at the time that Wake returns.
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

// Outcome is the result of an order.
type Outcome string

// Outcomes of an order.
const (
	// Accepted means that the endpoint is executing the order.
	Accepted Outcome = "Accepted"
	// StaleFence means that the endpoint refused the order because it has a
	// newer fence.
	StaleFence Outcome = "StaleFence"
	// NoMemory means that the endpoint refused the order for lack of memory.
	NoMemory Outcome = "NoMemory"
	// Refused means that the endpoint refused the order for another reason.
	Refused Outcome = "Refused"
	// NotSent means that the order certainly did not reach the endpoint.
	NotSent Outcome = "NotSent"
	// Uncertain means that the order may have reached the endpoint.
	Uncertain Outcome = "Uncertain"
)

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
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
	// Until is when the lease under which the order was given expires. The
	// order must not be sent later.
	Until time.Time
}

// Effect is a side effect that the Placer requests.
type Effect interface{ isEffect() }

// ReadObject requests a read of the decided state.
type ReadObject struct {
	Ticket uint64
}

// WriteObject requests a conditional update of the decided state.
type WriteObject struct {
	Ticket    uint64
	IfVersion uint64
	Placement Placement
}

// SendOrder requests that an order be sent once.
type SendOrder struct {
	Order Order
}

// Publish provides a new view for operators.
type Publish struct {
	View View
}

func (ReadObject) isEffect()  {}
func (WriteObject) isEffect() {}
func (SendOrder) isEffect()   {}
func (Publish) isEffect()     {}

// View is the state of a placer as shown to operators. It is immutable.
type View struct {
	Region string
	// Leading is true if this node holds the region's lease.
	Leading bool
	Epoch   uint64
	// Version is the version of the stored object.
	Version   uint64
	Placement Placement
	// Warnings lists the endpoints and models that need attention, oldest
	// first.
	Warnings []Warning
}

// Warning is a fault reported to operators.
type Warning struct {
	Endpoint string
	Key      Key
	Text     string
	At       time.Time
}
