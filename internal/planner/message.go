package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick signals that the controller's wake time has been reached.
type Tick struct{}

// LeaseHeld reports that this node holds the placement lease until a time on its
// own clock. NoEarlierHolder is set if no other node can have sent orders before.
type LeaseHeld struct {
	Epoch           uint64
	Until           time.Time
	NoEarlierHolder bool
	// HandedOver is set if the previous holder may have released the lease before
	// it expired.
	HandedOver bool
	// Callers are the nodes that the previous holder published for callers, as far
	// as this node knows them.
	Callers []Caller
	// Versions are the software versions in the lease.
	Versions resumer.Published `json:",omitzero"`
	// Assignments are those of streams to software versions in the lease.
	Assignments []resumer.Assignment `json:",omitempty"`
	// FormerSizes are the sizes in the lease with which replicas may still hold models.
	FormerSizes []FormerSize `json:",omitempty"`
	// StoreEra is the era of the store in which the lease is held, 0 if it names none.
	StoreEra uint64 `json:",omitempty"`
}

// VersionsInherited delivers the software versions and assignments that another holder has
// published, with the time at which its list of replicas was current, or that are in the lease if
// Stored is set. The slice of the assignments is the same as long as nothing has changed.
type VersionsInherited struct {
	Versions    resumer.Published
	Assignments []resumer.Assignment `json:",omitempty"`
	AsOf        time.Time            `json:",omitzero"`
	Stored      bool                 `json:",omitempty"`
}

// VersionsStored reports that the lease contains the versions and assignments of a
// StoreLeaseData.
type VersionsStored struct {
	Services    []resumer.Service
	Assignments []resumer.Assignment `json:",omitempty"`
}

// LeaseLost reports that this node no longer holds the lease.
type LeaseLost struct{}

// SetActing sets whether this node collects reports and publishes the state of the
// fleet in place of a holder that is lost. An acting node sends no orders.
type SetActing struct {
	Acting bool
	// Callers are as in LeaseHeld. Registered is the number of registered nodes as
	// far as this node knows it.
	Callers    []Caller
	Registered int
}

// ConfigurationChanged delivers the configuration in force. CurrentAsOf is the
// latest time at which it is known to have been the newest.
type ConfigurationChanged struct {
	Configuration *resolver.Configuration
	CurrentAsOf   time.Time
}

// ReplicasListed delivers the replicas in the store as of CurrentAsOf. Era is the
// store's.
type ReplicasListed struct {
	Replicas    []surveyor.Replica
	Era         uint64 `json:",omitempty"`
	CurrentAsOf time.Time
}

// NodesListed delivers the nodes in the store as of CurrentAsOf.
type NodesListed struct {
	Nodes       []surveyor.Node
	CurrentAsOf time.Time
}

// EvacuationsListed delivers the evacuated data centres in the store as of CurrentAsOf,
// sorted.
type EvacuationsListed struct {
	DataCentres []string
	CurrentAsOf time.Time
}

// ReportReceived delivers a node's report. It is answered with an Answer.
type ReportReceived struct {
	Call   runner.Call
	Report Report
}

// OrderResult is the result of a SendOrder.
type OrderResult struct {
	Replica string
	Order   Order
	Outcome Outcome
	// Leaving is set if the answer announced that the replica leaves.
	Leaving bool `json:",omitempty"`
}

// StateRead is the result of a ReadState.
type StateRead struct {
	Replica string
	// RequestedAt is when the read was started.
	RequestedAt time.Time
	Failed      bool
	// Busy is set if the replica was executing an order.
	Busy bool
	// State is the replica's own report. Leaving is set in it if the answer announced that the
	// replica leaves.
	State surveyor.Replica
}

func (Tick) isMessage()                 {}
func (LeaseHeld) isMessage()            {}
func (LeaseLost) isMessage()            {}
func (VersionsInherited) isMessage()    {}
func (VersionsStored) isMessage()       {}
func (SetActing) isMessage()            {}
func (ConfigurationChanged) isMessage() {}
func (ReplicasListed) isMessage()       {}
func (NodesListed) isMessage()          {}
func (EvacuationsListed) isMessage()    {}
func (ReportReceived) isMessage()       {}
func (OrderResult) isMessage()          {}
func (StateRead) isMessage()            {}

