package emulator

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// EngineModel is a model that occupies memory of an engine, or one whose load
// failed.
type EngineModel struct {
	MemoryMB int
	State    tracker.State
	// Fence is the fence of the latest load or unload order for the model.
	Fence uint64
	// ReadyAt is when the load or unload ends; zero if neither is in progress,
	// and during a transfer from the weight store.
	ReadyAt time.Time
	// RetryAt is when a throttled transfer is retried.
	RetryAt time.Time
	// FetchID identifies the latest transfer, and FetchAttempts is the number of
	// transfers of this load.
	FetchID       uint64
	FetchAttempts int
	// FullyLoaded reports whether a load has completed. Only then can an unload
	// be reverted, and its checkpoint cached. It is not set for models that are
	// loaded at the start.
	FullyLoaded bool
	// Served is the number of requests accepted since the load.
	Served   uint64
	Adapters map[string]*EngineAdapter
}

// EngineAdapter is an adapter of a model.
type EngineAdapter struct {
	MemoryMB int
	State    tracker.State
	ReadyAt  time.Time
	// Served is the number of requests accepted since the load.
	Served uint64
}

const (
	// maxFetchAttempts is the maximum number of transfers of one load.
	maxFetchAttempts = 6
	// initialFetchRetryDelay is the delay before the second transfer. It doubles
	// for each further one.
	initialFetchRetryDelay = 200 * time.Millisecond
)

func newEngineModel(memoryMB int, fence uint64) *EngineModel {
	return &EngineModel{
		MemoryMB: memoryMB, Fence: fence, State: tracker.Loading, Adapters: map[string]*EngineAdapter{},
	}
}

// usedMB returns the memory of all models and adapters in any state except
// Failed.
func (e *EngineController) usedMB() int {
	used := 0
	for _, model := range e.Models {
		if model.State == tracker.Failed {
			continue
		}
		used += model.MemoryMB
		for _, adapter := range model.Adapters {
			if adapter.State != tracker.Failed {
				used += adapter.MemoryMB
			}
		}
	}
	return used
}

// handleOrder applies or refuses an order. An order with the highest accepted
// fence is a repetition: it is accepted and not applied again.
func (e *EngineController) handleOrder(now time.Time, message EngineSubmitOrder) {
	fence := message.Order.Fence
	switch {
	case e.Faults.RefuseOrders:
		e.refuse(message.Call, engineStatusUnavailable, "Refusing")
	case e.Settings.OrderToken != "" && message.Token != e.Settings.OrderToken:
		e.refuse(message.Call, engineStatusForbidden, "UnknownSender")
	case e.Settings.HonoursFence && fence < e.Fence:
		e.emit(EngineRefuse{Call: message.Call, Refusal: EngineRefusal{
			Status: engineStatusConflict, Error: "StaleFence", Fence: e.Fence,
		}})
	case fence != 0 && fence == e.Fence:
		e.emit(EngineAcceptOrder{Call: message.Call})
	default:
		e.applyOrder(now, message.Call, message.Order)
	}
}

func (e *EngineController) applyOrder(now time.Time, call runner.Call, order EngineOrder) {
	var refusal EngineRefusal
	switch order.Kind {
	case EngineLoadModel:
		refusal = e.loadModel(now, order)
	case EngineUnloadModel:
		e.unloadModel(now, order)
	case EngineLoadAdapter:
		refusal = e.loadAdapter(now, order)
	case EngineUnloadAdapter:
		e.unloadAdapter(now, order)
	case EngineChangeRole:
	default:
		refusal = EngineRefusal{Status: engineStatusBadRequest, Error: "UnknownOrder"}
	}
	if refusal.Status != 0 {
		e.emit(EngineRefuse{Call: call, Refusal: refusal})
		return
	}
	e.Fence = max(e.Fence, order.Fence)
	e.loadChanged = true
	e.emit(EngineAcceptOrder{Call: call})
}

func (e *EngineController) loadModel(now time.Time, order EngineOrder) EngineRefusal {
	model, ok := e.Models[order.Model]
	if ok && model.State != tracker.Failed {
		model.Fence = order.Fence
		if model.State == tracker.Unloading && model.FullyLoaded {
			model.State, model.ReadyAt = tracker.Loaded, time.Time{}
			return EngineRefusal{}
		}
		if model.State != tracker.Unloading {
			return EngineRefusal{}
		}
	}
	unloadingMB := 0
	if ok && model.State == tracker.Unloading {
		unloadingMB = model.MemoryMB
	}
	if e.usedMB()-unloadingMB+order.MemoryMB > e.Settings.MemoryMB {
		return EngineRefusal{Status: engineStatusNoMemory, Error: "NoMemory"}
	}
	model = newEngineModel(order.MemoryMB, order.Fence)
	e.Models[order.Model] = model
	e.startLoad(now, order.Model, model)
	return EngineRefusal{}
}

// startLoad starts to load a model from the fastest tier that holds it.
func (e *EngineController) startLoad(now time.Time, key string, model *EngineModel) {
	cached := func(cache EngineCheckpointCache) bool {
		return slices.ContainsFunc(cache.Entries, func(entry EngineCheckpoint) bool { return entry.Model == key })
	}
	switch {
	case cached(e.Memory):
		model.ReadyAt = now.Add(e.scaleLoadTime(e.Settings.LoadMemory))
	case cached(e.Disk):
		model.ReadyAt = now.Add(e.scaleLoadTime(e.Settings.LoadDisk))
	case e.Settings.WeightStore == "":
		model.ReadyAt = now.Add(e.scaleLoadTime(e.Settings.LoadRemote))
	default:
		e.startFetch(key, model)
	}
}

func (e *EngineController) scaleLoadTime(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * max(1, e.Faults.SlowLoads))
}

