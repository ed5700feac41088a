package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Owner grants the tokens of all workspaces while its node holds the lease.
//
// For each workspace, Level + Outstanding <= Burst holds at all times, where Burst
// is the owner's share of the workspace's burst.
type Owner struct {
	// SlotCount is the number of standing shares, the same at all nodes.
	SlotCount int
	Epoch     uint64
	// EpochStart is the time at which this node acquired the lease.
	EpochStart time.Time
	// LeaseUntil is the time at which the lease expires. Nothing is granted at
	// or after it.
	LeaseUntil time.Time
	// HandedOver reports that the balances were handed over to the next owner.
	HandedOver bool
	// Stamp is the time of the last exchange, relative to EpochStart. Each
	// exchange increases it by at least two nanoseconds, one for the state
	// before and one for the state after the exchange.
	Stamp   time.Duration
	Limits  []Limit
	Ledgers map[string]*Ledger
	// WithdrawnAt maps workspaces to the time, relative to EpochStart, at which
	// they were last withdrawn in this epoch. The entries are kept until the
	// epoch ends, because they limit the level of a new ledger.
	WithdrawnAt map[string]time.Duration
	Peers       map[string]*Peer
	Slots       SlotTable
	// Attained contains the fleet-wide counts of used tokens. While another
	// node is the owner, it is a copy of the counts that this node's holder
	// received.
	Attained AttainedCounts
}

// NewOwner returns an owner without a lease.
func NewOwner(slotCount int) *Owner {
	return &Owner{
		SlotCount:   max(1, slotCount),
		Ledgers:     map[string]*Ledger{},
		WithdrawnAt: map[string]time.Duration{},
		Peers:       map[string]*Peer{},
		Attained:    AttainedCounts{},
	}
}

// Wake implements runner.Controller. An owner needs no ticks: each exchange first
// brings the state that it uses up to date.
func (o *Owner) Wake() time.Time { return time.Time{} }

// Step implements runner.Controller.
func (o *Owner) Step(now time.Time, message OwnerMessage) []OwnerEffect {
	switch message := message.(type) {
	case LeaseHeld:
		return o.acquireLease(now, message)
	case LeaseLost:
		o.LeaseUntil = time.Time{}
	case LeaseDataStored:
		if message.Epoch == o.Epoch {
			o.Slots.markStored(message.Revision)
		}
	case WorkspacesChanged:
		o.configure(now, message.Limits)
	case InstancesListed:
		return o.updateInstances(now, message.Names)
	case ExchangeReceived:
		return o.handleExchange(now, message)
	case AttainedReceived:
		o.receiveAttained(now, message.Counts)
	case HandoverRequested:
		return []OwnerEffect{HandedOver{Call: message.Call, Data: o.handOver(now)}}
	case StateRequested:
		return []OwnerEffect{StateReported{Call: message.Call, State: o.state(now)}}
	}
	return nil
}

// handleExchange processes an exchange and answers it, with a refusal if it has no
// effect.
func (o *Owner) handleExchange(now time.Time, message ExchangeReceived) []OwnerEffect {
	answer, effects := o.exchange(now, message.Exchange)
	return append(effects, ExchangeAnswered{Call: message.Call, Answer: answer})
}

// canGrant reports whether this node may grant tokens.
func (o *Owner) canGrant(now time.Time) bool {
	return now.Before(o.LeaseUntil) && !o.HandedOver
}

// acquireLease starts a new epoch or extends the lease of the present one.
func (o *Owner) acquireLease(now time.Time, message LeaseHeld) []OwnerEffect {
	if message.Epoch < o.Epoch {
		return nil
	}
	if message.Epoch == o.Epoch {
		o.LeaseUntil = message.Until
		return nil
	}
	o.Epoch, o.EpochStart, o.LeaseUntil, o.HandedOver, o.Stamp = message.Epoch, now, message.Until, false, 0
	o.Peers = map[string]*Peer{}
	o.Slots = newSlotTable(now, o.SlotCount, message.Data.Slots, o.Slots)
	o.Ledgers = map[string]*Ledger{}
	o.WithdrawnAt = map[string]time.Duration{}
	for _, limit := range o.Limits {
		rate, burst := o.ownShare(limit)
		o.Ledgers[limit.Workspace] = o.newLedger(limit.Workspace, 0, rate, burst)
	}
	if message.Data.HandedOver && message.Data.Epoch+1 == message.Epoch {
		for _, balance := range message.Data.Balances {
			if ledger := o.Ledgers[balance.Workspace]; ledger != nil {
				ledger.restore(balance)
			}
		}
	}
	return []OwnerEffect{o.storeLeaseData()}
}

