package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// placeAdapter loads an adapter next to a loaded replica of its model. It
// picks the replica with the shortest queue, and adds one more replica if
// requests keep waiting.
func (d *draft) placeAdapter(request loadRequest) {
	key := request.Key
	if !d.inForce(key) || d.backingOff(d.now, key) {
		return
	}
	name, ok := d.adapterHost(request)
	if !ok {
		return
	}
	if d.adapterLoads >= d.Settings.MaxAdapterLoads {
		d.pending = true
		return
	}
	missingMB := d.memoryOf(key) - d.freeMB(d.Endpoints[name])
	if missingMB > 0 {
		d.pending = true
		d.evictAdapters(name, missingMB-d.unloadingMB(name))
		return
	}
	d.entryRecord(EntryID{name, key}).Attempts = 0
	d.addOrder(name, Entry{Key: key, MemoryMB: d.memoryOf(key), Tier: tracker.Remote}, tracker.Loading)
}

// adapterHost chooses among the loaded replicas of the model that do not have
// the adapter. It returns false while the adapter is loading, and while a
// replica has it and requests have waited for less than ScaleUpDelay.
func (d *draft) adapterHost(request loadRequest) (string, bool) {
	best, found := "", false
	for _, name := range d.EndpointNames {
		model, ok := d.next.Endpoints[name].Find(Key{Model: request.Key.Model})
		if !ok || model.State != tracker.Loaded || d.leaving(name) {
			continue
		}
		adapter, ok := d.next.Endpoints[name].Find(request.Key)
		if ok && adapter.State == tracker.Loading {
			return "", false
		}
		if ok && adapter.State == tracker.Loaded && d.now.Sub(request.WaitingSince) < d.Settings.ScaleUpDelay {
			return "", false
		}
		if ok || !d.usable(d.Endpoints[name], request.Key) {
			continue
		}
		if !found || d.backlog(name) < d.backlog(best) {
			best, found = name, true
		}
	}
	return best, found
}

// backlog returns the number of requests at an endpoint.
func (d *draft) backlog(name string) int {
	report := d.Endpoints[name].Report
	return report.Queued + report.Running
}

// unloadingMB returns the memory that unloads in progress will free.
func (d *draft) unloadingMB(name string) int {
	sum := 0
	for _, entry := range d.next.Endpoints[name].Entries {
		if entry.State == tracker.Unloading {
			sum += entry.MemoryMB
		}
	}
	return sum
}

// evictAdapters unloads idle adapters of an endpoint, least recently used
// first, until enough memory will be free.
func (d *draft) evictAdapters(name string, missingMB int) {
	for missingMB > 0 {
		var oldest Entry
		var oldestUse time.Time
		for _, entry := range d.next.Endpoints[name].Entries {
			if entry.Adapter == "" || entry.State != tracker.Loaded || d.hasDemand(entry.Key) {
				continue
			}
			last := d.lastUse(entry.Key)
			if adapterInUse(d.Endpoints[name].Report, entry.Key) || d.now.Sub(last) < evictionIdle {
				continue
			}
			if oldest.Adapter == "" || last.Before(oldestUse) {
				oldest, oldestUse = entry, last
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
