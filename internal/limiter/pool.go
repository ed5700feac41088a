package limiter

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// prefetchWindow is the period for whose expected demand a holder keeps
	// tokens: a few exchanges.
	prefetchWindow = 200 * time.Millisecond
	// maxRefunds bounds the refunds of a workspace in one exchange. Above it,
	// a refund is merged into one with an earlier date.
	maxRefunds = 16
	// minOwnerPart is the fraction of a burst that the owner always keeps.
	minOwnerPart = 1 - standingPart
)

// Pool is a holder's state of one workspace.
type Pool struct {
	Limit
	// Slots is the number of standing shares of a workspace in the fleet.
	Slots int
	// Standing is the node's standing share, nil if it has none. Its
	// Outstanding is the number of reserved tokens.
	Standing *Bucket
	// Grants contains the grants from the oldest to the newest, including
	// ended ones whose usage the owner has not acknowledged.
	Grants  []*HeldGrant
	Waiting []*Waiter
	// NextTimeout is not after the earliest TimeoutAt of a waiter.
	NextTimeout time.Time
	Demand      Demand
	// Refunds contains the refunds for the present owner, sorted by Since.
	Refunds   []Refund
	Overdrawn float64
	// Used counts the used tokens since the holder first contacted the present
	// owner. UsedSent and UsedAcked are its values in the last exchange that
	// was sent and in the last one that was answered.
	Used      float64
	UsedSent  float64
	UsedAcked float64
	// RetryAt is the time at which the owner may have tokens for the first
	// waiter.
	RetryAt time.Time
	// Short reports that the owner listed the workspace as short of tokens.
	Short bool
	// Queued reports that the owner may have a queue entry for this node.
	Queued bool
}

// Waiter is a request or a confirmation that waits for tokens.
type Waiter struct {
	Call        runner.Call
	TimeoutAt   time.Time
	Reservation *Reservation
	// Confirming reports that the waiter is a confirmation: its tokens are
	// spent as soon as they are reserved.
	Confirming bool
}

func (w *Waiter) isBefore(other *Waiter) bool {
	if w.Confirming != other.Confirming {
		return w.Confirming
	}
	return w.TimeoutAt.Before(other.TimeoutAt)
}

// HeldGrant is a grant at its holder.
type HeldGrant struct {
	// Sequence is the sequence of the exchange that requested the grant.
	Sequence uint64
	Epoch    uint64
	// Stamp is the stamp of the answer that contained the grant.
	Stamp time.Duration
	// Expires is the time at which the holder must stop using the grant.
	Expires time.Time
	Tokens  float64
	// Free is the number of tokens that are not reserved, spent or returned.
	Free     float64
	Spent    float64
	Returned float64
	// Closed reports that all tokens that were not spent have been returned.
	Closed bool
	// Sent and Acked are the usage in the last exchange that was sent and in
	// the last one that was answered.
	Sent  GrantUse
	Acked GrantUse
}

func (g *HeldGrant) use() GrantUse {
	return GrantUse{Grant: g.Sequence, Spent: g.Spent, Returned: g.Returned}
}

// close returns all tokens that are not spent, including reserved ones.
func (g *HeldGrant) close() {
	g.Closed = true
	g.Free = 0
	g.Returned = max(g.Returned, g.Tokens-g.Spent)
}

// refund adds back tokens that were spent but not used. If the grant has expired,
// they are returned to the owner.
func (g *HeldGrant) refund(now time.Time, tokens float64) {
	g.Spent -= tokens
	if g.Closed || !now.Before(g.Expires) {
		g.close()
		return
	}
	g.Free += tokens
}

// advance closes expired grants, removes closed ones that the owner has
// acknowledged or counts as expired, and refills the standing share.
func (p *Pool) advance(now, origin time.Time) {
	for _, held := range p.Grants {
		if !held.Closed && !now.Before(held.Expires) {
			held.close()
		}
	}
	p.Grants = slices.DeleteFunc(p.Grants, func(held *HeldGrant) bool {
		return held.Closed && (held.use() == held.Acked || now.Sub(held.Expires) > GrantLifetime)
	})
	if p.Standing != nil {
		p.Standing.advance(now.Sub(origin))
	}
}

// updateStanding adds or removes the standing share, or changes its size.
func (p *Pool) updateStanding(now, origin time.Time, standing bool) {
	rate, burst := p.share(1, p.Slots)
	switch {
	case !standing:
		p.Standing = nil
	case p.Standing == nil:
		bucket := newBucket(now.Sub(origin), rate, burst)
		p.Standing = &bucket
	default:
		p.Standing.advance(now.Sub(origin))
		p.Standing.setLimits(rate, burst)
	}
}

// largestReservation returns the largest number of tokens that can ever be
// reserved for one request.
func (p *Pool) largestReservation() float64 {
	largest := p.Burst * minOwnerPart
	if p.Standing != nil {
		largest += p.Standing.Burst
	}
	return largest
}

func (p *Pool) standingLevel() float64 {
	if p.Standing == nil {
		return 0
	}
	return max(0, p.Standing.Level)
}

// available returns the number of tokens that can be reserved now.
func (p *Pool) available() float64 {
	tokens := p.standingLevel()
	for _, held := range p.Grants {
		tokens += held.Free
	}
	return tokens
}

// missing returns the number of tokens that a reservation lacks. Parts from closed
// grants and from a standing share that was removed do not count.
func (p *Pool) missing(r *Reservation) float64 {
	tokens := r.Tokens
	for _, part := range r.Parts {
		if p.valid(part) {
			tokens -= part.Tokens
		}
	}
	return max(0, tokens)
}

