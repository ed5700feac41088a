package limiter

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// HolderMessage is a message that a Holder handles.
type HolderMessage interface{ isHolderMessage() }

// ReserveRequested requests tokens for a new request.
type ReserveRequested struct {
	Call      runner.Call
	Workspace string
	Tokens    float64
	Deadline  time.Time
	// MaxWait is the longest wait for tokens if it is above DefaultMaxWait.
	MaxWait time.Duration
}

// ConfirmRequested requests that the tokens of a reservation be spent, just
// before they are used. It is answered like ReserveRequested, with the same ID.
type ConfirmRequested struct {
	Call     runner.Call
	ID       uint64
	Deadline time.Time
	// MaxWait is the longest wait for tokens if it is above DefaultMaxWait.
	MaxWait time.Duration
}

// Settled ends a reservation of which Used tokens were used.
type Settled struct {
	ID   uint64
	Used float64
}

// Cancelled reports that the caller no longer waits for the answer to a call. If
// the call was already answered, its reservation ends unused.
type Cancelled struct{ Call runner.Call }

// OwnerChanged names the node that is the owner and the epoch of its lease.
type OwnerChanged struct {
	Node    string
	Address string
	Epoch   uint64
}

// ExchangeCompleted delivers the answer to an exchange.
type ExchangeCompleted struct {
	Sequence uint64
	Answer   Answer
}

// ExchangeFailed reports that an exchange failed or timed out.
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

// HolderEffect is an effect that a Holder returns.
type HolderEffect interface{ isHolderEffect() }

// Reserved answers a call: the tokens are reserved.
type Reserved struct {
	Call runner.Call
	ID   uint64
}

// Refused answers a call: no tokens are reserved, and a reservation that was to
// be confirmed has ended.
type Refused struct {
	Call   runner.Call
	Reason Reason
	// Largest is the largest reservation in tokens that the node can make, if
	// Reason is TooLarge.
	Largest float64
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// SendExchange sends an exchange to the owner.
type SendExchange struct {
	Address  string
	Exchange Exchange
}

// PublishAttained publishes the numbers of tokens that the workspaces used
// recently in the whole fleet. Workspaces that are not named used none.
type PublishAttained struct{ Tokens map[string]float64 }

func (Reserved) isHolderEffect()        {}
func (Refused) isHolderEffect()         {}
func (SendExchange) isHolderEffect()    {}
func (PublishAttained) isHolderEffect() {}

// Reason is the reason of a refusal.
type Reason string

// The reasons of a refusal.
const (
	// TooLarge refuses a request that exceeds the largest possible reservation.
	TooLarge Reason = "TooLarge"
	// NoTokens refuses a request that timed out while it waited for tokens.
	NoTokens Reason = "NoTokens"
	// QueueFull refuses a request because too many requests are waiting.
	QueueFull Reason = "QueueFull"
	// NoWorkspace refuses a request of a workspace without limits.
	NoWorkspace Reason = "NoWorkspace"
	// NoReservation refuses the confirmation of a reservation that has ended
	// or was confirmed before.
	NoReservation Reason = "NoReservation"
)
