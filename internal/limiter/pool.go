package limiter

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// aheadTime is for how long a holder keeps tokens ahead of its demand: a
	// few exchanges.
	prefetchWindow = 200 * time.Millisecond
	// maxRefunds bounds the refunds of a workspace in one exchange. Above it
	// a refund is dated like an older one.
	maxRefunds = 16
	// maxOwnPart is the part of a burst that the owner has at least.
	minOwnerPart = 1 - standingPart
)

// Pool is a holder's state of one workspace.
type Pool struct {
	Limit
	// Slots is the number of standing shares in the fleet.
	Slots int
	// Standing is the node's own share, nil if it has none. Reserved tokens
	// are its Outstanding.
	Standing *Bucket
	// Held are the grants from the oldest to the newest, also ended ones of
	// which the owner still has to learn.
	Grants  []*HeldGrant
	Waiting []*Waiter
	// TimeoutAt is not after the first Until of a waiter.
	NextTimeout time.Time
	Demand      Demand
	// Refunds are for the present owner, sorted by Since.
	Refunds   []Refund
	Overdrawn float64
	// Used counts the used tokens since the holder turned to the present
	// owner; UsedSent and UsedKnown are its values in the last exchange sent
	// and answered.
	Used      float64
	UsedSent  float64
	UsedAcked float64
	// RetryAt is when the owner may have tokens for the first waiter.
	RetryAt time.Time
	// Short says that the owner reported the workspace as short.
	Short bool
	// Pledged says that the owner may keep a place for this node.
	Queued bool
}

// Waiter is a request that waits for tokens.
type Waiter struct {
	Call        runner.Call
	TimeoutAt   time.Time
	Reservation *Reservation
	// Confirms says that the tokens are used as soon as they are there.
	Confirming bool
}

func (w *Waiter) isBefore(other *Waiter) bool {
	if w.Confirming != other.Confirming {
		return w.Confirming
	}
	return w.TimeoutAt.Before(other.TimeoutAt)
}

// Held is a grant at its holder.
type HeldGrant struct {
	// Sequence is that of the exchange that the grant answered.
	Sequence uint64
	Epoch    uint64
	// Stamp is that of the answer.
	Stamp time.Duration
	// Expires is when the holder must stop using it.
	Expires time.Time
	Tokens  float64
	// Free is the part that nobody has reserved.
	Free     float64
	Spent    float64
	Returned float64
	// Closed says that everything not spent is returned.
	Closed bool
	// Sent and Known are the use as of the last exchange sent and answered.
	Sent  GrantUse
	Acked GrantUse
}

func (g *HeldGrant) use() GrantUse {
	return GrantUse{Grant: g.Sequence, Spent: g.Spent, Returned: g.Returned}
}

// close returns everything that is not spent, also reserved tokens.
func (g *HeldGrant) close() {
	g.Closed = true
	g.Free = 0
	g.Returned = max(g.Returned, g.Tokens-g.Spent)
}

// unspend takes back tokens that were spent and not used.
func (g *HeldGrant) refund(now time.Time, tokens float64) {
	g.Spent -= tokens
	if g.Closed || !now.Before(g.Expires) {
		g.close()
		return
	}
	g.Free += tokens
}

// advance brings grants and the standing share up to date.
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

// resize gives or takes the standing share, or changes its size.
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

// largest is the largest reservation that can ever be covered.
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

// free is the number of tokens that can be reserved now.
func (p *Pool) available() float64 {
	tokens := p.standingLevel()
	for _, held := range p.Grants {
		tokens += held.Free
	}
	return tokens
}

// missing is what a reservation lacks. Parts from grants that have ended and
// from a standing share that was taken away do not count.
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

// enqueue adds a waiter behind those that come before it: confirmations first,
// then by the end of their patience, so that a request that can wait for
// minutes does not hold back one that cannot.
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

// cover reserves what a waiter lacks if there is enough and its time is not
// over.
func (p *Pool) tryReserve(now time.Time, w *Waiter) bool {
	missing := p.missing(w.Reservation)
	if p.available() < missing-tokenEpsilon || missing > 0 && now.After(w.TimeoutAt) {
		return false
	}
	p.dropExpired(w.Reservation)
	w.Reservation.Parts = append(w.Reservation.Parts, p.allocate(missing)...)
	return true
}

// standingCovers says whether a waiter will be covered without the owner.
func (p *Pool) standingCovers(w *Waiter) bool {
	return p.Standing != nil && p.missing(w.Reservation)-p.available() <= p.Standing.headroom()
}

// take reserves tokens that are there: standing ones first, then those of the
// oldest grants.
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

// release gives back a reservation that was not confirmed.
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

// addRefund keeps a refund for the next exchange.
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

// waitingFor returns what the first waiter and all waiters lack.
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

// ahead is what the pool lacks for the demand of the near future.
func (p *Pool) prefetch(now time.Time) float64 {
	if p.Short {
		return 0
	}
	return max(0, p.Demand.expected(now, prefetchWindow)-p.available())
}

// surplus takes out what the near future does not need while the workspace is
// short elsewhere: tokens of grants are returned, standing ones are donated.
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

// retryAfter estimates when a reservation could be covered.
func (p *Pool) retryAfter(tokens float64) time.Duration {
	if p.Rate <= 0 {
		return time.Minute
	}
	_, waiting := p.waitingTokens()
	wait := seconds(max(0, waiting+tokens-p.available()) / p.Rate)
	return min(max(wait, 100*time.Millisecond), time.Minute)
}
