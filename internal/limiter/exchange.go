package limiter

import "time"

const (
	// GrantLifetime is the time for which the owner counts a grant as
	// outstanding.
	GrantLifetime = 2 * time.Second
	// holderGrantLifetime is the time for which a holder uses a grant, counted
	// from the sending of the exchange that requested it. It is 10% shorter
	// than GrantLifetime to allow for clocks that run at different speeds.
	holderGrantLifetime = GrantLifetime * 9 / 10
	// DefaultSlots is the default number of standing shares of a workspace.
	DefaultSlots = 8
	// standingPart is the fraction of rate and burst that is divided into
	// standing shares.
	standingPart = 0.5
)

// Limit is a workspace's rate and burst across all nodes.
type Limit struct {
	// Workspace is the workspace's name.
	Workspace string
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// share returns the rate and the burst that count of the slots standing shares have
// together.
func (l Limit) share(count, slots int) (rate, burst float64) {
	part := standingPart * float64(count) / float64(slots)
	return l.Rate * part, l.Burst * part
}

// Exchange is a message from a holder to the owner: it reports usage and
// requests grants. A holder has at most one exchange in flight with an owner.
type Exchange struct {
	// Holder is the node's instance name.
	Holder string
	// Session identifies the run of the node; a later run has a larger one.
	Session uint64
	// Epoch is the epoch of the owner's lease as the holder last learned it.
	Epoch uint64
	// Sequence is the number of the exchange within its session.
	Sequence uint64
	// Received is the sequence of the last exchange whose answer the holder
	// applied. The holder never applies the answers to exchanges between
	// Received and Sequence, so the owner can revoke their grants.
	Received uint64
	Accounts []Account
}

// Account is the part of an exchange about one workspace.
type Account struct {
	Workspace string
	// Grants is the usage of grants of the same epoch.
	Grants []GrantUse
	// Used is the number of tokens that requests used, from grants and standing
	// shares, since the holder first contacted this owner. A request is counted
	// when it ends.
	Used float64
	// Donated is the number of tokens of the standing share that the holder
	// transfers to the owner.
	Donated float64
	// Overdrawn is the number of tokens that requests used beyond their
	// reservations.
	Overdrawn float64
	Refunds   []Refund
	// Need is the number of tokens that the first waiting request lacks, 0 if
	// no request waits.
	Need float64
	// Waiting is the number of tokens that all waiting requests lack, at least
	// Need.
	Waiting float64
	// Ahead is the number of tokens that the holder requests beyond Waiting, to
	// prefetch them for expected requests.
	Ahead float64
}

// GrantUse is the usage of a grant. The numbers are cumulative, so repeating them
// has no effect.
type GrantUse struct {
	// Grant is the sequence of the exchange that the grant answered.
	Grant    uint64
	Spent    float64
	Returned float64
}

// Refund is the unused part of requests that were confirmed after the holder
// received the answer with the stamp Since. The stamp was read from the owner's
// clock, so the age of a confirmation depends neither on other clocks nor on
// network delay.
type Refund struct {
	Since  time.Duration
	Tokens float64
}

// Answer is the owner's reply to an exchange.
type Answer struct {
	// Refused reports that the exchange was rejected and had no effect.
	Refused bool
	Epoch   uint64
	// Session is the larger session of the holder that the owner knows, if it
	// refused the exchange because of it; 0 otherwise.
	Session uint64
	// Stamp is the time since the start of the epoch on the owner's clock.
	Stamp time.Duration
	// Standing is the state of the holder's standing share.
	Standing Standing
	Grants   []Grant
	// Short names the workspaces that lack tokens at some node.
	Short []string
	// Attained contains the counts of used tokens that have changed: those that
	// differ by more than a tolerance from the count that was last sent to the
	// holder, decayed to the present.
	Attained []AttainedService
}

// AttainedService is the number of tokens that requests of a workspace used
// recently in the whole fleet: a sum in which the weight of a token halves every
// AttainedHalfLife.
type AttainedService struct {
	Workspace string
	Tokens    float64
}

// Standing is the state of a holder's standing share in an answer of the owner.
type Standing string

// The values of Standing.
const (
	// StandingNone means that the holder has no share and must drop one that
	// it has.
	StandingNone Standing = ""
	// StandingKept leaves the share unchanged: a new owner cannot announce
	// shares before the grants of its predecessors have ended.
	StandingKept Standing = "Kept"
	// StandingHeld means that the holder has a share.
	StandingHeld Standing = "Held"
)

// Grant lends tokens to a holder.
type Grant struct {
	Workspace string
	Tokens    float64
	// RetryAfter is the estimated time until the owner can cover Need, or the
	// rest of Waiting; 0 if both are covered.
	RetryAfter time.Duration
}
