package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	// evictionIdle is how long a model must be idle before it may be evicted.
	// It protects models whose requests have just been released from the
	// queue, or whose use falls between two reports.
	evictionIdle = 2 * time.Second
	// deferrableEvictionIdle is how long a model must be idle before a deferred
	// request may evict it.
	deferrableEvictionIdle = time.Minute
)

// evictable returns the models of an endpoint that may be evicted for a load
// of the given urgency.
func (d *draft) evictable(name string, urgency Urgency) []Evictable {
	minIdle := evictionIdle
	if urgency == Deferrable {
		minIdle = deferrableEvictionIdle
	}
	report := d.Endpoints[name].Report
	entries := d.next.Endpoints[name].Entries
	var result []Evictable
	for _, entry := range entries {
		if entry.Adapter != "" || entry.State != tracker.Loaded {
			continue
		}
		idle := d.now.Sub(d.lastUse(entry.Key))
		if idle < minIdle || busy(report, entry.Key) || d.hasDemand(entry.Key) {
			continue
		}
		result = append(result, Evictable{
			Key:      entry.Key,
			MemoryMB: memoryWithAdapters(entries, entry.Model),
			Rank:     d.rank(entry.Model),
		})
	}
	return result
}

func memoryWithAdapters(entries []Entry, model string) int {
	sum := 0
	for _, entry := range entries {
		if entry.Model == model {
			sum += entry.MemoryMB
		}
	}
	return sum
}

func (d *draft) rank(model string) float64 {
	rank, ok := d.ranks[model]
	if !ok {
		rank = predictor.Rank(d.Settings.Policy, d.activity(model), d.now)
		d.ranks[model] = rank
	}
	return rank
}
