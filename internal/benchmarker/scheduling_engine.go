package benchmarker

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	engineCount = 12
	engineSlots = 8
	// slowestTokensPerSecond is the decode rate of a single request on the
	// slowest engines.
	slowestTokensPerSecond = 12.5
	// enginePrefill is the ratio of the prefill rate to the decode rate.
	enginePrefill = 40
	// batchSlowdown is the relative slowdown per additional running request.
	batchSlowdown = 0.05
	// prefillOverhead is the fixed cost of a first token, in prompt tokens.
	prefillOverhead = 64
)

// schedulingEngine is a simple model of a batching engine. Up to engineSlots
// requests run; the others wait in order of priority, then arrival.
type schedulingEngine struct {
	name            string
	tokensPerSecond float64 // of a single request
	models          []tracker.ModelState
	running         int
	waiting         []*schedulingRequest
	cache           emulator.EnginePrefixCache
	// lastSentEvent is the sequence number of the last cache event sent to the
	// nodes.
	lastSentEvent uint64
}

func newEngines() []*schedulingEngine {
	var engines []*schedulingEngine
	for index := range engineCount {
		engines = append(engines, &schedulingEngine{
			name:            string(rune('a' + index)),
			cache:           emulator.EnginePrefixCache{Limit: enginePrefixes},
			tokensPerSecond: slowestTokensPerSecond * float64(int(1)<<(index%3)),
			models: []tracker.ModelState{
				{Model: schedulingModelName(index / 3), State: tracker.Loaded},
				{Model: schedulingModelName(index/3 + 1), State: tracker.Loaded},
			},
		})
	}
	return engines
}

func schedulingModelName(index int) string {
	return []string{"model-0@1", "model-1@1", "model-2@1"}[index%modelCount]
}

func (e *schedulingEngine) hasModel(model string) bool {
	return slices.ContainsFunc(e.models, func(state tracker.ModelState) bool { return state.Model == model })
}

func (e *schedulingEngine) report(now time.Time) *tracker.Report {
	return &tracker.Report{
		Endpoint: e.name, Measured: now, Queued: len(e.waiting), Running: e.running,
		Slots: engineSlots, TokensPerSecond: e.tokensPerSecond, Models: e.models,
	}
}

// enqueue adds a request to an engine's queue. Requests that were refused
// are ignored.
func (s *schedulingSimulation) enqueue(e *schedulingEngine, r *schedulingRequest) {
	if !r.refusedAt.IsZero() {
		return
	}
	r.engine = e
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].slot.Priority > r.slot.Priority {
		position--
	}
	e.waiting = slices.Insert(e.waiting, position, r)
	s.startWaiting(e)
	s.maxQueued = max(s.maxQueued, len(e.waiting))
}

// startWaiting starts waiting requests while slots are free.
func (s *schedulingSimulation) startWaiting(e *schedulingEngine) {
	for e.running < engineSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		r.running = true
		slowdown := 1 + batchSlowdown*float64(e.running-1)
		prefill := durationOfSeconds(slowdown * (prefillOverhead + e.prefillTokens(r)) / (e.tokensPerSecond * enginePrefill))
		decode := durationOfSeconds(slowdown * float64(r.admission.MaxTokens) / e.tokensPerSecond)
		s.schedule(s.now.Add(prefill), func() { s.recordFirstToken(r) })
		s.schedule(s.now.Add(prefill+decode), func() { s.complete(r) })
	}
}

func (s *schedulingSimulation) recordFirstToken(r *schedulingRequest) {
	if r.refusedAt.IsZero() {
		r.firstToken = s.now
	}
	if r.admission.Prefix != 0 {
		r.engine.cache.Touch(s.now, cachedPrefix(r))
	}
}

func (s *schedulingSimulation) complete(r *schedulingRequest) {
	if r.running {
		s.removeFromEngine(r)
	}
}

// removeFromEngine removes a completed or expired request from its engine.
func (s *schedulingSimulation) removeFromEngine(r *schedulingRequest) {
	e := r.engine
	if r.running {
		r.running = false
		e.running--
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(other *schedulingRequest) bool { return other == r })
	}
	s.attained[r.admission.Workspace] += float64(r.admission.PromptTokens + r.admission.MaxTokens)
	s.startWaiting(e)
	s.release(r)
}

func durationOfSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
