package limiter

import "time"

const (
	// GrantLifetime is how long the owner counts a grant as outstanding.
	GrantLifetime = 2 * time.Second
	// heldLifetime is how long a holder uses a grant, counted from before it
	// asked. It is 10% shorter, for clocks that run at different speeds.
	holderGrantLifetime = GrantLifetime * 9 / 10
	// DefaultSlots is the number of standing shares of a workspace.
	DefaultSlots = 8
	// standingPart is the part of rate and burst that is divided into
	// standing shares.
	standingPart = 0.5
)

// Limit is a workspace's rate and burst across all nodes.
type Limit struct {
	// Workspace is the workspace's name.
	Workspace string
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// share returns rate and burst of a number of standing shares of slots.
func (l Limit) share(count, slots int) (rate, burst float64) {
	part := standingPart * float64(count) / float64(slots)
	return l.Rate * part, l.Burst * part
}

// Exchange is what a holder sends to the owner. A holder has at most one
// exchange under way with an owner.
type Exchange struct {
	// Holder is the node's instance name.
	Holder string
	// Session is larger for a later run of the node.
	Session uint64
	// Epoch is that of the owner's lease, as far as the holder knows.
	Epoch uint64
	// Sequence grows with every exchange of a session.
	Sequence uint64
	// Received is the sequence of the last exchange whose answer the holder
	// used. It never uses the answers of exchanges between the two, so the
	// owner can take their grants back.
	Received uint64
	Accounts []Account
}

// Account is the part of an exchange about one workspace.
type Account struct {
	Workspace string
	// Grants says what became of grants of the same epoch.
	Grants []GrantUse
	// Used counts the tokens that requests used, from grants and standing
	// shares, since the holder turned to this owner. Requests count when they
	// end.
	Used float64
	// Donated are standing tokens that the holder gives to the owner.
	Donated float64
	// Overdrawn are tokens that requests used beyond their reservations.
	Overdrawn float64
	Refunds   []Refund
	// Need is what the first waiting request lacks, 0 if none waits.
	Need float64
	// Waiting is what all waiting requests lack, at least Need.
	Waiting float64
	// Ahead is what the holder would like to have beyond Waiting.
	Ahead float64
}

// GrantUse says how much of a grant was used. The numbers count from the
// grant's beginning, so that repeating them has no effect.
type GrantUse struct {
	// Grant is the sequence of the exchange that the grant answered.
	Grant    uint64
	Spent    float64
	Returned float64
}

// Refund is the unused part of requests that were confirmed after the holder
// received the answer with the stamp Since. The stamp is the owner's own, so
// the age of a confirmation depends on no other clock and on no delay.
type Refund struct {
	Since  time.Duration
	Tokens float64
}

// Answer is what the owner replies to an exchange.
type Answer struct {
	// Refused says that the exchange had no effect.
	Refused bool
	Epoch   uint64
	// Session is that of a later run of the holder, by which the owner refused
	// an exchange; 0 otherwise.
	Session uint64
	// Stamp is the owner's time since the beginning of its epoch.
	Stamp time.Duration
	// Standing says whether the holder has a standing share.
	Standing Standing
	Grants   []Grant
	// Short names the workspaces that lack tokens somewhere.
	Short []string
	// Attained are the counts of used tokens that differ noticeably from what
	// the holder was told before, decayed since.
	Attained []AttainedService
}

// AttainedService is the number of tokens that requests of a workspace used
// lately in the whole fleet: a sum in which the weight of a token halves every
// AttainedHalfLife.
type AttainedService struct {
	Workspace string
	Tokens    float64
}

// Standing says whether a holder has a standing share.
type Standing string

// The values of Standing.
const (
	// StandingNone takes the share away.
	StandingNone Standing = ""
	// StandingKept changes nothing: a new owner cannot announce shares before
	// the grants of its predecessors have ended.
	StandingKept Standing = "Kept"
	// StandingHeld gives the share.
	StandingHeld Standing = "Held"
)

// Grant lends tokens to a holder.
type Grant struct {
	Workspace string
	Tokens    float64
	// RetryAfter is when Need may be there if Tokens is less; 0 if it is
	// covered.
	RetryAfter time.Duration
}
