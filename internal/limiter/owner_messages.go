package limiter

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// OwnerMessage is a message that an Owner handles.
type OwnerMessage interface{ isOwnerMessage() }

// LeaseHeld reports that this node holds the lease until a time on its own clock.
// It is sent again with every renewal.
type LeaseHeld struct {
	Epoch uint64
	Until time.Time
	// Data is the content of the lease object when this node acquired the
	// lease.
	Data LeaseData
}

// LeaseLost reports that this node does not hold the lease.
type LeaseLost struct{}

// LeaseDataStored reports that the lease object holds at least this revision of
// the data of StoreLeaseData.
type LeaseDataStored struct {
	Epoch    uint64
	Revision uint64
}

// WorkspacesChanged contains the limits of all workspaces.
type WorkspacesChanged struct{ Limits []Limit }

// InstancesListed contains the names of the entry instances in the platform's
// list.
type InstancesListed struct{ Names []string }

// ExchangeReceived delivers an exchange of a holder. It is answered with
// ExchangeAnswered.
type ExchangeReceived struct {
	Call     runner.Call
	Exchange Exchange
}

// AttainedReceived contains the counts of used tokens that this node's holder has
// received.
type AttainedReceived struct{ Counts []AttainedService }

// HandoverRequested requests the data for the next owner. Afterwards the owner
// grants nothing in this epoch. It is answered with HandedOver.
type HandoverRequested struct{ Call runner.Call }

// StateRequested requests the owner's state for operators. It is answered with
// StateReported.
type StateRequested struct{ Call runner.Call }

// OwnerTick is delivered at the owner's wake time.
type OwnerTick struct{}

func (LeaseHeld) isOwnerMessage()         {}
func (LeaseLost) isOwnerMessage()         {}
func (LeaseDataStored) isOwnerMessage()   {}
func (WorkspacesChanged) isOwnerMessage() {}
func (InstancesListed) isOwnerMessage()   {}
func (ExchangeReceived) isOwnerMessage()  {}
func (AttainedReceived) isOwnerMessage()  {}
func (HandoverRequested) isOwnerMessage() {}
func (StateRequested) isOwnerMessage()    {}
func (OwnerTick) isOwnerMessage()         {}

// OwnerEffect is an effect that an Owner returns.
type OwnerEffect interface{ isOwnerEffect() }

// ExchangeAnswered answers an exchange.
type ExchangeAnswered struct {
	Call   runner.Call
	Answer Answer
}

// StoreLeaseData requests that data be written into the lease object.
type StoreLeaseData struct{ Data LeaseData }

// HandedOver answers HandoverRequested.
type HandedOver struct {
	Call runner.Call
	Data LeaseData
}

// StateReported answers StateRequested.
type StateReported struct {
	Call  runner.Call
	State OwnerState
}

// OwnerState is the state of an owner for operators.
type OwnerState struct {
	Epoch uint64
	// Grants reports whether the owner may grant tokens now.
	Grants bool
	// Slots contains the nodes that have standing shares, by slot; an empty
	// name means that the owner keeps the share.
	Slots    []string
	Balances []Balance
	// Short names the workspaces in which a need was recently not covered.
	Short []string
}

func (StateReported) isOwnerEffect()    {}
func (ExchangeAnswered) isOwnerEffect() {}
func (StoreLeaseData) isOwnerEffect()   {}
func (HandedOver) isOwnerEffect()       {}

// LeaseData is the content of the lease object.
type LeaseData struct {
	// Epoch is the epoch of the owner that wrote the data.
	Epoch uint64
	// Revision increases with every change within an epoch.
	Revision uint64
	// Slots contains the nodes that have standing shares, by slot; an empty
	// name means that the owner keeps the share.
	Slots []string
	// HandedOver reports that Balances are final: the owner has stopped
	// granting.
	HandedOver bool
	Balances   []Balance
}

// Balance is the state of one bucket, as it is handed over to the next owner.
type Balance struct {
	Workspace   string
	Level       float64
	Outstanding float64
}
