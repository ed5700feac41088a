package emulator

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// EngineController is the state machine of an emulated engine.
type EngineController struct {
	Settings EngineSettings
	Faults   EngineFaults
	// Models maps model keys to the models that occupy memory and to those
	// whose load failed.
	Models map[string]*EngineModel
	// Memory and Disk cache the checkpoints of models that are not loaded.
	Memory   EngineCheckpointCache
	Disk     EngineCheckpointCache
	Prefixes EnginePrefixCache
	// Queue is ordered by priority, lowest value first, then by arrival.
	Queue   []*EngineRun
	Running []*EngineRun
	// StepAt is when the batch generates its next tokens; zero if no run is
	// decoding.
	StepAt time.Time
	// Fence is the highest fence of an accepted order.
	Fence uint64
	// Sequence is the sequence number of the latest load report.
	Sequence uint64
	// Fetches counts the transfers from the weight store.
	Fetches uint64
	// History holds snapshots of the load, oldest first, from which reports that
	// lag are taken.
	History []tracker.Report

	loadChanged bool
	effects     []EngineEffect
}

// EngineRun is a generation that is queued or running.
type EngineRun struct {
	EngineJob
	// Seed is the hash of the prompt, which determines the text.
	Seed uint64
	// ReadyAt is when the first token is ready; zero while the run is queued.
	ReadyAt time.Time
	// Decoding reports whether the first token has been generated.
	Decoding bool
	// NextIndex is the index of the next token.
	NextIndex int
	// KeepAliveAt is when the next keep-alive line is due.
	KeepAliveAt time.Time
}

// engineKeepAlive is the longest time between two lines of an answer. The
// protocol sets it.
const engineKeepAlive = 500 * time.Millisecond

// NewEngineController returns a controller in the initial state that settings
// describe.
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

// advance applies the loads, tokens and keep-alives that are due at now.
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
