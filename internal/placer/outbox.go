package placer

import (
	"maps"
	"slices"
	"time"
)

// flush sends the orders whose decisions are written. An endpoint gets one
// order at a time: two orders on their way could overtake each other, and an
// endpoint that honours fences would refuse the earlier one.
func (p *Placer) flush(now time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(p.Outbox)) {
		if _, waits := p.InFlight[name]; waits {
			continue
		}
		order, ok := p.next(name)
		if !ok {
			continue
		}
		order.Until = p.Until
		p.InFlight[name] = order.Fence
		p.recordSent(now, order)
		effects = append(effects, SendOrder{Order: order})
	}
	return effects
}

// next takes an endpoint's next order, without those that a later decision
// replaced.
func (p *Placer) next(name string) (Order, bool) {
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

// queued says whether an order for an entry has yet to go out. Until then the
// entry must not be judged by what the endpoint shows.
func (p *Placer) queued(name string, key Key) bool {
	return slices.ContainsFunc(p.Outbox[name], func(order Order) bool { return order.Key == key })
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