// ownShare returns the owner's share of the rate and burst of a workspace: all but
// the standing shares of the nodes that have or may have one.
func (o *Owner) ownShare(limit Limit) (rate, burst float64) {
	rate, burst = limit.share(o.Slots.takenCount(), o.SlotCount)
	return limit.Rate - rate, limit.Burst - burst
}

// configure applies new limits immediately.
func (o *Owner) configure(now time.Time, limits []Limit) {
	o.Limits = slices.Clone(limits)
	slices.SortFunc(o.Limits, func(a, b Limit) int { return cmp.Compare(a.Workspace, b.Workspace) })
	kept := map[string]*Ledger{}
	elapsed := now.Sub(o.EpochStart)
	for _, limit := range o.Limits {
		rate, burst := o.ownShare(limit)
		ledger := o.Ledgers[limit.Workspace]
		if ledger == nil {
			ledger = o.newLedger(limit.Workspace, elapsed, rate, burst)
		}
		ledger.advance(elapsed)
		ledger.resize(rate, burst)
		kept[limit.Workspace] = ledger
	}
	for name := range o.Ledgers {
		if kept[name] == nil {
			o.WithdrawnAt[name] = elapsed
			delete(o.Attained, name)
		}
	}
	o.Ledgers = kept
}

// newLedger returns the ledger of a workspace that has none in this epoch, with
// the highest level that is safe. In the first epoch there are no earlier grants,
// so the bucket is full. Otherwise an earlier owner, or this one before the
// workspace was withdrawn, may have granted the whole burst: only the refill since
// the last of those grants expired is certainly available.
func (o *Owner) newLedger(workspace string, elapsed time.Duration, rate, burst float64) *Ledger {
	ledger := newLedger(elapsed, rate, burst)
	withdrawnAt, withdrawn := o.WithdrawnAt[workspace]
	refillTime := elapsed - withdrawnAt - GrantLifetime
	switch {
	case o.Epoch == 1 && !withdrawn:
		ledger.restore(Balance{Level: burst})
	case o.Epoch > 0 && refillTime > 0:
		ledger.restore(Balance{Level: rate * refillTime.Seconds()})
	}
	return ledger
}

// handOver stops granting in this epoch and returns the data for the next owner.
// The data contains balances only if this node could grant tokens until now.
func (o *Owner) handOver(now time.Time) LeaseData {
	data := LeaseData{Epoch: o.Epoch, Revision: o.Slots.Revision, Slots: o.Slots.names()}
	if !o.canGrant(now) {
		return data
	}
	o.HandedOver = true
	data.HandedOver = true
	data.Balances = o.balances(now)
	return data
}

func (o *Owner) balances(now time.Time) []Balance {
	var balances []Balance
	for _, limit := range o.Limits {
		ledger := o.Ledgers[limit.Workspace]
		ledger.advance(now.Sub(o.EpochStart))
		balances = append(balances, Balance{
			Workspace:   limit.Workspace,
			Level:       ledger.Level,
			Outstanding: ledger.Outstanding,
		})
	}
	return balances
}

func (o *Owner) state(now time.Time) OwnerState {
	state := OwnerState{Epoch: o.Epoch, Grants: o.canGrant(now), Slots: o.Slots.names()}
	if state.Grants {
		state.Balances, state.Short = o.balances(now), o.shortWorkspaces(now)
	}
	return state
}

func (o *Owner) storeLeaseData() OwnerEffect {
	return StoreLeaseData{Data: LeaseData{Epoch: o.Epoch, Revision: o.Slots.Revision, Slots: o.Slots.names()}}
}
