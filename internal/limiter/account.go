package limiter

import "time"

// reports says whether the pool has something to tell the owner.
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

// account returns the pool's part of an exchange.
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

// known notes that the owner has handled the last exchange.
func (p *Pool) markAcked() {
	p.UsedAcked = p.UsedSent
	for _, held := range p.Grants {
		held.Acked = held.Sent
	}
}

// unknown notes that the owner may not have handled the last exchange. What
// became of grants and how much was used is told again; refunds, donations and overdrafts are not,
// since they must not count twice.
func (p *Pool) markUnacked() {
	p.UsedSent = p.UsedAcked
	for _, held := range p.Grants {
		held.Sent = held.Acked
	}
}

// receive takes a grant. Its life counts from before the holder asked.
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

// refilled estimates when the standing share covers the first waiter, or the
// first that it can cover if the owner is out of reach.
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

// turn starts the count of used tokens for a new owner with those that the
// former one was not told of.
func (p *Pool) resetUsed() {
	p.Used -= p.UsedAcked
	p.UsedSent, p.UsedAcked = 0, 0
}
