package limiter

import "time"

// needsReport reports whether the owner should receive an account of the pool
// soon, because of unreported usage or of tokens that the pool can return.
func (p *Pool) needsReport(now time.Time, epoch uint64) bool {
	if len(p.Refunds) > 0 || p.Overdrawn > 0 || p.Queued {
		return true
	}
	for _, held := range p.Grants {
		if held.Epoch == epoch && held.use() != held.Sent {
			return true
		}
	}
	available, expected := p.available(), p.Demand.expected(now, prefetchWindow)
	if p.Short {
		return available > expected
	}
	return available < expected/2
}

// account returns the pool's part of an exchange, or false if there is nothing
// to report or to request. It marks the returned usage as sent.
func (p *Pool) account(now time.Time, epoch uint64) (Account, bool) {
	account := Account{Workspace: p.Workspace, Refunds: p.Refunds, Overdrawn: p.Overdrawn, Used: p.Used}
	account.Donated = p.releaseSurplus(now)
	account.Need, account.Waiting = p.waitingTokens()
	account.Ahead = p.prefetch(now)
	for _, held := range p.Grants {
		if held.Epoch == epoch && held.use() != held.Sent {
			held.Sent = held.use()
			account.Grants = append(account.Grants, held.Sent)
		}
	}
	dequeues := p.Queued && account.Waiting == 0
	p.Refunds, p.Overdrawn, p.Queued = nil, 0, account.Need > 0
	wanted := dequeues || p.Used != p.UsedSent || account.Waiting+account.Ahead+account.Donated+account.Overdrawn > 0
	if !wanted && len(account.Grants)+len(account.Refunds) == 0 {
		return Account{}, false
	}
	p.UsedSent = p.Used
	return account, true
}

// markAcked records that the owner has processed the last exchange.
func (p *Pool) markAcked() {
	p.UsedAcked = p.UsedSent
	for _, held := range p.Grants {
		held.Acked = held.Sent
	}
}

// markUnacked records that the owner may not have processed the last exchange.
// Grant usage and the count of used tokens are cumulative and are sent again.
// Refunds, donations and overdrafts are not sent again, since they must not
// count twice.
func (p *Pool) markUnacked() {
	p.UsedSent = p.UsedAcked
	for _, held := range p.Grants {
		held.Sent = held.Acked
	}
}

// addGrant adds a grant from the owner. Its lifetime starts when the exchange
// that requested it was sent.
func (p *Pool) addGrant(now time.Time, l *Link, grant Grant) {
	if grant.RetryAfter > 0 {
		p.RetryAt = now.Add(grant.RetryAfter)
	}
	if grant.Tokens <= 0 {
		return
	}
	held := &HeldGrant{
		Sequence: l.Sequence,
		Epoch:    l.Epoch,
		Stamp:    l.Stamp,
		Expires:  l.SentAt.Add(holderGrantLifetime),
		Tokens:   grant.Tokens,
		Free:     grant.Tokens,
	}
	held.Sent, held.Acked = held.use(), held.use()
	p.Grants = append(p.Grants, held)
}

// standingRefillTime estimates when the standing share will cover the first
// waiter or, if the owner is unreachable, the first waiter that it can cover.
func (p *Pool) standingRefillTime(now time.Time, reachable bool) (time.Time, bool) {
	if p.Standing == nil || p.Standing.Rate <= 0 {
		return time.Time{}, false
	}
	for _, w := range p.Waiting {
		if p.standingCovers(w) {
			lacking := p.missing(w.Reservation) - p.available()
			return now.Add(max(time.Millisecond, seconds(lacking/p.Standing.Rate))), true
		}
		if reachable {
			break
		}
	}
	return time.Time{}, false
}

// resetUsed restarts the count of used tokens for a new owner. The count starts
// with the tokens that the previous owner has not acknowledged.
func (p *Pool) resetUsed() {
	p.Used -= p.UsedAcked
	p.UsedSent, p.UsedAcked = 0, 0
}
