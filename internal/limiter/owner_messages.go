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
	// Data is what the previous owner left, with Epoch 0 if it left nothing.
	Data Handover
}

// LeaseLost says that this node does not hold the lease.
type LeaseLost struct{}

// TableRead gives the stored table of standing shares, as read in an epoch.
type TableRead struct {
	Epoch uint64
	// Version is that of the object, 0 if it does not exist.
	Version uint64
	Nodes   []string
}

// TableWritten says that a revision of the table is stored.
type TableWritten struct {
	Epoch    uint64
	Revision uint64
	Version  uint64
}

// TableFailed says that reading or writing the table failed. It may have been
// written all the same.
type TableFailed struct{ Epoch uint64 }

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

// HandOverAsked asks for the data for the next owner. The owner grants nothing
// afterwards in this epoch.
type HandOverAsked struct{ Call runner.Call }

// OwnerTick is delivered at the owner's wake time.
type OwnerTick struct{}

func (LeaseHeld) isOwnerMessage()         {}
func (LeaseLost) isOwnerMessage()         {}
func (TableRead) isOwnerMessage()         {}
func (TableWritten) isOwnerMessage()      {}
func (TableFailed) isOwnerMessage()       {}
func (WorkspacesChanged) isOwnerMessage() {}
func (InstancesListed) isOwnerMessage()   {}
func (ExchangeReceived) isOwnerMessage()  {}
func (HandOverAsked) isOwnerMessage()     {}
func (OwnerTick) isOwnerMessage()         {}

// OwnerEffect is what an Owner decides.
type OwnerEffect interface{ isOwnerEffect() }

// ExchangeAnswered answers an exchange.
type ExchangeAnswered struct {
	Call   runner.Call
	Answer Answer
}

// ReadTable asks for the stored table of standing shares.
type ReadTable struct{ Epoch uint64 }

// WriteTable asks for the table to be stored if the object has a version.
type WriteTable struct {
	Epoch     uint64
	Revision  uint64
	IfVersion uint64
	Nodes     []string
}

// HandedOver answers HandOverAsked.
type HandedOver struct {
	Call runner.Call
	Data Handover
}

func (ExchangeAnswered) isOwnerEffect() {}
func (ReadTable) isOwnerEffect()        {}
func (WriteTable) isOwnerEffect()       {}
func (HandedOver) isOwnerEffect()       {}

// Handover is what an owner leaves for the next one.
type Handover struct {
	// Epoch is that of the owner that left it, 0 if there is none.
	Epoch uint64
	// Nodes are the nodes with standing shares, by slot; an empty name means
	// that the owner keeps the share.
	Nodes    []string
	Balances []Balance
}

// Balance is the state of one bucket when it was handed over.
type Balance struct {
	Workspace   string
	Level       float64
	Outstanding float64
}
