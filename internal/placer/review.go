package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// dropGone removes the entries of instances that left the list.
func (d *plan) dropGone() {
	for name, endpoint := range d.Decided.Endpoints {
		if _, ok := d.Endpoints[name]; ok {
			continue
		}
		for _, entry := range endpoint.Entries {
			d.remove(name, entry.Key)
		}
	}
}

// review compares every entry with its endpoint's report.
func (d *plan) review() {
	d.each(d.reviewEntry)
	for _, name := range d.Names {
		d.reviewStrangers(name, d.Endpoints[name])
	}
}

// finding is what a report says about an entry.
type finding struct {
	record *Record
	state  tracker.State
	// present says that the endpoint has the model in some form that needs
	// memory.
	present bool
	// settled says that no earlier order can change the state any more: the
	// endpoint refuses orders below the entry's fence, or all of them have
	// had time to arrive before the report.
	settled bool
	// fresh says that the report was made after the latest order.
	fresh bool
	// ordered says that this holder has sent the entry's order.
	ordered bool
}

func (d *plan) find(name string, entry Entry) finding {
	endpoint, record := d.Endpoints[name], d.record(Place{name, entry.Key})
	found := finding{record: record, ordered: record.Fence == entry.Fence}
	report := endpoint.Report
	if report == nil {
		return found
	}
	found.state = shown(report, entry.Key)
	found.present = found.state != "" && found.state != tracker.Failed
	found.settled = report.Measured.After(record.QuietAt)
	if endpoint.HonoursFence {
		found.settled = report.Fence >= entry.Fence
	}
	found.fresh = report.Measured.After(record.SentAt) && report.Measured.After(d.Adopted)
	return found
}

func (d *plan) reviewEntry(name string, entry Entry) {
	if d.queued(name, entry.Key) {
		d.pending = true
		return
	}
	found := d.find(name, entry)
	switch entry.State {
	case tracker.Loading:
		d.pending = true
		d.reviewLoading(name, entry, found)
	case tracker.Loaded:
		d.reviewLoaded(name, entry, found)
	case tracker.Unloading:
		d.pending = true
		d.reviewUnloading(name, entry, found)
	}
}

func (d *plan) reviewLoading(name string, entry Entry, found finding) {
	switch {
	case found.state == tracker.Loaded:
		entry.State, entry.Since = tracker.Loaded, d.now
		found.record.Attempts = 0
		d.set(name, entry)
		d.succeeded(entry.Key)
	case d.overdue(entry, found):
		d.fail(name, entry, "load overdue")
	case found.present:
	case found.fresh && found.state == tracker.Failed:
		d.fail(name, entry, "load failed")
	case found.fresh && found.settled && (found.ordered || found.record.Fence == 0):
		d.failed(name, entry.Key, "load ended without a result")
		d.remove(name, entry.Key)
	case found.fresh && !found.ordered:
		d.resume(name, entry)
	case d.restarted(name, found):
		d.fail(name, entry, "endpoint restarted during the load")
	case d.refused(found):
		d.fail(name, entry, "order "+string(found.record.Outcome))
	}
}

// overdue says that a load has taken too long. The load of an earlier holder
// counts from when the state was adopted.
func (d *plan) overdue(entry Entry, found finding) bool {
	limit := found.record.Overdue
	if !found.ordered {
		limit = d.Adopted.Add(d.loadPatience(entry.MemoryMB))
	}
	return d.now.After(limit)
}

// resume repeats a load that an earlier holder, or this one before its lease
// lapsed, decided and perhaps never ordered.
func (d *plan) resume(name string, entry Entry) {
	if !d.inForce(entry.Key) {
		d.unload(name, entry)
		return
	}
	d.order(name, entry, tracker.Loading)
}

func (d *plan) restarted(name string, found finding) bool {
	return found.fresh && d.Seen[name].Restarted.After(found.record.SentAt)
}

// uncertainWait is how long the report may lag behind an order whose answer
// was lost.
const uncertainWait = time.Second

// refused says that an order had no effect, or probably none.
func (d *plan) refused(found finding) bool {
	if !found.ordered {
		return false
	}
	switch found.record.Outcome {
	case "", Accepted:
		return false
	case Uncertain:
		return d.now.After(found.record.AnsweredAt.Add(uncertainWait))
	default:
		return true
	}
}

func (d *plan) reviewLoaded(name string, entry Entry, found finding) {
	switch {
	case found.present || !found.fresh:
	case found.settled:
		d.trouble(d.now, name, entry.Key, "loaded model was lost")
		d.remove(name, entry.Key)
	default:
		d.trouble(d.now, name, entry.Key, "loaded model was lost")
		d.unload(name, entry)
	}
}

func (d *plan) reviewUnloading(name string, entry Entry, found finding) {
	switch {
	case !found.present && found.settled && d.Endpoints[name].Report != nil:
		d.remove(name, entry.Key)
	case entry.Adapter != "" && d.modelGoing(name, entry.Key):
	case !found.present && found.fresh && !d.Endpoints[name].HonoursFence:
		// Absence must last until no load order can be under way.
	case d.mayRepeat(name, found):
		d.order(name, entry, tracker.Unloading)
	}
}

// modelGoing says that an adapter's model is on its way out, so that the
// adapter goes with it.
func (d *plan) modelGoing(name string, key Key) bool {
	model, ok := d.next.Endpoints[name].Find(Key{Model: key.Model})
	return ok && model.State == tracker.Unloading
}

const maxRepeatDelay = 30 * time.Second

// mayRepeat says whether an unload should be ordered again.
func (d *plan) mayRepeat(name string, found finding) bool {
	record := found.record
	if !found.ordered {
		return true
	}
	delay := min(time.Second<<min(record.Attempts, 10), maxRepeatDelay)
	switch record.Outcome {
	case "":
		return false
	case Accepted:
		late := d.now.After(record.Overdue) || d.restarted(name, found)
		return late && d.now.After(record.SentAt.Add(delay))
	default:
		return d.now.After(record.AnsweredAt.Add(delay))
	}
}

// reviewStrangers decides that models and adapters go that an endpoint shows
// and nobody decided: an endpoint that does not check the sender takes orders
// from anyone. Until then their memory and replicas count.
func (d *plan) reviewStrangers(name string, endpoint tracker.Endpoint) {
	report := endpoint.Report
	if report == nil || !report.Measured.After(d.Adopted) {
		return
	}
	for _, model := range report.Models {
		key := Key{Model: model.Model}
		if !d.known(name, key, model.State) {
			d.adoptStranger(name, key)
			continue
		}
		for _, adapter := range model.Adapters {
			key := Key{Model: model.Model, Adapter: adapter.Adapter}
			if !d.known(name, key, adapter.State) {
				d.adoptStranger(name, key)
			}
		}
	}
}

func (d *plan) known(name string, key Key, state tracker.State) bool {
	_, ok := d.next.Endpoints[name].Find(key)
	return ok || state == tracker.Failed
}

func (d *plan) adoptStranger(name string, key Key) {
	d.trouble(d.now, name, key, "loaded without a decision")
	entry := Entry{Key: key, MemoryMB: d.memoryOf(key), State: tracker.Unloading}
	d.order(name, entry, tracker.Unloading)
}

// memoryOf returns the configured memory, 0 for what is not in force; then
// the report's excess counts.
func (p *Placer) memoryOf(key Key) int {
	if key.Adapter != "" {
		return p.Configuration.Adapters[key.Adapter].MemoryMB
	}
	return p.Configuration.Models[key.Model].MemoryMB
}

// inForce says whether a model or adapter is in force.
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
