package limiter

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Reservation is a number of tokens reserved for a request.
type Reservation struct {
	ID        uint64
	Call      runner.Call
	Workspace string
	Tokens    float64
	Confirmed bool
	// Unreported reports that no exchange since the confirmation has reported
	// the spending to the owner.
	Unreported bool
	Parts      []Part
}

// Part is the part of a reservation that comes from one source: a grant or a
// standing share.
type Part struct {
	Grant    *HeldGrant
	Standing *Bucket
	Tokens   float64
	// Since is the latest time at which the tokens were certainly still
	// outstanding, on the clock of the source, that is of the owner or of the
	// standing bucket. It is negative if unknown. A refund dates from it.
	Since time.Duration
}

// spend marks a reservation as confirmed and its tokens as spent.
func (h *Holder) spend(r *Reservation) {
	r.Confirmed, r.Unreported = true, true
	for i := range r.Parts {
		part := &r.Parts[i]
		if part.Standing != nil {
			part.Standing.spend(part.Tokens)
			part.Since = part.Standing.Mark
			continue
		}
		part.Grant.Spent += part.Tokens
		part.Since = h.Link.stamp(part.Grant.Epoch)
	}
	h.Link.Unreported = append(h.Link.Unreported, r)
}

func (h *Holder) settle(now time.Time, message Settled) []HolderEffect {
	r := h.Reservations[message.ID]
	if r == nil {
		return nil
	}
	p := h.Pools[r.Workspace]
	if p == nil {
		h.removeReservation(r)
		return nil
	}
	p.advance(now, h.Origin)
	p.Used += max(0, message.Used)
	if message.Used > 0 && !r.Confirmed {
		p.dropExpired(r)
		h.spend(r)
	}
	h.endReservation(now, p, r, message.Used)
	return h.refresh(now, p)
}

// endReservation removes a reservation and gives back its unused tokens. It has no
// effect on a reservation that was never granted or has already been removed.
func (h *Holder) endReservation(now time.Time, p *Pool, r *Reservation, used float64) {
	if h.Reservations[r.ID] != r {
		return
	}
	h.removeReservation(r)
	p.Waiting = slices.DeleteFunc(p.Waiting, func(w *Waiter) bool { return w.Reservation == r })
	if !r.Confirmed {
		p.release(r)
		return
	}
	unused := -used
	for _, part := range r.Parts {
		unused += part.Tokens
	}
	p.Overdrawn += max(0, -unused)
	for _, part := range r.Parts {
		tokens := min(unused, part.Tokens)
		unused -= tokens
		h.refund(now, p, r, part, tokens)
	}
}

// refund gives unused tokens back to their source. Tokens whose spending has not
// been reported go back to their grant: the owner has counted them as outstanding
// all the time, so they have stayed within its burst.
func (h *Holder) refund(now time.Time, p *Pool, r *Reservation, part Part, tokens float64) {
	switch {
	case tokens <= 0:
	case part.Standing != nil:
		if part.Standing == p.Standing {
			part.Standing.refund(part.Since, tokens)
		}
	case r.Unreported:
		part.Grant.refund(now, tokens)
	case part.Since >= 0 && part.Grant.Epoch == h.Owner.Epoch:
		p.addRefund(Refund{Since: part.Since, Tokens: tokens})
	}
}

func (h *Holder) removeReservation(r *Reservation) {
	delete(h.Reservations, r.ID)
	delete(h.ReservationByCall, r.Call)
}

func (h *Holder) cancel(now time.Time, call runner.Call) []HolderEffect {
	if id, ok := h.ReservationByCall[call]; ok {
		return h.settle(now, Settled{ID: id})
	}
	for _, name := range h.Names {
		p := h.Pools[name]
		for i, w := range p.Waiting {
			if w.Call != call {
				continue
			}
			p.Waiting = slices.Delete(p.Waiting, i, i+1)
			h.endReservation(now, p, w.Reservation, 0)
			return h.refresh(now, p)
		}
	}
	return nil
}
