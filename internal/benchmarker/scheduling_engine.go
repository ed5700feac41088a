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
	// slowestTokens is the tokens a second of one request alone on the
	// slowest engines.
	slowestTokens = 12.5
	// prefillFactor is how much faster prompts are read.
	enginePrefill = 40
	// batchCost is how much each further running request slows the others.
	batchCost = 0.05
	// promptStart is the fixed work of a first token, in prompt tokens.
	promptStart = 64
)

// engine is a simple model of a batching engine: up to engineSlots requests
// run, the others wait by priority and arrival.
type engine struct {
	name    string
	tokens  float64 // a second, for one request alone
	models  []tracker.ModelState
	running int
	waiting []*request
	cache   emulator.EnginePrefixCache
	// told is the newest cache event that the nodes were told.
	told uint64
}

func newEngines() []*engine {
	var engines []*engine
	for index := range engineCount {
		engines = append(engines, &engine{
			name:   string(rune('a' + index)),
			cache:  emulator.EnginePrefixCache{Limit: enginePrefixes},
			tokens: slowestTokens * float64(int(1)<<(index%3)),
			models: []tracker.ModelState{
				{Model: modelName(index / 3), State: tracker.Loaded},
				{Model: modelName(index/3 + 1), State: tracker.Loaded},
			},
		})
	}
	return engines
}

func modelName(index int) string {
	return []string{"model-0@1", "model-1@1", "model-2@1"}[index%modelCount]
}

func (e *engine) has(model string) bool {
	return slices.ContainsFunc(e.models, func(state tracker.ModelState) bool { return state.Model == model })
}

func (e *engine) report(now time.Time) *tracker.Report {
	return &tracker.Report{
		Endpoint: e.name, Measured: now, Queued: len(e.waiting), Running: e.running,
		Slots: engineSlots, TokensPerSecond: e.tokens, Models: e.models,
	}
}

// take receives a request.
func (s *simulation) take(e *engine, r *request) {
	if !r.ended.IsZero() {
		return
	}
	r.engine = e
	place := len(e.waiting)
	for place > 0 && e.waiting[place-1].slot.Priority > r.slot.Priority {
		place--
	}
	e.waiting = slices.Insert(e.waiting, place, r)
	s.begin(e)
	s.mostQueued = max(s.mostQueued, len(e.waiting))
}

// begin runs waiting requests while there are slots.
func (s *simulation) begin(e *engine) {
	for e.running < engineSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		r.running = true
		slow := 1 + batchCost*float64(e.running-1)
		prefill := seconds(slow * (promptStart + e.promptWork(r)) / (e.tokens * enginePrefill))
		decode := seconds(slow * float64(r.admission.MaxTokens) / e.tokens)
		s.at(s.now.Add(prefill), func() { s.firstToken(r) })
		s.at(s.now.Add(prefill+decode), func() { s.complete(r) })
	}
}

func (s *simulation) firstToken(r *request) {
	if r.ended.IsZero() {
		r.first = s.now
	}
	if r.admission.Prefix != 0 {
		r.engine.cache.Touch(s.now, cachedPrefix(r))
	}
}

func (s *simulation) complete(r *request) {
	if r.running {
		s.leave(r)
	}
}

// leave takes a request off its engine, when it is complete or given up.
func (s *simulation) leave(r *request) {
	e := r.engine
	if r.running {
		r.running = false
		e.running--
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(other *request) bool { return other == r })
	}
	s.attained[r.admission.Workspace] += float64(r.admission.PromptTokens + r.admission.MaxTokens)
	s.begin(e)
	s.released(r)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
