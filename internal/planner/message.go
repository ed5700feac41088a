package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick says that the controller's wake time has come.
type Tick struct{}

// Held says that this node holds the placement lease until a time on its
// clock. First says that no other node can have given orders before.
type LeaseHeld struct {
	Epoch           uint64
	Until           time.Time
	NoEarlierHolder bool
	// HandedOver says that the former holder may have released the lease.
	HandedOver bool
	// Callers are the addresses for callers that the former holder gave, as
	// far as this node knows them.
	CallerAddresses []string
}

// Lost says that this node does not hold the lease any more.
type LeaseLost struct{}

// Configured is the configuration in force.
type ConfigurationChanged struct {
	Configuration *resolver.Configuration
	ProvenAt      time.Time
}

// Listed are the replicas in the store.
type ReplicasListed struct {
	Replicas []surveyor.Replica
	ProvenAt time.Time
}

// NodesListed are the nodes in the store.
type NodesListed struct {
	Nodes    []surveyor.Node
	ProvenAt time.Time
}

// Reported is a node's report; it is answered with an Answer.
type ReportReceived struct {
	Call   runner.Call
	Report Report
}

// OrderDone is the result of a SendOrder.
type OrderResult struct {
	Replica string
	Order   Order
	Outcome Outcome
}

// StateRead is the result of a ReadState.
type StateRead struct {
	Replica string
	// AskedAt is when the state was asked for.
	RequestedAt time.Time
	Failed      bool
	// Busy says that the replica was carrying out an order.
	Busy  bool
	State surveyor.Replica
}

func (Tick) isMessage()                 {}
func (LeaseHeld) isMessage()            {}
func (LeaseLost) isMessage()            {}
func (ConfigurationChanged) isMessage() {}
func (ReplicasListed) isMessage()       {}
func (NodesListed) isMessage()          {}
func (ReportReceived) isMessage()       {}
func (OrderResult) isMessage()          {}
func (StateRead) isMessage()            {}

// Outcome is what became of an order.
type Outcome string

// The outcomes of orders.
const (
	// Accepted orders are being carried out.
	Accepted Outcome = "accepted"
	// Holding means that the order holds already.
	AlreadyInEffect Outcome = "holding"
	// Busy means that another order is in progress or that the sequence is
	// another one.
	Busy Outcome = "busy"
	// Rejected orders were not and will not be carried out.
	Rejected Outcome = "rejected"
	// Unanswered orders may be carried out later, after newer ones.
	Unanswered Outcome = "unanswered"
	// Unsent orders were stopped because the lease had ended.
	Unsent Outcome = "unsent"
)

// Effect is an output of Controller: SendOrder, ReadState, AnswerReport,
// RemoveNode or Note.
type Effect interface{ isEffect() }

// SendOrder sends an order and brings an OrderDone.
type SendOrder struct {
	Replica string
	Address string
	Order   Order
	Fence   uint64
	// NotAfter is the end of the lease, which must be compared with the clock
	// directly before sending.
	NotAfter time.Time
}

// ReadState reads a replica's own report and brings a StateRead.
type ReadState struct{ Replica, Address string }

// AnswerReport answers a Reported.
type AnswerReport struct {
	Call   runner.Call
	Answer Answer
}

// RemoveNode removes the entry of a node that is gone for good.
type RemoveNode struct {
	Name     string
	Revision uint64
}

// Note is a decision or a change of a belief, for the log.
type Note struct {
	Text    string
	Replica string
	Model   string
	Reason  string
	Age     time.Duration
}

func (SendOrder) isEffect()    {}
func (ReadState) isEffect()    {}
func (AnswerReport) isEffect() {}
func (RemoveNode) isEffect()   {}
func (Note) isEffect()         {}

// Order is a change of what a replica holds.
type Order struct {
	Load    bool
	Model   string
	Adapter string
	// Expected is the replica's sequence number before the order.
	ExpectedSequence uint64
}
