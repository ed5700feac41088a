package placer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// adapterKeep is how long an unused adapter stays loaded: adapters are small
// and load in milliseconds.
const adapterKeep = 30 * time.Minute

// retire unloads what is withdrawn, in excess, or idle for too long.
func (d *plan) retire() {
	d.noteWithdrawn()
	d.each(func(name string, entry Entry) {
		switch {
		case entry.State == tracker.Unloading:
		case !d.inForce(entry.Key):
			d.retireWithdrawn(name, entry)
		case entry.State == tracker.Loaded && d.endpointGoing(name, entry):
			d.unload(name, entry)
		case entry.State == tracker.Loaded && d.idleTooLong(name, entry):
			d.unload(name, entry)
		}
	})
	d.retireExcess()
}

// noteWithdrawn forgets keys that came back into force.
func (d *plan) noteWithdrawn() {
	for key := range d.Withdrawn {
		if d.inForce(key) {
			delete(d.Withdrawn, key)
		}
	}
}

// retireWithdrawn unloads after the drain time, during which requests that
// had started may finish. A load in progress has no requests.
func (d *plan) retireWithdrawn(name string, entry Entry) {
	d.pending = true
	since, ok := d.Withdrawn[entry.Key]
	if !ok {
		since = d.now
		d.Withdrawn[entry.Key] = since
	}
	if entry.State == tracker.Loading || !d.now.Before(since.Add(d.Settings.DrainTime)) {
		d.unload(name, entry)
	}
}

// endpointGoing says that an entry holds a replica at a leaving endpoint
// while requests wait for the model.
func (d *plan) endpointGoing(name string, entry Entry) bool {
	return d.leaving(name) && d.wanted(entry.Key) && !busy(d.Endpoints[name].Report, entry.Key)
}

func (p *Placer) leaving(name string) bool {
	endpoint := p.Endpoints[name]
	return endpoint.Phase == tracker.Leaving || (endpoint.Report != nil && endpoint.Report.Leaving)
}

// wanted says whether requests wait for a model, an adapter, or an adapter
// of the model.
func (p *Placer) wanted(key Key) bool {
	for other := range p.Demands {
		if other == key || (key.Adapter == "" && other.Model == key.Model) {
			return true
		}
	}
	return false
}

func (d *plan) idleTooLong(name string, entry Entry) bool {
	if busy(d.Endpoints[name].Report, entry.Key) || d.wanted(entry.Key) {
		return false
	}
	if d.lastUse(entry.Key).IsZero() {
		d.firstUse(entry.Key)
	}
	if entry.Adapter != "" {
		return d.now.Sub(d.lastUse(entry.Key)) >= adapterKeep
	}
	return !d.advice(entry.Model, d.activity(entry.Model)).Keep
}

// firstUse lets the idle time of a model or adapter that an earlier holder
// loaded begin now.
func (d *plan) firstUse(key Key) {
	if key.Adapter != "" {
		d.AdapterUse[key] = d.now
		return
	}
	d.activity(key.Model).LastUse = d.now
}

// advice asks the policy about a model.
func (d *plan) advice(model string, activity *predictor.Activity) predictor.Advice {
	return predictor.Advise(d.Settings.Policy, activity, d.now, d.remoteLoad(d.memoryOf(Key{Model: model})))
}

// remoteLoad is the expected time of a load from the weight store.
func (p *Placer) remoteLoad(memoryMB int) time.Duration {
	return loadTime(memoryMB, p.Settings.Speeds[tracker.Remote])
}

func loadTime(memoryMB int, speed float64) time.Duration {
	return time.Duration(float64(memoryMB) / max(speed, 1) * float64(time.Second))
}

// retireExcess unloads idle replicas above a lowered number of replicas.
func (d *plan) retireExcess() {
	if !d.excessive() {
		return
	}
	going := map[string]int{}
	var candidates []Place
	d.each(func(name string, entry Entry) {
		switch {
		case entry.Adapter != "" || !d.inForce(entry.Key):
		case d.replicas[entry.Model] <= d.Shares[entry.Model]:
		case entry.State == tracker.Unloading:
			going[entry.Model]++
		case entry.State == tracker.Loading || !busy(d.Endpoints[name].Report, entry.Key):
			candidates = append(candidates, Place{name, entry.Key})
		}
	})
	slices.SortStableFunc(candidates, func(a, b Place) int { return cmp.Compare(b.Endpoint, a.Endpoint) })
	for _, place := range candidates {
		if d.replicas[place.Model]-going[place.Model] <= d.Shares[place.Model] {
			continue
		}
		going[place.Model]++
		entry, _ := d.next.Endpoints[place.Endpoint].Find(place.Key)
		d.unload(place.Endpoint, entry)
	}
}

// excessive says whether any model has more replicas than it may.
func (d *plan) excessive() bool {
	for model, count := range d.replicas {
		if count > d.Shares[model] {
			return true
		}
	}
	return false
}
