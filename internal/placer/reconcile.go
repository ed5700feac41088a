package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// dropRemovedInstances removes the entries of instances that are no longer in
// the list.
func (d *draft) dropRemovedInstances() {
	for name, endpoint := range d.Decided.Endpoints {
		if _, ok := d.Endpoints[name]; ok {
			continue
		}
		for _, entry := range endpoint.Entries {
			d.remove(name, entry.Key)
		}
	}
}

// reconcile compares every entry with its endpoint's report.
func (d *draft) reconcile() {
	d.visitEntries(d.reconcileEntry)
	for _, name := range d.EndpointNames {
		d.reconcileUnmanaged(name, d.Endpoints[name])
	}
}

// observation is what a report shows about an entry.
type observation struct {
	record *EntryRecord
	state  tracker.State
	// present is true if the endpoint holds the model or adapter in a state
	// that needs memory.
	present bool
	// settled is true if no earlier order can change the state any more: the
	// endpoint refuses orders below the entry's fence, or all of them had time
	// to arrive before the report.
	settled bool
	// fresh is true if the report was made after the latest order.
	fresh bool
	// orderSent is true if this holder has sent the entry's order.
	orderSent bool
}

func (d *draft) observe(name string, entry Entry) observation {
	endpoint, record := d.Endpoints[name], d.entryRecord(EntryID{name, entry.Key})
	observed := observation{record: record, orderSent: record.Fence == entry.Fence}
	report := endpoint.Report
	if report == nil {
		return observed
	}
	observed.state = reportedState(report, entry.Key)
	observed.present = observed.state != "" && observed.state != tracker.Failed
	observed.settled = report.Measured.After(record.LoadOrdersExpireAt)
	if endpoint.HonoursFence {
		observed.settled = report.Fence >= entry.Fence
	}
	observed.fresh = report.Measured.After(record.SentAt) && report.Measured.After(d.AdoptedAt)
	return observed
}

func (d *draft) reconcileEntry(name string, entry Entry) {
	if d.orderQueued(name, entry.Key) {
		d.pending = true
		return
	}
	observed := d.observe(name, entry)
	switch entry.State {
	case tracker.Loading:
		d.pending = true
		d.reconcileLoading(name, entry, observed)
	case tracker.Loaded:
		d.reconcileLoaded(name, entry, observed)
	case tracker.Unloading:
		d.pending = true
		d.reconcileUnloading(name, entry, observed)
	}
}

func (d *draft) reconcileLoading(name string, entry Entry, observed observation) {
	switch {
	case observed.state == tracker.Loaded:
		entry.State, entry.Since = tracker.Loaded, d.now
		observed.record.Attempts = 0
		d.set(name, entry)
		d.clearFailures(entry.Key)
	case d.loadOverdue(entry, observed):
		d.abandonLoad(name, entry, "load did not finish before its deadline")
	case observed.present:
	case observed.fresh && observed.state == tracker.Failed:
		d.abandonLoad(name, entry, "load failed")
	case observed.fresh && observed.settled && (observed.orderSent || observed.record.Fence == 0):
		d.recordFailure(name, entry.Key, "load ended without a result")
		d.remove(name, entry.Key)
	case observed.fresh && !observed.orderSent:
		d.reissueLoad(name, entry)
	case d.restarted(name, observed):
		d.abandonLoad(name, entry, "endpoint restarted during the load")
	case d.orderFailed(observed):
		d.abandonLoad(name, entry, "order "+string(observed.record.Outcome))
	}
}

// loadOverdue reports whether a load has taken too long. The time of an
// earlier holder's load counts from when the state was adopted.
func (d *draft) loadOverdue(entry Entry, observed observation) bool {
	limit := observed.record.Deadline
	if !observed.orderSent {
		limit = d.AdoptedAt.Add(d.loadTimeout(entry.MemoryMB))
	}
	return d.now.After(limit)
}

// reissueLoad repeats a load that was decided by an earlier holder, or by this
// one before its lease expired, and whose order may never have been sent.
func (d *draft) reissueLoad(name string, entry Entry) {
	if !d.inForce(entry.Key) {
		d.unload(name, entry)
		return
	}
	d.addOrder(name, entry, tracker.Loading)
}

func (d *draft) restarted(name string, observed observation) bool {
	return observed.fresh && d.ReportHistories[name].Restarted.After(observed.record.SentAt)
}

// uncertainWait is how long the report may lag behind an order whose reply was
// lost.
const uncertainWait = time.Second

