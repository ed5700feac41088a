package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// report returns the newest load that is at least as old as the lag.
func (e *EngineController) report(now time.Time) tracker.Report {
	cutoff := now.Add(-e.Settings.ReportLag)
	chosen := 0
	for index, past := range e.History {
		if !past.Measured.After(cutoff) {
			chosen = index
		}
	}
	if len(e.History) == 0 {
		e.History = append(e.History, e.measure(now))
	}
	report := e.History[chosen]
	if report.Measured.Before(cutoff) {
		// Nothing changed between that load and the limit.
		report.Measured = cutoff
	}
	e.Sequence++
	report.Sequence = e.Sequence
	return report
}

// remember adds the load to the history if it changed, and forgets what no
// report needs any more.
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

// measure describes the load without a sequence.
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

// engineWords are the words of generated text.
var engineWords = []string{
	"wind", "ridge", "plate", "gust", "frost", "harbour", "crystal", "north",
	"lens", "tide", "branch", "calm", "rime", "spray", "needle", "cloud",
}

// EngineText returns the token of an answer at an index. It depends on the
// prompt and the index only, so that any replica can resume an answer.
func EngineText(prompt string, index int) string {
	return engineWord(xxhash.Sum64String(prompt), index)
}

func engineWord(seed uint64, index int) string {
	// The multiplier is the 64-bit golden ratio, which spreads neighbouring
	// indexes over the words.
	mixed := (seed + uint64(index)) * 0x9E3779B97F4A7C15
	return " " + engineWords[mixed>>60]
}
