package placer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// adapterKeepAlive is how long an unused adapter stays loaded: adapters are
// small and load in milliseconds.
const adapterKeepAlive = 30 * time.Minute

// retire unloads models and adapters that are withdrawn, in excess, or idle
// for too long, and replicas that must be replaced because their endpoint is
// leaving.
func (d *draft) retire() {
	d.clearReinstated()
	d.visitEntries(func(name string, entry Entry) {
		switch {
		case entry.State == tracker.Unloading:
		case !d.inForce(entry.Key):
			d.retireWithdrawn(name, entry)
		case entry.State == tracker.Loaded && d.shouldEvacuate(name, entry):
			d.unload(name, entry)
		case entry.State == tracker.Loaded && d.idleTooLong(name, entry):
			d.unload(name, entry)
		}
	})
	d.retireExcess()
}

// clearReinstated drops the withdrawal times of keys that are in force again.
func (d *draft) clearReinstated() {
	for key := range d.WithdrawnAt {
		if d.inForce(key) {
			delete(d.WithdrawnAt, key)
		}
	}
}

// retireWithdrawn unloads a withdrawn entry after the drain time, during which
// started requests may finish. A load in progress has no requests, so it is
// unloaded at once.
func (d *draft) retireWithdrawn(name string, entry Entry) {
	d.pending = true
	since, ok := d.WithdrawnAt[entry.Key]
	if !ok {
		since = d.now
		d.WithdrawnAt[entry.Key] = since
	}
	if entry.State == tracker.Loading || !d.now.Before(since.Add(d.Settings.DrainTime)) {
		d.unload(name, entry)
	}
}

// shouldEvacuate reports whether an entry occupies a replica at a leaving
// endpoint, without requests there, while requests wait for the model.
func (d *draft) shouldEvacuate(name string, entry Entry) bool {
	return d.leaving(name) && d.hasDemand(entry.Key) && !busy(d.Endpoints[name].Report, entry.Key)
}

func (p *Placer) leaving(name string) bool {
	endpoint := p.Endpoints[name]
	return endpoint.Phase == tracker.Leaving || (endpoint.Report != nil && endpoint.Report.Leaving)
}

// hasDemand reports whether requests wait for a model, an adapter, or an
// adapter of the model.
func (p *Placer) hasDemand(key Key) bool {
	for other := range p.Demands {
		if other == key || (key.Adapter == "" && other.Model == key.Model) {
			return true
		}
	}
	return false
}

func (d *draft) idleTooLong(name string, entry Entry) bool {
	if busy(d.Endpoints[name].Report, entry.Key) || d.hasDemand(entry.Key) {
		return false
	}
	if d.lastUse(entry.Key).IsZero() {
		d.startIdleTime(entry.Key)
	}
	if entry.Adapter != "" {
		return d.now.Sub(d.lastUse(entry.Key)) >= adapterKeepAlive
	}
	return !d.advice(entry.Model, d.activity(entry.Model)).Keep
}

// startIdleTime starts the idle time of a model or adapter that an earlier
// holder loaded.
func (d *draft) startIdleTime(key Key) {
	if key.Adapter != "" {
		d.AdapterLastUse[key] = d.now
		return
	}
	d.activity(key.Model).LastUse = d.now
}

// advice returns the policy's advice on a model.
func (d *draft) advice(model string, activity *predictor.Activity) predictor.Advice {
	return predictor.Advise(d.Settings.Policy, activity, d.now, d.remoteLoadTime(d.memoryOf(Key{Model: model})))
}

// remoteLoadTime returns the expected duration of a load from the weight
// store.
func (p *Placer) remoteLoadTime(memoryMB int) time.Duration {
	return loadTime(memoryMB, p.Settings.LoadSpeeds[tracker.Remote])
}

func loadTime(memoryMB int, speed float64) time.Duration {
	return time.Duration(float64(memoryMB) / max(speed, 1) * float64(time.Second))
}

// retireExcess unloads replicas above the region's share after that share was
// lowered. It chooses replicas that are loading or have no requests.
func (d *draft) retireExcess() {
	if !d.overReplicated() {
		return
	}
	unloading := map[string]int{}
	var candidates []EntryID
	d.visitEntries(func(name string, entry Entry) {
		switch {
		case entry.Adapter != "" || !d.inForce(entry.Key):
		case d.replicas[entry.Model] <= d.Shares[entry.Model]:
		case entry.State == tracker.Unloading:
			unloading[entry.Model]++
		case entry.State == tracker.Loading || !busy(d.Endpoints[name].Report, entry.Key):
			candidates = append(candidates, EntryID{name, entry.Key})
		}
	})
	slices.SortStableFunc(candidates, func(a, b EntryID) int { return cmp.Compare(b.Endpoint, a.Endpoint) })
	for _, id := range candidates {
		if d.replicas[id.Model]-unloading[id.Model] <= d.Shares[id.Model] {
			continue
		}
		unloading[id.Model]++
		entry, _ := d.next.Endpoints[id.Endpoint].Find(id.Key)
		d.unload(id.Endpoint, entry)
	}
}

// overReplicated reports whether any model has more replicas than the region's
// share.
func (d *draft) overReplicated() bool {
	for model, count := range d.replicas {
		if count > d.Shares[model] {
			return true
		}
	}
	return false
}