// orderFailed reports whether an order had no effect, or probably none.
func (d *draft) orderFailed(observed observation) bool {
	if !observed.orderSent {
		return false
	}
	switch observed.record.Outcome {
	case "", Accepted:
		return false
	case Uncertain:
		return d.now.After(observed.record.AnsweredAt.Add(uncertainWait))
	default:
		return true
	}
}

func (d *draft) reconcileLoaded(name string, entry Entry, observed observation) {
	switch {
	case observed.present || !observed.fresh:
	case observed.settled:
		d.addWarning(d.now, name, entry.Key, "loaded model or adapter is missing from the endpoint's report")
		d.remove(name, entry.Key)
	default:
		d.addWarning(d.now, name, entry.Key, "loaded model or adapter is missing from the endpoint's report")
		d.unload(name, entry)
	}
}

func (d *draft) reconcileUnloading(name string, entry Entry, observed observation) {
	switch {
	case !observed.present && observed.settled && d.Endpoints[name].Report != nil:
		d.remove(name, entry.Key)
	case entry.Adapter != "" && d.modelUnloading(name, entry.Key):
	case !observed.present && observed.fresh && !d.Endpoints[name].HonoursFence:
		// The model must stay absent until no load order can be in flight.
	case d.shouldRepeatUnload(name, observed):
		d.addOrder(name, entry, tracker.Unloading)
	}
}

// modelUnloading reports whether an adapter's model is being unloaded, which
// also unloads the adapter.
func (d *draft) modelUnloading(name string, key Key) bool {
	model, ok := d.next.Endpoints[name].Find(Key{Model: key.Model})
	return ok && model.State == tracker.Unloading
}

const maxRepeatDelay = 30 * time.Second

// shouldRepeatUnload reports whether an unload order should be sent again.
func (d *draft) shouldRepeatUnload(name string, observed observation) bool {
	record := observed.record
	if !observed.orderSent {
		return true
	}
	delay := min(time.Second<<min(record.Attempts, 10), maxRepeatDelay)
	switch record.Outcome {
	case "":
		return false
	case Accepted:
		overdue := d.now.After(record.Deadline) || d.restarted(name, observed)
		return overdue && d.now.After(record.SentAt.Add(delay))
	default:
		return d.now.After(record.AnsweredAt.Add(delay))
	}
}

// reconcileUnmanaged unloads models and adapters that an endpoint reports and
// that are not decided: an endpoint that does not check the sender accepts
// orders from anyone. Until they are unloaded, they count against memory and
// replicas.
func (d *draft) reconcileUnmanaged(name string, endpoint tracker.Endpoint) {
	report := endpoint.Report
	if report == nil || !report.Measured.After(d.AdoptedAt) {
		return
	}
	for _, model := range report.Models {
		key := Key{Model: model.Model}
		if !d.managedOrFailed(name, key, model.State) {
			d.unloadUnmanaged(name, key)
			continue
		}
		for _, adapter := range model.Adapters {
			key := Key{Model: model.Model, Adapter: adapter.Adapter}
			if !d.managedOrFailed(name, key, adapter.State) {
				d.unloadUnmanaged(name, key)
			}
		}
	}
}

func (d *draft) managedOrFailed(name string, key Key, state tracker.State) bool {
	_, ok := d.next.Endpoints[name].Find(key)
	return ok || state == tracker.Failed
}

func (d *draft) unloadUnmanaged(name string, key Key) {
	d.addWarning(d.now, name, key, "not in the decided placement; unloading it")
	entry := Entry{Key: key, MemoryMB: d.memoryOf(key), State: tracker.Unloading}
	d.addOrder(name, entry, tracker.Unloading)
}

// memoryOf returns the configured memory in MiB, or 0 for a key that is not in
// force, whose memory then counts as unmanaged.
func (p *Placer) memoryOf(key Key) int {
	if key.Adapter != "" {
		return p.Configuration.Adapters[key.Adapter].MemoryMB
	}
	return p.Configuration.Models[key.Model].MemoryMB
}

// inForce reports whether a model or adapter is in force.
func (p *Placer) inForce(key Key) bool {
	if _, ok := p.Configuration.Models[key.Model]; !ok {
		return false
	}
	if key.Adapter == "" {
		return true
	}
	adapter, ok := p.Configuration.Adapters[key.Adapter]
	return ok && releaser.Key(adapter.Model, adapter.ModelVersion) == key.Model
}
