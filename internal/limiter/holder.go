package limiter

import (
	"maps"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// DefaultMaxWait is the longest wait for tokens before a refusal, unless
	// the message sets a longer one.
	DefaultMaxWait = 2 * time.Second
	// maxWaiters is the largest number of waiting requests of a workspace at
	// one node.
	maxWaiters = 1000
)

// Holder reserves tokens for the requests of one node: first from the node's
// standing share, then from grants of the owner.
type Holder struct {
	// Node and Session identify this run of the node to the owner.
	Node      string
	Session   uint64
	SlotCount int
	Owner     OwnerChanged
	// Standing reports whether the node has a standing share.
	Standing bool
	// Pools maps workspace names to their pools; Names contains the names,
	// sorted.
	Pools        map[string]*Pool
	Names        []string
	Reservations map[uint64]*Reservation
	LastID       uint64
	// ReservationByCall maps a call to the reservation that its answer
	// granted. It contains only the latest call of each reservation.
	ReservationByCall map[runner.Call]uint64
	Link              Link
	// Origin is time 0 of the standing buckets.
	Origin time.Time
	// WakeAt is the time of the next tick. It is never later than the next
	// time at which an action is due.
	WakeAt time.Time
	// Attained contains the fleet-wide counts of used tokens that the owner
	// sent. PublishAt is the time at which they are next published; zero if
	// there are none.
	Attained  AttainedCounts
	PublishAt time.Time
}

// NewHolder returns a holder without limits and without an owner.
func NewHolder(node string, session uint64, slotCount int) *Holder {
	return &Holder{
		Node:              node,
		Session:           session,
		SlotCount:         max(1, slotCount),
		Pools:             map[string]*Pool{},
		Reservations:      map[uint64]*Reservation{},
		ReservationByCall: map[runner.Call]uint64{},
		Attained:          AttainedCounts{},
	}
}

// Wake implements runner.Controller.
func (h *Holder) Wake() time.Time { return h.WakeAt }

// scheduleTick requests a tick at or before a time.
func (h *Holder) scheduleTick(at time.Time) {
	if h.WakeAt.IsZero() || at.Before(h.WakeAt) {
		h.WakeAt = at
	}
}

// Step implements runner.Controller.
func (h *Holder) Step(now time.Time, message HolderMessage) []HolderEffect {
	if h.Origin.IsZero() {
		h.Origin = now
	}
	var effects []HolderEffect
	switch message := message.(type) {
	case ReserveRequested:
		effects = h.reserve(now, message)
	case ConfirmRequested:
		effects = h.confirm(now, message)
	case Settled:
		effects = h.settle(now, message)
	case Cancelled:
		effects = h.cancel(now, message.Call)
	case OwnerChanged:
		h.changeOwner(now, message)
	case WorkspacesChanged:
		effects = h.configure(now, message.Limits)
	case ExchangeCompleted:
		effects = h.completeExchange(now, message)
	case ExchangeFailed:
		if h.Link.InFlight && message.Sequence == h.Link.Sequence {
			h.failExchange(now)
		}
	case HolderTick:
		effects = h.tick(now)
	}
	effects = append(effects, h.publish(now)...)
	return h.send(now, effects)
}

// tick refreshes all pools.
func (h *Holder) tick(now time.Time) []HolderEffect {
	var effects []HolderEffect
	h.WakeAt = time.Time{}
	for _, name := range h.Names {
		effects = append(effects, h.refresh(now, h.Pools[name])...)
	}
	return effects
}

// refresh brings a pool up to date, answers the waiters that are covered or have
// timed out, and schedules the next tick and exchange.
func (h *Holder) refresh(now time.Time, p *Pool) []HolderEffect {
	p.advance(now, h.Origin)
	effects := h.serve(now, p)
	if len(p.Waiting) > 0 && !now.Before(p.NextTimeout) {
		effects = append(effects, h.expire(now, p)...)
		effects = append(effects, h.serve(now, p)...)
	}
	h.schedule(now, p)
	return effects
}

// serve grants reservations to waiters in queue order. A waiter that cannot be
// covered blocks those behind it, so that it is not starved, unless it needs
// tokens from the owner and the owner is unreachable.
func (h *Holder) serve(now time.Time, p *Pool) []HolderEffect {
	var effects []HolderEffect
	for i := 0; i < len(p.Waiting); {
		w := p.Waiting[i]
		if p.tryReserve(now, w) {
			p.Waiting = slices.Delete(p.Waiting, i, i+1)
			effects = append(effects, h.grant(w))
			continue
		}
		if h.reachable() || p.standingCovers(w) {
			break
		}
		i++
	}
	return effects
}

