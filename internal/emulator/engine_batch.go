package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// HTTP statuses of refusals. They are repeated here because controllers do not
// import net/http.
const (
	engineStatusBadRequest  = 400
	engineStatusForbidden   = 403
	engineStatusNotFound    = 404
	engineStatusConflict    = 409
	engineStatusUnavailable = 503
	engineStatusNoMemory    = 507
)

// submit queues a generation or refuses it.
func (e *EngineController) submit(now time.Time, message EngineSubmit) {
	job := message.Job
	switch {
	case e.Faults.Refuse != "":
		e.refuse(message.Call, engineStatusUnavailable, e.Faults.Refuse)
	case e.Faults.Leaving:
		e.refuse(message.Call, engineStatusUnavailable, "Leaving")
	case e.findRun(job.Attempt) != nil:
		e.refuse(message.Call, engineStatusBadRequest, "DuplicateAttempt")
	case !e.isLoaded(job):
		e.refuse(message.Call, engineStatusNotFound, "NotLoaded")
	case len(e.Queue) >= e.Settings.Queue:
		e.refuse(message.Call, engineStatusUnavailable, "Full")
	default:
		e.enqueue(now, message)
	}
}

// isLoaded reports whether the model and the adapter of a job are loaded.
func (e *EngineController) isLoaded(job EngineJob) bool {
	model, ok := e.Models[job.Model]
	if !ok || model.State != tracker.Loaded {
		return false
	}
	if job.Adapter == "" {
		return true
	}
	adapter, ok := model.Adapters[job.Adapter]
	return ok && adapter.State == tracker.Loaded
}

func (e *EngineController) enqueue(now time.Time, message EngineSubmit) {
	run := &EngineRun{
		EngineJob:   message.Job,
		Seed:        xxhash.Sum64String(message.Job.Prompt),
		NextIndex:   message.Job.From,
		KeepAliveAt: now.Add(engineKeepAlive),
	}
	// Insert after all runs of the same priority, which keeps the order of
	// arrival among them.
	index, _ := slices.BinarySearchFunc(e.Queue, run.Priority+1, func(queued *EngineRun, priority int) int {
		return cmp.Compare(queued.Priority, priority)
	})
	e.Queue = slices.Insert(e.Queue, index, run)
	e.countServed(run)
	fault, after := e.nextFault()
	e.emit(EngineAccept{
		Call: message.Call, Attempt: run.Attempt, MaxTokens: e.answerLength(run) - run.From, Fault: fault, After: after,
	})
}

// countServed adds a request to the counters of its model and adapter.
func (e *EngineController) countServed(run *EngineRun) {
	e.loadChanged = true
	model := e.Models[run.Model]
	model.Served++
	if adapter, ok := model.Adapters[run.Adapter]; ok {
		adapter.Served++
	}
}

// countRuns returns the number of queued and running generations that use a
// model or, if adapter is not empty, one of its adapters.
func (e *EngineController) countRuns(model, adapter string) int {
	count := 0
	for _, run := range slices.Concat(e.Running, e.Queue) {
		if run.Model == model && (adapter == "" || run.Adapter == adapter) {
			count++
		}
	}
	return count
}

// nextFault returns the fault to inject into the next answer and counts it
// against EngineFaults.Streams.
func (e *EngineController) nextFault() (EngineStreamFault, int) {
	fault, after := e.Faults.Stream, e.Faults.After
	if e.Faults.Streams > 0 {
		e.Faults.Streams--
		if e.Faults.Streams == 0 {
			e.Faults.Stream, e.Faults.After = "", 0
		}
	}
	return fault, after
}

func (e *EngineController) findRun(attempt string) *EngineRun {
	for _, runs := range [][]*EngineRun{e.Running, e.Queue} {
		for _, run := range runs {
			if run.Attempt == attempt {
				return run
			}
		}
	}
	return nil
}

// inUse reports whether a queued or running generation uses a model and, if
// adapter is not empty, that adapter.
func (e *EngineController) inUse(model, adapter string) bool {
	matches := func(run *EngineRun) bool {
		return run.Model == model && (adapter == "" || run.Adapter == adapter)
	}
	return slices.ContainsFunc(e.Running, matches) || slices.ContainsFunc(e.Queue, matches)
}

