package limiter

import (
	"slices"
	"time"
)

const (
	// minGap is the time between two exchanges of one holder when requests
	// wait for tokens, so that requests that come together share one.
	minGap = 10 * time.Millisecond
	// reportGap is the time between two exchanges that only report.
	reportGap = 100 * time.Millisecond
	// pollGap is how often a holder that has tokens asks whether a workspace
	// is short elsewhere.
	pollGap = 250 * time.Millisecond
	// idleGap is how often any other holder shows that it exists, so that it
	// can get a standing share.
	idleGap = 5 * time.Second
	// minHoldOff and maxHoldOff bound the pause after a failed exchange.
	minHoldOff = 50 * time.Millisecond
	maxHoldOff = time.Second
)

// Link is the state of a holder's exchanges with the owner.
type Link struct {
	// Busy says that the exchange with the number Sequence is under way.
	Busy     bool
	Sequence uint64
	SentAt   time.Time
	// Received is the last exchange whose answer was used.
	Received uint64
	// Stamp and Epoch are those of the last answer.
	Stamp time.Duration
	Epoch uint64
	// Fails counts the failures since the last answer; HoldOff is when the
	// next exchange may be sent.
	Fails   int
	HoldOff time.Time
	// DueAt is when the next exchange is wanted; zero if none is.
	DueAt time.Time
	// Unreported are the reservations that were confirmed since the last
	// exchange was sent, Reporting those confirmed since the one before.
	Unreported []*Reservation
	Reporting  []*Reservation
}

// stamp returns a time of the owner of an epoch that has passed, or a negative
// one if none is known.
func (l *Link) stamp(epoch uint64) time.Duration {
	if l.Epoch != epoch {
		return -1
	}
	return l.Stamp
}

// due asks for an exchange at a time.
func (l *Link) due(at time.Time) {
	if l.DueAt.IsZero() || at.Before(l.DueAt) {
		l.DueAt = at
	}
}

// fail notes that the exchange under way came to nothing.
func (l *Link) fail(now time.Time) {
	l.Busy = false
	l.Reporting = nil
	l.HoldOff = now.Add(min(minHoldOff<<min(l.Fails, 10), maxHoldOff))
	l.Fails++
	l.due(l.HoldOff)
}

// next returns when the next exchange may be sent.
func (l *Link) next() time.Time {
	at := l.DueAt
	if gap := l.SentAt.Add(minGap); gap.After(at) {
		at = gap
	}
	if l.HoldOff.After(at) {
		at = l.HoldOff
	}
	return at
}

// reachable says whether the owner answered the last exchange.
func (h *Holder) reachable() bool {
	return h.Owner.Epoch > 0 && h.Link.Fails == 0
}

// plan asks for the next tick and the next exchange that a pool needs.
func (h *Holder) plan(now time.Time, p *Pool) {
	if len(p.Waiting) > 0 {
		h.wake(p.TimeoutAt)
		if at, ok := p.refilled(now, h.reachable()); ok {
			h.wake(at)
		}
	}
	for _, held := range p.Held {
		if !held.Closed {
			h.wake(held.Expires)
		}
	}
	switch {
	case len(p.Waiting) > 0 && p.RetryAt.After(now):
		h.Link.due(p.RetryAt)
	case len(p.Waiting) > 0:
		h.Link.due(now)
	case p.reports(now, h.Owner.Epoch):
		h.Link.due(h.Link.SentAt.Add(reportGap))
	case p.Standing != nil || p.free() > 0:
		h.Link.due(h.Link.SentAt.Add(pollGap))
	case p.Used != p.UsedSent:
		h.Link.due(h.Link.SentAt.Add(attainedGap))
	}
}

// send adds an exchange to the effects if one is due and none is under way.
func (h *Holder) send(now time.Time, effects []HolderEffect) []HolderEffect {
	l := &h.Link
	if l.Busy || l.DueAt.IsZero() || h.Owner.Epoch == 0 {
		return effects
	}
	if at := l.next(); now.Before(at) {
		h.wake(at)
		return effects
	}
	l.Busy = true
	l.Sequence++
	l.SentAt = now
	l.DueAt = now.Add(idleGap)
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

// returned uses the answer to the exchange under way. Any other answer is late
// or a repetition: the owner was told that it would not be used.
func (h *Holder) returned(now time.Time, message ExchangeReturned) []HolderEffect {
	l := &h.Link
	if !l.Busy || message.Sequence != l.Sequence {
		return nil
	}
	answer := message.Answer
	if answer.Refused && answer.Session > h.Session {
		h.Session = answer.Session + 1
	}
	if answer.Refused || answer.Epoch != h.Owner.Epoch {
		h.fail(now)
		return nil
	}
	l.Busy, l.Fails, l.HoldOff, l.Received = false, 0, time.Time{}, l.Sequence
	l.Stamp, l.Epoch = answer.Stamp, answer.Epoch
	h.date(answer)
	h.attained(now, answer.Attained)
	h.changeStanding(now, answer.Standing)
	for _, name := range h.Names {
		p := h.Pools[name]
		p.known()
		p.Short = slices.Contains(answer.Short, name)
		p.RetryAt = time.Time{}
	}
	for _, grant := range answer.Grants {
		if p := h.Pools[grant.Workspace]; p != nil {
			p.receive(now, l, grant)
		}
	}
	return h.tick(now)
}

// fail plans the repetition of an exchange that came to nothing.
func (h *Holder) fail(now time.Time) {
	h.Link.fail(now)
	for _, name := range h.Names {
		h.Pools[name].unknown()
	}
}

// date notes when the owner learned of the spending that the answered exchange
// reported. Tokens of a grant that had ended by then were outstanding until
// its end.
func (h *Holder) date(answer Answer) {
	for _, r := range h.Link.Reporting {
		for i := range r.Parts {
			part := &r.Parts[i]
			if part.Held != nil && part.Held.Epoch == answer.Epoch {
				part.Since = min(answer.Stamp, part.Held.Stamp+GrantLifetime)
			}
		}
	}
	h.Link.Reporting = nil
}

func (h *Holder) changeStanding(now time.Time, standing Standing) {
	held := h.Standing
	switch standing {
	case StandingHeld:
		held = true
	case StandingNone:
		held = false
	case StandingKept:
	}
	if held == h.Standing {
		return
	}
	h.Standing = held
	for _, name := range h.Names {
		h.Pools[name].resize(now, h.Origin, held)
	}
}

// changeOwner turns to the owner of a later epoch. Grants of earlier epochs
// stay usable: the new owner waits for their end.
func (h *Holder) changeOwner(now time.Time, owner OwnerChanged) {
	if owner.Epoch <= h.Owner.Epoch {
		return
	}
	h.Owner = owner
	h.Link.Busy, h.Link.Fails, h.Link.HoldOff, h.Link.Reporting = false, 0, time.Time{}, nil
	h.Link.due(now)
	for _, name := range h.Names {
		p := h.Pools[name]
		p.Refunds, p.RetryAt, p.Short, p.Pledged = nil, time.Time{}, false, false
		p.turn()
	}
}
