package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// report returns the latest snapshot of the load that is at least ReportLag old,
// with the next sequence number.
func (e *EngineController) report(now time.Time) tracker.Report {
	cutoff := now.Add(-e.Settings.ReportLag)
	latest := 0
	for index, snapshot := range e.History {
		if !snapshot.Measured.After(cutoff) {
			latest = index
		}
	}
	if len(e.History) == 0 {
		e.History = append(e.History, e.measure(now))
	}
	report := e.History[latest]
	if report.Measured.Before(cutoff) {
		// The load did not change between the snapshot and the cutoff.
		report.Measured = cutoff
	}
	e.Sequence++
	report.Sequence = e.Sequence
	return report
}

// recordLoad appends the load to the history if it changed, and removes the
// snapshots that are too old for any further report.
func (e *EngineController) recordLoad(now time.Time) {
	if !e.loadChanged {
		return
	}
	e.loadChanged = false
	e.History = append(e.History, e.measure(now))
	cutoff := now.Add(-e.Settings.ReportLag)
	for len(e.History) > 1 && !e.History[1].Measured.After(cutoff) {
		e.History = slices.Delete(e.History, 0, 1)
	}
}

// measure returns a snapshot of the load without a sequence number.
func (e *EngineController) measure(now time.Time) tracker.Report {
	report := tracker.Report{
		Endpoint: e.Settings.Name, Measured: now,
		Queued: len(e.Queue), Running: len(e.Running), Slots: e.Settings.Slots,
		TokensPerSecond: float64(time.Second) / float64(e.tokenInterval(len(e.Running))),
		MemoryMB:        e.Settings.MemoryMB, UsedMB: e.usedMB(), Fence: e.Fence,
		Leaving: e.Faults.Leaving,
	}
	for _, key := range slices.Sorted(maps.Keys(e.Models)) {
		report.Models = append(report.Models, e.modelState(key))
	}
	for _, entry := range e.Memory.Entries {
		report.Cached = append(report.Cached, tracker.CachedModel{Model: entry.Model, Tier: tracker.Memory})
	}
	for _, entry := range e.Disk.Entries {
		report.Cached = append(report.Cached, tracker.CachedModel{Model: entry.Model, Tier: tracker.Disk})
	}
	return report
}

func (e *EngineController) modelState(key string) tracker.ModelState {
	model := e.Models[key]
	state := tracker.ModelState{
		Model: key, State: model.State, Fence: model.Fence, Running: e.countRuns(key, ""), Served: model.Served,
	}
	for _, name := range slices.Sorted(maps.Keys(model.Adapters)) {
		adapter := model.Adapters[name]
		state.Adapters = append(state.Adapters, tracker.AdapterState{
			Adapter: name, State: adapter.State, Running: e.countRuns(key, name), Served: adapter.Served,
		})
	}
	return state
}

// engineWords is the vocabulary of generated text. engineWord takes an index
// from four bits, so it has 16 words.
var engineWords = []string{
	"wind", "ridge", "plate", "gust", "frost", "harbour", "crystal", "north",
	"lens", "tide", "branch", "calm", "rime", "spray", "needle", "cloud",
}

// EngineText returns the text of the token at an index of the answer to a
// prompt. It depends only on these two, so that any replica can resume an answer.
func EngineText(prompt string, index int) string {
	return engineWord(xxhash.Sum64String(prompt), index)
}

func engineWord(seed uint64, index int) string {
	// Fibonacci hashing: multiplying by 2^64 divided by the golden ratio spreads
	// neighbouring indexes over the words.
	hash := (seed + uint64(index)) * 0x9E3779B97F4A7C15
	return " " + engineWords[hash>>60]
}