// expire refuses the waiters that have timed out.
func (h *Holder) expire(now time.Time, p *Pool) []HolderEffect {
	var waiting, expired []*Waiter
	for _, w := range p.Waiting {
		if now.Before(w.TimeoutAt) {
			waiting = append(waiting, w)
		} else {
			expired = append(expired, w)
		}
	}
	p.Waiting = waiting
	p.updateNextTimeout()
	var effects []HolderEffect
	for _, w := range expired {
		effects = append(effects, h.refuse(now, p, w))
	}
	return effects
}

func (h *Holder) reserve(now time.Time, message ReserveRequested) []HolderEffect {
	p := h.Pools[message.Workspace]
	if p == nil {
		return []HolderEffect{Refused{Call: message.Call, Reason: NoWorkspace, RetryAfter: time.Second}}
	}
	p.advance(now, h.Origin)
	if largest := p.largestReservation(); message.Tokens > largest {
		return []HolderEffect{Refused{Call: message.Call, Reason: TooLarge, Largest: largest}}
	}
	p.Demand.add(now, message.Tokens)
	p.enqueue(&Waiter{
		Call:        message.Call,
		TimeoutAt:   earlier(message.Deadline, now.Add(max(DefaultMaxWait, message.MaxWait))),
		Reservation: &Reservation{Workspace: message.Workspace, Tokens: message.Tokens},
	})
	return append(h.shed(now, p), h.refresh(now, p)...)
}

// shed refuses the last waiter in the queue when more than maxWaiters wait.
func (h *Holder) shed(now time.Time, p *Pool) []HolderEffect {
	if len(p.Waiting) <= maxWaiters {
		return nil
	}
	last := p.Waiting[len(p.Waiting)-1]
	if last.Confirming {
		h.endReservation(now, p, last.Reservation, 0)
	}
	p.Waiting = p.Waiting[:maxWaiters]
	return []HolderEffect{Refused{Call: last.Call, Reason: QueueFull, RetryAfter: p.retryAfter(last.Reservation.Tokens)}}
}

// confirm spends a reservation's tokens. Tokens that have expired are reserved
// again, with priority over requests that have no reservation yet.
func (h *Holder) confirm(now time.Time, message ConfirmRequested) []HolderEffect {
	r := h.Reservations[message.ID]
	if r == nil || r.Confirmed || h.Pools[r.Workspace] == nil {
		return []HolderEffect{Refused{Call: message.Call, Reason: NoReservation, RetryAfter: time.Second}}
	}
	p := h.Pools[r.Workspace]
	p.advance(now, h.Origin)
	w := &Waiter{
		Call:        message.Call,
		TimeoutAt:   earlier(message.Deadline, now.Add(max(DefaultMaxWait, message.MaxWait))),
		Reservation: r,
		Confirming:  true,
	}
	if p.missing(r) <= tokenEpsilon {
		effects := []HolderEffect{h.grant(w)}
		h.schedule(now, p)
		return effects
	}
	p.enqueue(w)
	return h.refresh(now, p)
}

// grant answers a waiter whose reservation is covered. A confirmation spends the
// tokens.
func (h *Holder) grant(w *Waiter) HolderEffect {
	r := w.Reservation
	if r.ID == 0 {
		h.LastID++
		r.ID = h.LastID
		h.Reservations[r.ID] = r
	}
	delete(h.ReservationByCall, r.Call)
	r.Call = w.Call
	h.ReservationByCall[r.Call] = r.ID
	if w.Confirming {
		h.spend(r)
	}
	return Reserved{Call: w.Call, ID: r.ID}
}

func (h *Holder) refuse(now time.Time, p *Pool, w *Waiter) HolderEffect {
	h.endReservation(now, p, w.Reservation, 0)
	return Refused{Call: w.Call, Reason: NoTokens, RetryAfter: p.retryAfter(w.Reservation.Tokens)}
}

// configure applies new limits and refuses the waiters of workspaces that have
// been removed.
func (h *Holder) configure(now time.Time, limits []Limit) []HolderEffect {
	var effects []HolderEffect
	kept := map[string]*Pool{}
	h.Names = nil
	for _, limit := range limits {
		p := h.Pools[limit.Workspace]
		if p == nil {
			p = &Pool{}
		}
		p.Limit = limit
		p.Slots = h.SlotCount
		kept[limit.Workspace] = p
		h.Names = append(h.Names, limit.Workspace)
	}
	slices.Sort(h.Names)
	for _, name := range slices.Sorted(maps.Keys(h.Pools)) {
		if kept[name] == nil {
			for _, w := range h.Pools[name].Waiting {
				effects = append(effects, Refused{Call: w.Call, Reason: NoWorkspace, RetryAfter: time.Second})
			}
		}
	}
	h.Pools = kept
	for _, name := range h.Names {
		h.Pools[name].updateStanding(now, h.Origin, h.Standing)
	}
	return append(effects, h.tick(now)...)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// seconds converts a number of seconds to a duration of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
