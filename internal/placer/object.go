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
	p.Records = map[Place]*Record{}
	p.Claims = map[Key]Claim{}
	p.Phase, p.RetryAt = Unread, now
	p.Published = false
}

func (p *Placer) leaseLost() {
	p.Until = time.Time{}
	p.Phase = Idle
	p.Ticket++
	p.Orders = nil
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
	p.Records = map[Place]*Record{}
	p.Claims = map[Key]Claim{}
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

// objectWritten sends the orders that waited for the write. If the lease
// ended meanwhile they are dropped: the entries stay, and whoever holds the
// lease next gives them new fences.
func (p *Placer) objectWritten(now time.Time, written ObjectWritten) []Effect {
	if p.Phase != Writing || written.Ticket != p.Ticket {
		return nil
	}
	p.Version, p.Decided = written.Version, p.Next
	orders := p.Orders
	p.Orders, p.Next = nil, Placement{}
	p.Phase, p.Published = Ready, false
	if !p.valid(now) {
		return nil
	}
	var effects []Effect
	for _, order := range orders {
		order.Until = p.Until
		p.recordSent(now, order)
		effects = append(effects, SendOrder{Order: order})
	}
	return effects
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

func (p *Placer) recordSent(now time.Time, order Order) {
	record := p.record(Place{order.Endpoint, order.Key})
	*record = Record{
		Fence:    order.Fence,
		SentAt:   now,
		QuietAt:  record.QuietAt,
		Attempts: record.Attempts + 1,
		Served:   record.Served,
		Overdue:  now.Add(unloadPatience),
	}
	if order.Kind == LoadModel || order.Kind == LoadAdapter {
		record.QuietAt = now.Add(p.Settings.inFlight())
		record.Overdue = now.Add(p.loadPatience(order.MemoryMB))
	}
}

const (
	// unloadPatience is how long an endpoint may take to unload.
	unloadPatience = 10 * time.Second
	// minLoadPatience and patienceFactor allow for a slow weight store.
	minLoadPatience = 30 * time.Second
	patienceFactor  = 4
)

// loadPatience is how long a load may take before it counts as lost.
func (p *Placer) loadPatience(memoryMB int) time.Duration {
	return max(minLoadPatience, patienceFactor*p.remoteLoad(memoryMB))
}

// record returns what is known of an entry. For an entry of another holder
// nothing is known: its order may be under way since before the state was
// adopted.
func (p *Placer) record(place Place) *Record {
	record, ok := p.Records[place]
	if !ok {
		record = &Record{QuietAt: p.Adopted.Add(p.Settings.inFlight())}
		p.Records[place] = record
	}
	return record
}