// Outcome is the result of sending an order.
type Outcome string

// The outcomes of orders.
const (
	// Accepted means that the replica is executing the order.
	Accepted Outcome = "accepted"
	// AlreadyInEffect means that the replica is already in the ordered state.
	AlreadyInEffect Outcome = "holding"
	// Busy means that another order is in progress or that the replica's
	// sequence number is not the expected one.
	Busy Outcome = "busy"
	// Rejected means that the order was not executed and will not be.
	Rejected Outcome = "rejected"
	// Unanswered means that the order may still be executed, even after newer
	// ones.
	Unanswered Outcome = "unanswered"
	// Unsent means that the order did not reach the replica, because the lease
	// had ended or no connection could be made.
	Unsent Outcome = "unsent"
)

// Effect is an output of Controller: SendOrder, ReadState, AnswerReport,
// RemoveNode, StoreLeaseData, StoreRecords, HandOver, RegainCandidacy or Note.
type Effect interface{ isEffect() }

// SendOrder sends an order. Its result is an OrderResult.
type SendOrder struct {
	Replica string
	Address string
	Order   Order
	Fence   uint64
	// NotAfter is the end of the lease. It must be compared with the clock
	// immediately before sending.
	NotAfter time.Time
}

// ReadState reads a replica's own report. Its result is a StateRead.
type ReadState struct{ Replica, Address string }

// AnswerReport answers a ReportReceived.
type AnswerReport struct {
	Call   runner.Call
	Answer Answer
}

// RemoveNode removes the store entry of a node that has stopped reporting.
type RemoveNode struct {
	Name     string
	Revision uint64
}

// StoreLeaseData stores in the lease what its next holder has to know. Its result is a
// VersionsStored.
type StoreLeaseData struct {
	Services    []resumer.Service
	Assignments []resumer.Assignment `json:",omitempty"`
	FormerSizes []FormerSize         `json:",omitempty"`
	// Assigned is set if all nodes begin streams as assigned.
	Assigned bool `json:",omitempty"`
	// Incomplete is set if there may be other versions, and StoreEra is the era of the store
	// in which this node has the lease. The versions prove nothing in a later era, in which
	// the lease may be older than they are.
	Incomplete bool   `json:",omitempty"`
	StoreEra   uint64 `json:",omitempty"`
}

// StoreRecords makes the store contain the records about requests that crash replicas. Tenure
// is 0 if this node no longer decides about them.
type StoreRecords struct {
	Tenure  uint64            `json:",omitempty"`
	Records []screener.Record `json:",omitempty"`
}

// HandOver releases the lease, because other nodes reach the replicas and this one does not.
// This node must not take it before RegainCandidacy.
type HandOver struct{}

// RegainCandidacy allows this node to take the lease again.
type RegainCandidacy struct{}

// Note is a log entry for a decision or a change of observed state. Text is also
// a metric label value.
type Note struct {
	Text    string
	Replica string
	Model   string
	Reason  string
	Age     time.Duration
	// Waiting is the number of requests that wait for Model.
	Waiting int `json:",omitempty"`
}

func (SendOrder) isEffect()       {}
func (ReadState) isEffect()       {}
func (AnswerReport) isEffect()    {}
func (RemoveNode) isEffect()      {}
func (StoreLeaseData) isEffect()  {}
func (StoreRecords) isEffect()    {}
func (HandOver) isEffect()        {}
func (RegainCandidacy) isEffect() {}
func (Note) isEffect()            {}

// Order loads or unloads a model or an adapter on a replica. Adapter is empty for
// the model itself.
type Order struct {
	Load    bool
	Model   string
	Adapter string
	// ExpectedSequence is the replica's sequence number before the order.
	ExpectedSequence uint64
}
