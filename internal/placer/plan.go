package placer

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// draft is a change of the decided state that is being prepared. It copies
// what it changes, because the state as last written stays in use until the
// write is confirmed.
type draft struct {
	*Placer
	now     time.Time
	next    Placement
	changed bool
	copied  map[string]bool
	orders  []Order
	// replicas counts the entries of each model in next.
	replicas map[string]int
	// remoteLoads and adapterLoads count the loads in progress from the weight
	// store and of adapters.
	remoteLoads  int
	adapterLoads int
	// ranks caches the policy's ranks.
	ranks map[string]float64
	// pending is true if some work must wait for the next plan.
	pending bool
}

// plan makes the decisions that are due and requests a write of them.
func (p *Placer) plan(now time.Time) []Effect {
	p.expireDemand(now)
	d := p.newDraft(now)
	d.dropRemovedInstances()
	d.reconcile()
	d.retire()
	d.placeLoads()
	d.prewarm()
	p.PlanAt = now.Add(idleInterval)
	if d.pending || d.changed || len(p.Demands) > 0 || len(p.Claims) > 0 {
		p.PlanAt = now.Add(planInterval)
	}
	if !d.changed && !p.Lost {
		return nil
	}
	d.next.Epoch = p.Epoch
	d.next.ListVersion = p.ListVersion
	d.next.Configuration = p.Configuration.Version
	p.PendingPlacement, p.PendingOrders = d.next, d.orders
	p.Phase = Writing
	p.Ticket++
	return []Effect{WriteObject{Ticket: p.Ticket, IfVersion: p.Version, Placement: d.next}}
}

func (p *Placer) newDraft(now time.Time) *draft {
	d := &draft{
		Placer:   p,
		now:      now,
		next:     p.Decided,
		copied:   map[string]bool{},
		replicas: map[string]int{},
		ranks:    map[string]float64{},
	}
	for _, endpoint := range p.Decided.Endpoints {
		for _, entry := range endpoint.Entries {
			d.adjustCounts(entry, 1)
		}
	}
	return d
}

// adjustCounts updates the counts over all entries.
func (d *draft) adjustCounts(entry Entry, delta int) {
	if entry.Adapter == "" {
		d.replicas[entry.Model] += delta
	}
	if entry.State != tracker.Loading {
		return
	}
	if entry.Adapter != "" {
		d.adapterLoads += delta
	} else if entry.Tier == tracker.Remote {
		d.remoteLoads += delta
	}
}

// mutableEndpoint returns an endpoint's placement with entries that may be
// modified; it copies them before the first change.
func (d *draft) mutableEndpoint(name string) EndpointPlacement {
	if !d.changed {
		d.changed = true
		d.next.Endpoints = maps.Clone(d.next.Endpoints)
	}
	endpoint := d.next.Endpoints[name]
	if !d.copied[name] {
		d.copied[name] = true
		endpoint.Entries = slices.Clone(endpoint.Entries)
	}
	return endpoint
}

// set adds or replaces an entry.
func (d *draft) set(name string, entry Entry) {
	endpoint := d.mutableEndpoint(name)
	i, ok := searchEntries(endpoint.Entries, entry.Key)
	if ok {
		d.adjustCounts(endpoint.Entries[i], -1)
		endpoint.Entries[i] = entry
	} else {
		endpoint.Entries = slices.Insert(endpoint.Entries, i, entry)
	}
	d.adjustCounts(entry, 1)
	if listed, ok := d.Endpoints[name]; ok {
		endpoint.MemoryMB = listed.MemoryMB
	}
	d.next.Endpoints[name] = endpoint
}

// remove ends a reservation. It is called only when the endpoint was removed
// or reconcile has found that no order can use the reservation any more.
func (d *draft) remove(name string, key Key) {
	endpoint := d.mutableEndpoint(name)
	i, ok := searchEntries(endpoint.Entries, key)
	if !ok {
		return
	}
	d.adjustCounts(endpoint.Entries[i], -1)
	endpoint.Entries = slices.Delete(endpoint.Entries, i, i+1)
	d.next.Endpoints[name] = endpoint
	if len(endpoint.Entries) == 0 {
		delete(d.next.Endpoints, name)
	}
	delete(d.Records, EntryID{name, key})
}

// addOrder gives an entry a new fence and state, and prepares the order to be
// sent after the write.
func (d *draft) addOrder(name string, entry Entry, state tracker.State) {
	d.Sequence++
	entry.Fence = Fence(d.Epoch, d.Sequence)
	entry.State, entry.Since = state, d.now
	d.set(name, entry)
	d.orders = append(d.orders, Order{
		Kind:     orderKind(entry.Key, state),
		Endpoint: name,
		Address:  d.Endpoints[name].Address,
		Key:      entry.Key,
		MemoryMB: entry.MemoryMB,
		Fence:    entry.Fence,
	})
}

func orderKind(key Key, state tracker.State) OrderKind {
	switch {
	case state == tracker.Loading && key.Adapter == "":
		return LoadModel
	case state == tracker.Loading:
		return LoadAdapter
	case key.Adapter == "":
		return UnloadModel
	default:
		return UnloadAdapter
	}
}

// unload decides to unload an entry. The adapters of a model are unloaded with
// it, without orders of their own.
func (d *draft) unload(name string, entry Entry) {
	d.resetAttempts(name, entry)
	d.addOrder(name, entry, tracker.Unloading)
	if entry.Adapter != "" {
		return
	}
	for _, other := range slices.Clone(d.next.Endpoints[name].Entries) {
		if other.Model == entry.Model && other.Adapter != "" && other.State != tracker.Unloading {
			other.State, other.Since = tracker.Unloading, d.now
			d.set(name, other)
		}
	}
}

// resetAttempts resets the count of orders when an entry starts to be
// unloaded.
func (d *draft) resetAttempts(name string, entry Entry) {
	if entry.State != tracker.Unloading {
		d.entryRecord(EntryID{name, entry.Key}).Attempts = 0
	}
}

// visitEntries calls visit for every entry of the region's endpoints, sorted
// by endpoint and key. The visitor may change the draft.
func (d *draft) visitEntries(visit func(name string, entry Entry)) {
	for _, name := range d.EndpointNames {
		entries := d.next.Endpoints[name].Entries
		if d.copied[name] {
			entries = slices.Clone(entries)
		}
		for _, entry := range entries {
			// A visitor may have changed the endpoint's other entries.
			if d.copied[name] {
				current, ok := d.next.Endpoints[name].Find(entry.Key)
				if !ok {
					continue
				}
				entry = current
			}
			visit(name, entry)
		}
	}
}
