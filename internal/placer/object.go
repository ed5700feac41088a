package placer

import (
	"fmt"
	"time"
)

func (p *Placer) handleLeaseHeld(now time.Time, lease LeaseHeld) {
	if lease.Epoch < p.Epoch {
		return
	}
	p.LeaseUntil = lease.Until
	if lease.Epoch == p.Epoch && p.Phase != Idle {
		return
	}
	if lease.Epoch > p.Epoch {
		p.Epoch, p.Sequence = lease.Epoch, 0
	}
	p.resetTransientState()
	p.Phase, p.RetryAt = Unread, now
	p.Published = false
}

// resetTransientState drops everything that depends on a decided state that is
// replaced by reading the object again.
func (p *Placer) resetTransientState() {
	p.PendingOrders = nil
	p.Outbox = map[string][]Order{}
	p.InFlight = map[string]uint64{}
	p.Records = map[EntryID]*EntryRecord{}
	p.Claims = map[Key]Claim{}
}

func (p *Placer) stepDown() {
	p.LeaseUntil = time.Time{}
	p.Phase = Idle
	p.Ticket++
	p.resetTransientState()
	p.Published = false
}

// handleObjectRead adopts the decided state that was read. Any earlier holder
// may have sent orders for its entries up to now.
func (p *Placer) handleObjectRead(now time.Time, read ObjectRead) {
	if p.Phase != Reading || read.Ticket != p.Ticket {
		return
	}
	if read.Placement.Epoch > p.Epoch {
		p.addWarning(now, "", Key{}, fmt.Sprintf("the stored placement has epoch %d, newer than epoch %d of this holder", read.Placement.Epoch, p.Epoch))
		p.stepDown()
		return
	}
	p.Lost = p.isLost(read)
	if !p.Lost {
		p.Decided = read.Placement
	}
	p.Version, p.Era = read.Version, read.Era
	if p.Decided.Endpoints == nil {
		p.Decided.Endpoints = map[string]EndpointPlacement{}
	}
	p.AdoptedAt = now
	p.resetTransientState()
	p.Phase, p.PlanAt = Ready, now
	p.Published = false
}

// isLost reports whether the object API, restored from an older copy, lacks decisions
// that this node has written. Orders were sent for them.
func (p *Placer) isLost(read ObjectRead) bool {
	if len(p.Decided.Endpoints) == 0 {
		return false
	}
	return p.Decided.Epoch > read.Placement.Epoch || p.Decided.Epoch == read.Placement.Epoch && read.Era > p.Era
}

func (p *Placer) handleReadFailed(now time.Time, failed ReadFailed) {
	if p.Phase != Reading || failed.Ticket != p.Ticket {
		return
	}
	p.Phase, p.RetryAt = Unread, now.Add(retryInterval)
	p.addWarning(now, "", Key{}, "read of the decided state failed: "+failed.Detail)
}

// handleObjectWritten queues the orders that waited for the write. If the
// lease has expired meanwhile, the orders are dropped: their entries stay, and
// the next holder of the lease gives them new fences.
func (p *Placer) handleObjectWritten(now time.Time, written ObjectWritten) {
	if p.Phase != Writing || written.Ticket != p.Ticket {
		return
	}
	p.Version, p.Era, p.Decided, p.Lost = written.Version, written.Era, p.PendingPlacement, false
	orders := p.PendingOrders
	p.PendingOrders, p.PendingPlacement = nil, Placement{}
	p.Phase, p.Published = Ready, false
	if !p.leaseValid(now) {
		return
	}
	for _, order := range orders {
		p.Outbox[order.Endpoint] = append(p.Outbox[order.Endpoint], order)
	}
}

func (p *Placer) handleWriteFailed(now time.Time, failed WriteFailed) {
	if failed.Conflict {
		p.reloadObject(now, failed.Ticket, "another holder wrote the decided state")
		return
	}
	if p.Phase != Writing || failed.Ticket != p.Ticket {
		return
	}
	p.Phase, p.RetryAt = Ready, now.Add(retryInterval)
	p.PendingOrders, p.PendingPlacement = nil, Placement{}
	p.addWarning(now, "", Key{}, "write of the decided state failed: "+failed.Detail)
}

// reloadObject drops the pending decisions and reads the object again. Whether
// the write took effect is unknown or another holder has written, so its
// orders must not be sent.
func (p *Placer) reloadObject(now time.Time, ticket uint64, detail string) {
	if p.Phase != Writing || ticket != p.Ticket {
		return
	}
	p.Phase, p.RetryAt = Unread, now
	p.PendingOrders, p.PendingPlacement = nil, Placement{}
	p.addWarning(now, "", Key{}, "reading the decided state again: "+detail)
}
