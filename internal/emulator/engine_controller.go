package emulator

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// EngineController decides what an emulated engine does.
type EngineController struct {
	Settings EngineSettings
	Faults   EngineFaults
	// Models maps keys to the models that take memory, and to failed ones.
	Models map[string]*EngineModel
	// Memory and Disk are the caches of checkpoints that are not loaded.
	Memory   EngineCheckpointCache
	Disk     EngineCheckpointCache
	Prefixes EnginePrefixCache
	// Queue is ordered by priority, then arrival.
	Queue   []*EngineRun
	Running []*EngineRun
	// StepAt is when the batch generates its next tokens, zero if none does.
	StepAt time.Time
	// Fence is the highest fence of an accepted order.
	Fence uint64
	// Sequence counts the load reports.
	Sequence uint64
	// Fetches counts the transfers from the weight store.
	Fetches uint64
	// History holds past loads, oldest first, so that reports can lag.
	History []tracker.Report

	loadChanged bool
	effects     []EngineEffect
}

// EngineRun is a generation that waits or runs.
type EngineRun struct {
	EngineJob
	// Seed is the hash of the prompt, which determines the text.
	Seed uint64
	// ReadyAt is when the first token is ready, zero while the run waits.
	ReadyAt time.Time
	// Decoding says that the first token has been generated.
	Decoding bool
	// Next is the index of the next token.
	NextIndex int
	// QuietAt is when a keep-alive line is due.
	KeepAliveAt time.Time
}

// engineKeepAlive is the longest time without a line, from the protocol.
const engineKeepAlive = 500 * time.Millisecond

// NewEngineController returns the controller of an engine.
func NewEngineController(settings EngineSettings) *EngineController {
	settings = settings.withDefaults()
	controller := &EngineController{
		Settings:    settings,
		Models:      map[string]*EngineModel{},
		Memory:      EngineCheckpointCache{LimitMB: settings.CacheMemoryMB, Entries: slices.Clone(settings.CachedMemory)},
		Disk:        EngineCheckpointCache{LimitMB: settings.CacheDiskMB, Entries: slices.Clone(settings.CachedDisk)},
		Prefixes:    EnginePrefixCache{Limit: settings.Prefixes},
		loadChanged: true,
	}
	for _, checkpoint := range settings.Loaded {
		model := newEngineModel(checkpoint.MemoryMB, 0)
		model.State = tracker.Loaded
		for _, adapter := range checkpoint.Adapters {
			model.Adapters[adapter] = &EngineAdapter{State: tracker.Loaded}
		}
		controller.Models[checkpoint.Model] = model
	}
	return controller
}

// Step implements runner.Controller.
func (e *EngineController) Step(now time.Time, message EngineMessage) []EngineEffect {
	e.effects = nil
	e.advance(now)
	switch message := message.(type) {
	case EngineSubmit:
		e.submit(now, message)
	case EngineCancel:
		e.cancel(message.Attempt)
	case EngineSubmitOrder:
		e.handleOrder(now, message)
	case EngineGetReport:
		e.emit(EngineReport{Call: message.Call, Report: e.report(now)})
	case EngineGetEvents:
		last, events := e.Prefixes.EventsSince(message.After, now.Add(-e.Settings.EventDelay), e.Settings.EventGap)
		e.emit(EngineEvents{Call: message.Call, Last: last, Events: events})
	case EngineGetFaults:
		e.emit(EngineCurrentFaults{Call: message.Call, Faults: e.Faults})
	case EngineSetFaults:
		e.Faults, e.loadChanged = message.Faults, true
		e.emit(EngineCurrentFaults{Call: message.Call, Faults: e.Faults})
	case EngineFetched:
		e.finishFetch(now, message)
	case EngineTick:
	}
	e.schedule(now)
	e.recordLoad(now)
	return e.effects
}

// Wake implements runner.Controller.
func (e *EngineController) Wake() time.Time {
	wake := e.StepAt
	for _, run := range e.Running {
		if !run.Decoding {
			wake = engineEarlier(wake, run.ReadyAt)
		}
		wake = engineEarlier(wake, run.KeepAliveAt)
	}
	for _, run := range e.Queue {
		wake = engineEarlier(wake, run.KeepAliveAt)
	}
	for key, model := range e.Models {
		wake = engineEarlier(wake, e.modelWake(key, model))
	}
	return wake
}

func engineEarlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func engineDue(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

func (e *EngineController) emit(effect EngineEffect) { e.effects = append(e.effects, effect) }

// advance brings the state up to date with the time.
func (e *EngineController) advance(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(e.Models)) {
		e.advanceModel(now, key, e.Models[key])
	}
	e.advanceBatch(now)
	for _, run := range slices.Concat(e.Running, e.Queue) {
		if engineDue(run.KeepAliveAt, now) {
			run.KeepAliveAt = now.Add(engineKeepAlive)
			e.emit(EngineEmit{Attempt: run.Attempt, Line: EngineKeepAlive{}})
		}
	}
}

func (e *EngineController) refuse(call runner.Call, status int, reason string) {
	e.emit(EngineRefuse{Call: call, Refusal: EngineRefusal{Status: status, Error: reason}})
}