func (e *EngineController) startFetch(key string, model *EngineModel) {
	e.Fetches++
	model.FetchID = e.Fetches
	model.FetchAttempts++
	model.RetryAt = time.Time{}
	e.emit(EngineFetch{Model: key, FetchID: model.FetchID, MemoryMB: model.MemoryMB})
}

// finishFetch handles the result of a transfer. It ignores results of earlier
// transfers for the same model.
func (e *EngineController) finishFetch(now time.Time, message EngineFetched) {
	model, ok := e.Models[message.Model]
	if !ok || model.State != tracker.Loading || model.FetchID != message.FetchID {
		return
	}
	switch {
	case message.Result == EngineTransferDone:
		model.ReadyAt = now.Add(e.scaleLoadTime(e.Settings.LoadMemory))
	case message.Result == EngineTransferThrottled && model.FetchAttempts < maxFetchAttempts:
		model.RetryAt = now.Add(initialFetchRetryDelay << (model.FetchAttempts - 1))
	default:
		model.State, e.loadChanged = tracker.Failed, true
	}
}

func (e *EngineController) unloadModel(now time.Time, order EngineOrder) {
	model, ok := e.Models[order.Model]
	switch {
	case !ok:
	case model.State == tracker.Failed:
		delete(e.Models, order.Model)
	case model.State == tracker.Unloading:
		model.Fence = order.Fence
	default:
		model.Fence = order.Fence
		model.State, model.ReadyAt, model.RetryAt = tracker.Unloading, now.Add(e.Settings.Unload), time.Time{}
	}
}

func (e *EngineController) loadAdapter(now time.Time, order EngineOrder) EngineRefusal {
	model, ok := e.Models[order.Model]
	if !ok || model.State != tracker.Loaded {
		return EngineRefusal{Status: engineStatusNotFound, Error: "NotLoaded"}
	}
	adapter, ok := model.Adapters[order.Adapter]
	if ok && adapter.State != tracker.Failed {
		if adapter.State == tracker.Unloading {
			adapter.State, adapter.ReadyAt = tracker.Loaded, time.Time{}
		}
		return EngineRefusal{}
	}
	if e.usedMB()+order.MemoryMB > e.Settings.MemoryMB {
		return EngineRefusal{Status: engineStatusNoMemory, Error: "NoMemory"}
	}
	model.Adapters[order.Adapter] = &EngineAdapter{
		MemoryMB: order.MemoryMB, State: tracker.Loading, ReadyAt: now.Add(e.scaleLoadTime(e.Settings.LoadAdapter)),
	}
	return EngineRefusal{}
}

func (e *EngineController) unloadAdapter(now time.Time, order EngineOrder) {
	model, ok := e.Models[order.Model]
	if !ok {
		return
	}
	if adapter, ok := model.Adapters[order.Adapter]; ok {
		adapter.State, adapter.ReadyAt = tracker.Unloading, now.Add(e.Settings.Unload)
	}
}

// advanceModel completes the loads and unloads and starts the retries that are
// due. An unload waits until no run uses the model.
func (e *EngineController) advanceModel(now time.Time, key string, model *EngineModel) {
	for _, name := range slices.Sorted(maps.Keys(model.Adapters)) {
		e.advanceAdapter(now, key, name)
	}
	switch {
	case engineDue(model.RetryAt, now):
		e.startFetch(key, model)
	case !engineDue(model.ReadyAt, now):
	case model.State == tracker.Loading:
		e.finishLoad(key, model)
	case model.State == tracker.Unloading && !e.inUse(key, ""):
		e.finishUnload(now, key, model)
	}
}

func (e *EngineController) finishLoad(key string, model *EngineModel) {
	model.ReadyAt, e.loadChanged = time.Time{}, true
	if e.Faults.FailLoads {
		model.State = tracker.Failed
		return
	}
	model.State, model.FullyLoaded = tracker.Loaded, true
	e.Memory.Remove(key)
	e.Disk.Remove(key)
}

// finishUnload frees a model's memory and puts its checkpoint into the memory
// cache. Checkpoints that this evicts move to the disk cache.
func (e *EngineController) finishUnload(now time.Time, key string, model *EngineModel) {
	delete(e.Models, key)
	e.Prefixes.RemoveModel(now, key)
	e.loadChanged = true
	if !model.FullyLoaded {
		return
	}
	for _, evicted := range e.Memory.Add(EngineCheckpoint{Model: key, MemoryMB: model.MemoryMB}) {
		e.Disk.Add(evicted)
	}
}

func (e *EngineController) advanceAdapter(now time.Time, key, name string) {
	model := e.Models[key]
	adapter := model.Adapters[name]
	switch {
	case !engineDue(adapter.ReadyAt, now):
	case adapter.State == tracker.Loading:
		adapter.State, adapter.ReadyAt, e.loadChanged = tracker.Loaded, time.Time{}, true
		if e.Faults.FailLoads {
			adapter.State = tracker.Failed
		}
	case adapter.State == tracker.Unloading && !e.inUse(key, name):
		delete(model.Adapters, name)
		e.loadChanged = true
	}
}

// modelWake returns when the state of a model or one of its adapters next
// changes. An unload that waits for runs needs no wake-up, because the run that
// ends causes a step.
func (e *EngineController) modelWake(key string, model *EngineModel) time.Time {
	wake := model.RetryAt
	if model.State != tracker.Unloading || !e.inUse(key, "") {
		wake = engineEarlier(wake, model.ReadyAt)
	}
	for name, adapter := range model.Adapters {
		if adapter.State != tracker.Unloading || !e.inUse(key, name) {
			wake = engineEarlier(wake, adapter.ReadyAt)
		}
	}
	return wake
}
