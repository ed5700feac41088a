package placer

import (
	"maps"
	"slices"
	"time"
)

// sendQueuedOrders sends the orders whose decisions have been written. Each
// endpoint gets one order at a time: two orders in flight could overtake each
// other, and an endpoint that honours fences would then refuse the earlier
// one.
func (p *Placer) sendQueuedOrders(now time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(p.Outbox)) {
		if _, inFlight := p.InFlight[name]; inFlight {
			continue
		}
		order, ok := p.nextOrder(name)
		if !ok {
			continue
		}
		order.Until = p.LeaseUntil
		p.InFlight[name] = order.Fence
		p.recordSent(now, order)
		effects = append(effects, SendOrder{Order: order})
	}
	return effects
}

// nextOrder removes and returns an endpoint's next order, skipping orders that
// a later decision replaced.
func (p *Placer) nextOrder(name string) (Order, bool) {
	for len(p.Outbox[name]) > 0 {
		order := p.Outbox[name][0]
		p.Outbox[name] = p.Outbox[name][1:]
		if entry, ok := p.Decided.Endpoints[name].Find(order.Key); ok && entry.Fence == order.Fence {
			return order, true
		}
	}
	delete(p.Outbox, name)
	return Order{}, false
}

// orderQueued reports whether an order for an entry has not been sent yet.
// Until it is sent, the entry must not be compared with the endpoint's report.
func (p *Placer) orderQueued(name string, key Key) bool {
	return slices.ContainsFunc(p.Outbox[name], func(order Order) bool { return order.Key == key })
}

func (p *Placer) recordSent(now time.Time, order Order) {
	record := p.entryRecord(EntryID{order.Endpoint, order.Key})
	*record = EntryRecord{
		Fence:              order.Fence,
		SentAt:             now,
		LoadOrdersExpireAt: record.LoadOrdersExpireAt,
		Attempts:           record.Attempts + 1,
		Served:             record.Served,
		Deadline:           now.Add(unloadTimeout),
	}
	if order.Kind == LoadModel || order.Kind == LoadAdapter {
		record.LoadOrdersExpireAt = now.Add(p.Settings.maxOrderTransit())
		record.Deadline = now.Add(p.loadTimeout(order.MemoryMB))
	}
}

const (
	// unloadTimeout is how long an endpoint may take to unload.
	unloadTimeout = 10 * time.Second
	// minLoadTimeout and loadTimeoutFactor allow for a slow weight store.
	minLoadTimeout    = 30 * time.Second
	loadTimeoutFactor = 4
)

// loadTimeout returns how long a load may take before it counts as lost.
func (p *Placer) loadTimeout(memoryMB int) time.Duration {
	return max(minLoadTimeout, loadTimeoutFactor*p.remoteLoadTime(memoryMB))
}

// entryRecord returns what this holder knows about an entry. Nothing is known
// about an entry of another holder: its order may have been in flight since
// before the state was adopted.
func (p *Placer) entryRecord(id EntryID) *EntryRecord {
	record, ok := p.Records[id]
	if !ok {
		record = &EntryRecord{LoadOrdersExpireAt: p.AdoptedAt.Add(p.Settings.maxOrderTransit())}
		p.Records[id] = record
	}
	return record
}
