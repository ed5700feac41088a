package limiter

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// HolderMessage is what a Holder handles.
type HolderMessage interface{ isHolderMessage() }

// ReserveAsked asks for tokens for a new request.
type ReserveRequested struct {
	Call      runner.Call
	Workspace string
	Tokens    float64
	Deadline  time.Time
	// Patience is the longest wait if it is above MaxWait.
	MaxWait time.Duration
}

// ConfirmAsked says that a reservation is about to be used. It is answered
// like ReserveAsked, with the same ID.
type ConfirmRequested struct {
	Call     runner.Call
	ID       uint64
	Deadline time.Time
	// Patience is the longest wait if it is above MaxWait.
	MaxWait time.Duration
}

// Settled ends a reservation.
type Settled struct {
	ID   uint64
	Used float64
}

// Cancelled says that nobody waits for the answer to a call. If the call was
// answered, its reservation ends unused.
type Cancelled struct{ Call runner.Call }

// OwnerChanged says which node is the owner.
type OwnerChanged struct {
	Node    string
	Address string
	Epoch   uint64
}

// ExchangeReturned is the answer to an exchange.
type ExchangeCompleted struct {
	Sequence uint64
	Answer   Answer
}

// ExchangeFailed says that an exchange got no answer in time.
type ExchangeFailed struct{ Sequence uint64 }

// HolderTick is delivered at the holder's wake time.
type HolderTick struct{}

func (ReserveRequested) isHolderMessage()  {}
func (ConfirmRequested) isHolderMessage()  {}
func (Settled) isHolderMessage()           {}
func (Cancelled) isHolderMessage()         {}
func (OwnerChanged) isHolderMessage()      {}
func (WorkspacesChanged) isHolderMessage() {}
func (ExchangeCompleted) isHolderMessage() {}
func (ExchangeFailed) isHolderMessage()    {}
func (HolderTick) isHolderMessage()        {}

// HolderEffect is what a Holder decides.
type HolderEffect interface{ isHolderEffect() }

// Reserved answers a call: the tokens are set aside.
type Reserved struct {
	Call runner.Call
	ID   uint64
}

// Refused answers a call: no tokens are set aside, and a reservation that was
// to be confirmed has ended.
type Refused struct {
	Call   runner.Call
	Reason Reason
	// Largest is the largest reservation that the node can make, if the
	// reason is TooLarge.
	Largest float64
	// RetryAfter is when asking again may help.
	RetryAfter time.Duration
}

// SendExchange asks for an exchange with the owner.
type SendExchange struct {
	Address  string
	Exchange Exchange
}

// PublishAttained gives the tokens that the workspaces used lately in the whole
// fleet. Workspaces that are not named used none.
type PublishAttained struct{ Tokens map[string]float64 }

func (Reserved) isHolderEffect()        {}
func (Refused) isHolderEffect()         {}
func (SendExchange) isHolderEffect()    {}
func (PublishAttained) isHolderEffect() {}

// Reason says why tokens were refused.
type Reason string

// The reasons of a refusal.
const (
	// TooLarge is a request that no wait can serve.
	TooLarge Reason = "TooLarge"
	// NoTokens is a request that waited in vain.
	NoTokens Reason = "NoTokens"
	// QueueFull is a request that found too many waiting.
	QueueFull Reason = "QueueFull"
	// NoWorkspace is a request for a workspace without limits.
	NoWorkspace Reason = "NoWorkspace"
	// NoReservation is a confirmation of a reservation that has ended.
	NoReservation Reason = "NoReservation"
)
