package limiter

import (
	"slices"
	"time"
)

const (
	// minExchangeInterval is the shortest time between two exchanges of one
	// holder. It lets requests that arrive together share an exchange.
	minExchangeInterval = 10 * time.Millisecond
	// reportInterval is the time between two exchanges that only report.
	reportInterval = 100 * time.Millisecond
	// pollInterval is the interval at which a holder that has tokens contacts
	// the owner, whose answer names the workspaces that are short at other
	// nodes.
	pollInterval = 250 * time.Millisecond
	// idleInterval is the interval at which any other holder contacts the
	// owner, so that it can get a standing share.
	idleInterval = 5 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff after failed
	// exchanges.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Link is the state of a holder's exchanges with the owner.
type Link struct {
	// InFlight reports that the exchange with the number Sequence is in
	// flight.
	InFlight bool
	Sequence uint64
	SentAt   time.Time
	// Received is the sequence of the last exchange whose answer was applied.
	Received uint64
	// Stamp and Epoch are those of the last answer.
	Stamp time.Duration
	Epoch uint64
	// Failures counts the failures since the last answer. BackoffUntil is the
	// time before which no exchange is sent.
	Failures     int
	BackoffUntil time.Time
	// DueAt is the time at which the next exchange is due; zero if none is.
	DueAt time.Time
	// Unreported contains the reservations that were confirmed since the last
	// exchange was sent. Reporting contains those that the exchange in flight
	// reports.
	Unreported []*Reservation
	Reporting  []*Reservation
}

// stamp returns the last known stamp of the owner of an epoch, which is a time
// that has passed on its clock, or -1 if none is known.
func (l *Link) stamp(epoch uint64) time.Duration {
	if l.Epoch != epoch {
		return -1
	}
	return l.Stamp
}

// schedule requests an exchange at or before a time.
func (l *Link) schedule(at time.Time) {
	if l.DueAt.IsZero() || at.Before(l.DueAt) {
		l.DueAt = at
	}
}

// fail records that the exchange in flight failed and schedules the next one
// after the backoff.
func (l *Link) fail(now time.Time) {
	l.InFlight = false
	l.Reporting = nil
	l.BackoffUntil = now.Add(min(minBackoff<<min(l.Failures, 10), maxBackoff))
	l.Failures++
	l.schedule(l.BackoffUntil)
}

// nextSendTime returns the time at which the next exchange may be sent.
func (l *Link) nextSendTime() time.Time {
	at := l.DueAt
	if gap := l.SentAt.Add(minExchangeInterval); gap.After(at) {
		at = gap
	}
	if l.BackoffUntil.After(at) {
		at = l.BackoffUntil
	}
	return at
}

// reachable reports whether there is an owner and no exchange with it has failed
// since its last answer.
func (h *Holder) reachable() bool {
	return h.Owner.Epoch > 0 && h.Link.Failures == 0
}

// schedule schedules the next tick and the next exchange that a pool needs.
func (h *Holder) schedule(now time.Time, p *Pool) {
	if len(p.Waiting) > 0 {
		h.scheduleTick(p.NextTimeout)
		if at, ok := p.standingRefillTime(now, h.reachable()); ok {
			h.scheduleTick(at)
		}
	}
	for _, held := range p.Grants {
		if !held.Closed {
			h.scheduleTick(held.Expires)
		}
	}
	switch {
	case len(p.Waiting) > 0 && p.RetryAt.After(now):
		h.Link.schedule(p.RetryAt)
	case len(p.Waiting) > 0:
		h.Link.schedule(now)
	case p.needsReport(now, h.Owner.Epoch):
		h.Link.schedule(h.Link.SentAt.Add(reportInterval))
	case p.Standing != nil || p.available() > 0:
		h.Link.schedule(h.Link.SentAt.Add(pollInterval))
	case p.Used != p.UsedSent:
		h.Link.schedule(h.Link.SentAt.Add(attainedInterval))
	}
}

// send appends an exchange to the effects if one is due and none is in flight.
func (h *Holder) send(now time.Time, effects []HolderEffect) []HolderEffect {
	l := &h.Link
	if l.InFlight || l.DueAt.IsZero() || h.Owner.Epoch == 0 {
		return effects
	}
	if at := l.nextSendTime(); now.Before(at) {
		h.scheduleTick(at)
		return effects
	}
	l.InFlight = true
	l.Sequence++
	l.SentAt = now
	l.DueAt = now.Add(idleInterval)
	for _, r := range l.Unreported {
		r.Unreported = false
	}
	l.Reporting, l.Unreported = l.Unreported, nil
	exchange := Exchange{
		Holder:   h.Node,
		Session:  h.Session,
		Epoch:    h.Owner.Epoch,
		Sequence: l.Sequence,
		Received: l.Received,
	}
	for _, name := range h.Names {
		if account, ok := h.Pools[name].account(now, h.Owner.Epoch); ok {
			exchange.Accounts = append(exchange.Accounts, account)
		}
	}
	return append(effects, SendExchange{Address: h.Owner.Address, Exchange: exchange})
}

// completeExchange applies the answer to the exchange in flight. It ignores any
// other answer as late or duplicated: the field Received of later exchanges lets
// the owner revoke the grants of an answer that was not applied.
func (h *Holder) completeExchange(now time.Time, message ExchangeCompleted) []HolderEffect {
	l := &h.Link
	if !l.InFlight || message.Sequence != l.Sequence {
		return nil
	}
	answer := message.Answer
	if answer.Refused && answer.Session > h.Session {
		h.Session = answer.Session + 1
	}
	if answer.Refused || answer.Epoch != h.Owner.Epoch {
		h.failExchange(now)
		return nil
	}
	l.InFlight, l.Failures, l.BackoffUntil, l.Received = false, 0, time.Time{}, l.Sequence
	l.Stamp, l.Epoch = answer.Stamp, answer.Epoch
	h.recordReportTime(answer)
	h.updateAttained(now, answer.Attained)
	h.changeStanding(now, answer.Standing)
	for _, name := range h.Names {
		p := h.Pools[name]
		p.markAcked()
		p.Short = slices.Contains(answer.Short, name)
		p.RetryAt = time.Time{}
	}
	for _, grant := range answer.Grants {
		if p := h.Pools[grant.Workspace]; p != nil {
			p.addGrant(now, l, grant)
		}
	}
	return h.tick(now)
}

// failExchange records that the exchange in flight failed, so that the next one
// reports its usage again.
func (h *Holder) failExchange(now time.Time) {
	h.Link.fail(now)
	for _, name := range h.Names {
		h.Pools[name].markUnacked()
	}
}

// recordReportTime stores the time at which the owner processed the spending that
// the answered exchange reported. Tokens of a grant that had expired by then were
// outstanding until its expiry.
func (h *Holder) recordReportTime(answer Answer) {
	for _, r := range h.Link.Reporting {
		for i := range r.Parts {
			part := &r.Parts[i]
			if part.Grant != nil && part.Grant.Epoch == answer.Epoch {
				part.Since = min(answer.Stamp, part.Grant.Stamp+GrantLifetime)
			}
		}
	}
	h.Link.Reporting = nil
}

func (h *Holder) changeStanding(now time.Time, standing Standing) {
	hasShare := h.Standing
	switch standing {
	case StandingHeld:
		hasShare = true
	case StandingNone:
		hasShare = false
	case StandingKept:
	}
	if hasShare == h.Standing {
		return
	}
	h.Standing = hasShare
	for _, name := range h.Names {
		h.Pools[name].updateStanding(now, h.Origin, hasShare)
	}
}

// changeOwner switches to the owner of a later epoch. Grants of earlier epochs
// stay usable: the new owner counts them as outstanding until they expire.
func (h *Holder) changeOwner(now time.Time, owner OwnerChanged) {
	if owner.Epoch <= h.Owner.Epoch {
		return
	}
	h.Owner = owner
	h.Link.InFlight, h.Link.Failures, h.Link.BackoffUntil, h.Link.Reporting = false, 0, time.Time{}, nil
	h.Link.schedule(now)
	for _, name := range h.Names {
		p := h.Pools[name]
		p.Refunds, p.RetryAt, p.Short, p.Queued = nil, time.Time{}, false, false
		p.resetUsed()
	}
}
