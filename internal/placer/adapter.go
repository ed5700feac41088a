package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// placeAdapter loads an adapter beside a loaded replica of its model: on the
// replica with the shortest queue, and on one more if requests keep waiting.
func (d *plan) placeAdapter(wanted wish) {
	key := wanted.Key
	if !d.inForce(key) || d.blocked(d.now, key) {
		return
	}
	name, ok := d.adapterHost(wanted)
	if !ok {
		return
	}
	if d.adapters >= d.Settings.AdaptersAtOnce {
		d.pending = true
		return
	}
	missing := d.memoryOf(key) - d.free(d.Endpoints[name])
	if missing > 0 {
		d.pending = true
		d.evictAdapters(name, missing-d.goingMB(name))
		return
	}
	d.record(Place{name, key}).Attempts = 0
	d.order(name, Entry{Key: key, MemoryMB: d.memoryOf(key), Tier: tracker.Remote}, tracker.Loading)
}

// adapterHost chooses among the loaded replicas without the adapter, unless a
// replica has it already and requests have not waited for long.
func (d *plan) adapterHost(wanted wish) (string, bool) {
	best, found := "", false
	for _, name := range d.Names {
		model, ok := d.next.Endpoints[name].Find(Key{Model: wanted.Key.Model})
		if !ok || model.State != tracker.Loaded || d.leaving(name) {
			continue
		}
		adapter, ok := d.next.Endpoints[name].Find(wanted.Key)
		if ok && adapter.State == tracker.Loading {
			return "", false
		}
		if ok && adapter.State == tracker.Loaded && d.now.Sub(wanted.First) < d.Settings.ScaleAfter {
			return "", false
		}
		if ok || !d.usable(d.Endpoints[name], wanted.Key) {
			continue
		}
		if !found || d.backlog(name) < d.backlog(best) {
			best, found = name, true
		}
	}
	return best, found
}

// backlog is the number of requests at an endpoint.
func (d *plan) backlog(name string) int {
	report := d.Endpoints[name].Report
	return report.Queued + report.Running
}

// goingMB is the memory that unloads in progress will free.
func (d *plan) goingMB(name string) int {
	sum := 0
	for _, entry := range d.next.Endpoints[name].Entries {
		if entry.State == tracker.Unloading {
			sum += entry.MemoryMB
		}
	}
	return sum
}

// evictAdapters unloads idle adapters of an endpoint, the longest unused
// first, until enough memory will be free.
func (d *plan) evictAdapters(name string, missingMB int) {
	for missingMB > 0 {
		var oldest Entry
		var used time.Time
		for _, entry := range d.next.Endpoints[name].Entries {
			if entry.Adapter == "" || entry.State != tracker.Loaded || d.wanted(entry.Key) {
				continue
			}
			last := d.lastUse(entry.Key)
			if adapterInUse(d.Endpoints[name].Report, entry.Key) || d.now.Sub(last) < evictionIdle {
				continue
			}
			if oldest.Adapter == "" || last.Before(used) {
				oldest, used = entry, last
			}
		}
		if oldest.Adapter == "" {
			return
		}
		missingMB -= oldest.MemoryMB
		d.unload(name, oldest)
	}
}

func adapterInUse(report *tracker.Report, key Key) bool {
	if report == nil {
		return true
	}
	for _, model := range report.Models {
		if model.Model == key.Model {
			return adapterBusy(model, key.Adapter)
		}
	}
	return false
}
