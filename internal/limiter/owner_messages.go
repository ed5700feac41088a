package limiter

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// OwnerMessage is what an Owner handles.
type OwnerMessage interface{ isOwnerMessage() }

// LeaseHeld says that this node holds the lease until a time on its own clock.
// It is repeated with every renewal.
type LeaseHeld struct {
	Epoch uint64
	Until time.Time
	// Data is what the lease object held when this node took the lease.
	Data LeaseData
}

// LeaseLost says that this node does not hold the lease.
type LeaseLost struct{}

// LeaseDataStored says that the lease object holds at least this revision of
// the data that StoreLeaseData gave.
type LeaseDataStored struct {
	Epoch    uint64
	Revision uint64
}

// WorkspacesChanged gives the limits of all workspaces.
type WorkspacesChanged struct{ Limits []Limit }

// InstancesListed gives the names of the entry instances in the platform's
// list.
type InstancesListed struct{ Names []string }

// ExchangeReceived asks for the answer to an exchange.
type ExchangeReceived struct {
	Call     runner.Call
	Exchange Exchange
}

// AttainedHeard brings the counts of used tokens that this node's holder knows.
type AttainedReceived struct{ Counts []AttainedService }

// HandOverAsked asks for the data for the next owner. The owner grants nothing
// afterwards in this epoch.
type HandoverRequested struct{ Call runner.Call }

// StateAsked asks what the owner knows, for operators.
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

// OwnerEffect is what an Owner decides.
type OwnerEffect interface{ isOwnerEffect() }

// ExchangeAnswered answers an exchange.
type ExchangeAnswered struct {
	Call   runner.Call
	Answer Answer
}

// StoreLeaseData asks for data to be written into the lease object.
type StoreLeaseData struct{ Data LeaseData }

// HandedOver answers HandOverAsked.
type HandedOver struct {
	Call runner.Call
	Data LeaseData
}

// StateTold answers StateAsked.
type StateReported struct {
	Call  runner.Call
	State OwnerState
}

// OwnerState is what operators see of an owner.
type OwnerState struct {
	Epoch uint64
	// Grants says that the owner may grant tokens now.
	Grants bool
	// Slots are the nodes with standing shares.
	Slots    []string
	Balances []Balance
	// Short names the workspaces in which a need was not covered lately.
	Short []string
}

func (StateReported) isOwnerEffect()    {}
func (ExchangeAnswered) isOwnerEffect() {}
func (StoreLeaseData) isOwnerEffect()   {}
func (HandedOver) isOwnerEffect()       {}

// LeaseData is what the lease object holds for the limits.
type LeaseData struct {
	// Epoch is that of the owner that wrote the data.
	Epoch uint64
	// Revision grows with every change within an epoch.
	Revision uint64
	// Slots are the names of the nodes that have standing shares, by slot;
	// an empty name means that the owner keeps the share.
	Slots []string
	// HandedOver says that Balances are final.
	HandedOver bool
	Balances   []Balance
}

// Balance is the state of one bucket when it was handed over.
type Balance struct {
	Workspace   string
	Level       float64
	Outstanding float64
}