func (p *Pool) valid(part Part) bool {
	if part.Grant != nil {
		return !part.Grant.Closed
	}
	return part.Standing == p.Standing
}

func (p *Pool) dropExpired(r *Reservation) {
	r.Parts = slices.DeleteFunc(r.Parts, func(part Part) bool { return !p.valid(part) })
}

// enqueue inserts a waiter into the queue, which is ordered by timeout with
// confirmations first, so that a request that can wait for minutes does not block
// one that cannot.
func (p *Pool) enqueue(w *Waiter) {
	place := len(p.Waiting)
	for place > 0 && w.isBefore(p.Waiting[place-1]) {
		place--
	}
	if len(p.Waiting) == 0 || w.TimeoutAt.Before(p.NextTimeout) {
		p.NextTimeout = w.TimeoutAt
	}
	p.Waiting = slices.Insert(p.Waiting, place, w)
}

func (p *Pool) updateNextTimeout() {
	for i, w := range p.Waiting {
		if i == 0 || w.TimeoutAt.Before(p.NextTimeout) {
			p.NextTimeout = w.TimeoutAt
		}
	}
}

// tryReserve reserves the tokens that a waiter lacks if enough are available and
// it has not timed out, and reports whether the waiter is covered.
func (p *Pool) tryReserve(now time.Time, w *Waiter) bool {
	missing := p.missing(w.Reservation)
	if p.available() < missing-tokenEpsilon || missing > 0 && now.After(w.TimeoutAt) {
		return false
	}
	p.dropExpired(w.Reservation)
	w.Reservation.Parts = append(w.Reservation.Parts, p.allocate(missing)...)
	return true
}

// standingCovers reports whether the refill of the standing share will cover a
// waiter without the owner.
func (p *Pool) standingCovers(w *Waiter) bool {
	return p.Standing != nil && p.missing(w.Reservation)-p.available() <= p.Standing.headroom()
}

// allocate takes available tokens from the standing share first, then from the
// oldest grants, and returns their parts.
func (p *Pool) allocate(tokens float64) []Part {
	var parts []Part
	if level := min(p.standingLevel(), tokens); level > 0 {
		p.Standing.issue(level)
		tokens -= level
		parts = append(parts, Part{Standing: p.Standing, Tokens: level})
	}
	for _, held := range p.Grants {
		part := min(held.Free, tokens)
		if part <= 0 {
			continue
		}
		held.Free -= part
		tokens -= part
		parts = append(parts, Part{Grant: held, Tokens: part})
	}
	return parts
}

// release returns the tokens of a reservation that was not confirmed to their
// sources.
func (p *Pool) release(r *Reservation) {
	for _, part := range r.Parts {
		switch {
		case !p.valid(part):
		case part.Standing != nil:
			part.Standing.release(part.Tokens)
		default:
			part.Grant.Free += part.Tokens
		}
	}
}

// addRefund adds a refund to the next exchange. Refunds with the same date are
// merged. Above maxRefunds, a refund is merged into the one before it, or into the
// first one, which then gets the earlier date.
func (p *Pool) addRefund(refund Refund) {
	at, same := slices.BinarySearchFunc(p.Refunds, refund.Since, func(r Refund, since time.Duration) int {
		return int(r.Since - since)
	})
	switch {
	case same:
		p.Refunds[at].Tokens += refund.Tokens
	case len(p.Refunds) < maxRefunds:
		p.Refunds = slices.Insert(p.Refunds, at, refund)
	case at > 0:
		p.Refunds[at-1].Tokens += refund.Tokens
	default:
		p.Refunds[0].Since = refund.Since
		p.Refunds[0].Tokens += refund.Tokens
	}
}

// waitingTokens returns the numbers of tokens that the first waiter and all waiters
// lack.
func (p *Pool) waitingTokens() (need, waiting float64) {
	if len(p.Waiting) == 0 {
		return 0, 0
	}
	free := p.available()
	for _, w := range p.Waiting {
		waiting += p.missing(w.Reservation)
	}
	need = max(0, p.missing(p.Waiting[0].Reservation)-free)
	return min(need, p.Burst*minOwnerPart), min(max(waiting-free, need), p.Burst)
}

// prefetch returns the number of tokens that the pool lacks for the demand expected
// within prefetchWindow.
func (p *Pool) prefetch(now time.Time) float64 {
	if p.Short {
		return 0
	}
	return max(0, p.Demand.expected(now, prefetchWindow)-p.available())
}

// releaseSurplus gives up the tokens that the demand expected within prefetchWindow
// does not need while the workspace is short at other nodes. Tokens of grants are
// returned; tokens of the standing share are donated, and their number is the
// result.
func (p *Pool) releaseSurplus(now time.Time) (donated float64) {
	if !p.Short || len(p.Waiting) > 0 {
		return 0
	}
	keep := p.Demand.expected(now, prefetchWindow)
	for _, held := range slices.Backward(p.Grants) {
		returned := min(held.Free, max(0, p.available()-keep))
		held.Free -= returned
		held.Returned += returned
	}
	if donated = min(p.standingLevel(), max(0, p.available()-keep)); donated > 0 {
		p.Standing.charge(donated)
	}
	return donated
}

// retryAfter estimates the time until a reservation could be covered, from 100 ms
// to one minute.
func (p *Pool) retryAfter(tokens float64) time.Duration {
	if p.Rate <= 0 {
		return time.Minute
	}
	_, waiting := p.waitingTokens()
	wait := seconds(max(0, waiting+tokens-p.available()) / p.Rate)
	return min(max(wait, 100*time.Millisecond), time.Minute)
}
