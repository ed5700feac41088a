package placer

import (
	"fmt"
	"time"
)

func (p *Placer) leaseHeld(now time.Time, lease LeaseHeld) {
	if lease.Epoch < p.Epoch {
		return
	}
	p.Until = lease.Until
	if lease.Epoch == p.Epoch && p.Phase != Idle {
		return
	}
	if lease.Epoch > p.Epoch {
		p.Epoch, p.Sequence = lease.Epoch, 0
	}
	p.forget()
	p.Phase, p.RetryAt = Unread, now
	p.Published = false
}

// forget drops everything that belongs to decided state that is read again.
func (p *Placer) forget() {
	p.Orders = nil
	p.Outbox = map[string][]Order{}
	p.InFlight = map[string]uint64{}
	p.Records = map[Place]*Record{}
	p.Claims = map[Key]Claim{}
}

func (p *Placer) leaseLost() {
	p.Until = time.Time{}
	p.Phase = Idle
	p.Ticket++
	p.forget()
	p.Published = false
}

// objectRead adopts the decided state. What was decided before may have been
// ordered by anyone up to now.
func (p *Placer) objectRead(now time.Time, read ObjectRead) {
	if p.Phase != Reading || read.Ticket != p.Ticket {
		return
	}
	if read.Placement.Epoch > p.Epoch {
		p.trouble(now, "", Key{}, fmt.Sprintf("the object has epoch %d, this holder has %d", read.Placement.Epoch, p.Epoch))
		p.leaseLost()
		return
	}
	p.Version, p.Decided = read.Version, read.Placement
	if p.Decided.Endpoints == nil {
		p.Decided.Endpoints = map[string]EndpointPlacement{}
	}
	p.Adopted = now
	p.forget()
	p.Phase, p.PlanAt = Ready, now
	p.Published = false
}

func (p *Placer) readFailed(now time.Time, failed ReadFailed) {
	if p.Phase != Reading || failed.Ticket != p.Ticket {
		return
	}
	p.Phase, p.RetryAt = Unread, now.Add(retryInterval)
	p.trouble(now, "", Key{}, "read of the decided state failed: "+failed.Detail)
}

// objectWritten releases the orders that waited for the write. If the lease
// ended meanwhile they are dropped: the entries stay, and whoever holds the
// lease next gives them new fences.
func (p *Placer) objectWritten(now time.Time, written ObjectWritten) {
	if p.Phase != Writing || written.Ticket != p.Ticket {
		return
	}
	p.Version, p.Decided = written.Version, p.Next
	orders := p.Orders
	p.Orders, p.Next = nil, Placement{}
	p.Phase, p.Published = Ready, false
	if !p.valid(now) {
		return
	}
	for _, order := range orders {
		p.Outbox[order.Endpoint] = append(p.Outbox[order.Endpoint], order)
	}
}

func (p *Placer) writeFailed(now time.Time, failed WriteFailed) {
	if failed.Conflict {
		p.reread(now, failed.Ticket, "another holder wrote the decided state")
		return
	}
	if p.Phase != Writing || failed.Ticket != p.Ticket {
		return
	}
	p.Phase, p.RetryAt = Ready, now.Add(retryInterval)
	p.Orders, p.Next = nil, Placement{}
	p.trouble(now, "", Key{}, "write of the decided state failed: "+failed.Detail)
}

// reread drops the pending decisions and reads the object again: the write
// may have taken effect or not, and its orders must not go out on a guess.
func (p *Placer) reread(now time.Time, ticket uint64, detail string) {
	if p.Phase != Writing || ticket != p.Ticket {
		return
	}
	p.Phase, p.RetryAt = Unread, now
	p.Orders, p.Next = nil, Placement{}
	p.trouble(now, "", Key{}, "decided state is read again: "+detail)
}