func (e *EngineController) cancel(attempt string) {
	if e.findRun(attempt) != nil {
		e.endRun(attempt)
	}
}

// endRun removes a run and closes its answer.
func (e *EngineController) endRun(attempt string) {
	matches := func(run *EngineRun) bool { return run.Attempt == attempt }
	e.Running = slices.DeleteFunc(e.Running, matches)
	e.Queue = slices.DeleteFunc(e.Queue, matches)
	e.loadChanged = true
	e.emit(EngineEnd{Attempt: attempt})
}

// schedule moves queued runs into the free slots of the batch.
func (e *EngineController) schedule(now time.Time) {
	for len(e.Queue) > 0 && len(e.Running) < e.Settings.Slots {
		run := e.Queue[0]
		e.Queue = slices.Delete(e.Queue, 0, 1)
		run.ReadyAt = now.Add(e.timeToFirstToken(run))
		e.Running = append(e.Running, run)
		e.loadChanged = true
	}
}

// timeToFirstToken returns the time from the start of a run to its first token.
// A resumed run prefills its earlier tokens together with the prompt.
func (e *EngineController) timeToFirstToken(run *EngineRun) time.Duration {
	prefillTokens := float64(run.PromptTokens)
	if e.Prefixes.Contains(EngineCachedPrefix{Model: run.Model, Prefix: run.Prefix}) {
		prefillTokens *= 1 - e.Settings.CachedShare
	}
	prefillTokens += float64(run.From)
	return e.Settings.FirstToken + time.Duration(prefillTokens*float64(e.Settings.PromptToken))
}

// tokenInterval returns the time between tokens at a batch size.
func (e *EngineController) tokenInterval(batchSize int) time.Duration {
	growth := 1 + e.Settings.BatchGrowth*float64(max(0, batchSize-1))
	return time.Duration(float64(e.Settings.Interval) * growth)
}

// advanceBatch generates the tokens that are due and schedules the next step.
func (e *EngineController) advanceBatch(now time.Time) {
	stepDue := engineDue(e.StepAt, now)
	for _, run := range slices.Clone(e.Running) {
		switch {
		case run.Decoding && stepDue:
			e.generateToken(now, run)
		case !run.Decoding && engineDue(run.ReadyAt, now):
			run.Decoding = true
			e.Prefixes.Touch(now, EngineCachedPrefix{Model: run.Model, Prefix: run.Prefix})
			e.generateToken(now, run)
		}
	}
	decoding := 0
	for _, run := range e.Running {
		if run.Decoding {
			decoding++
		}
	}
	switch {
	case decoding == 0:
		e.StepAt = time.Time{}
	case stepDue || e.StepAt.IsZero():
		e.StepAt = now.Add(e.tokenInterval(decoding))
	}
}

// answerLength returns the number of tokens of a run's whole answer, including
// those before a resumption.
func (e *EngineController) answerLength(run *EngineRun) int {
	length := run.MaxTokens
	if e.Settings.AnswerTokens > 0 {
		length = min(length, e.Settings.AnswerTokens)
	}
	return max(length, run.From)
}

func (e *EngineController) generateToken(now time.Time, run *EngineRun) {
	if run.NextIndex < e.answerLength(run) {
		e.emit(EngineEmit{Attempt: run.Attempt, Line: EngineToken{Index: run.NextIndex, Text: engineWord(run.Seed, run.NextIndex)}})
		run.NextIndex++
		run.KeepAliveAt = now.Add(engineKeepAlive)
	}
	if run.NextIndex < e.answerLength(run) {
		return
	}
	reason := "length"
	if run.NextIndex < run.MaxTokens {
		reason = "stop"
	}
	e.emit(EngineEmit{Attempt: run.Attempt, Line: EngineDone{
		PromptTokens: run.PromptTokens, CompletionTokens: run.NextIndex, FinishReason: reason,
	}})
	e.endRun(run.Attempt)
}
