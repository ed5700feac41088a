package planner

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Tier is the source from which a replica loads the weights of a model.
type Tier int

// The tiers, fastest first.
const (
	FromMemory Tier = iota
	FromDisk
	FromStore
)

// Endpoint is the lease holder's view of a replica of an engine.
type Endpoint struct {
	// Entry is the replica's entry in the store.
	Entry surveyor.Replica
	// Evacuated is set if the data centre of the replica is evacuated.
	Evacuated bool
	// Synced reports whether Models, InMemory and OnDisk match the state of the
	// replica at Sequence.
	Synced   bool
	Sequence uint64
	Models   map[string]*Resident
	// InMemory and OnDisk name the models whose weights are cached in host memory
	// and on disk, most recently used last.
	InMemory, OnDisk []string

	// Sending is the order that has been sent and not yet answered. Running is
	// the accepted load that is in progress.
	Sending *Order
	Running *Operation
	// SendingSize is the size of the model of the latest order that was sent.
	SendingSize Size
	// Queue holds the orders to send after that, in sequence.
	Queue []Order
	// RetryAt is the earliest time to send the next order after a refusal.
	RetryAt time.Time
	// Refusals is the number of consecutive refusals of the first queued order.
	Refusals int
	// Unloading reports whether the last accepted order is the unload of a model,
	// which may still be in progress.
	Unloading bool

	// Reading reports whether a ReadState is in progress. The next one may start
	// at ReadAt.
	Reading bool
	ReadAt  time.Time
	// Silent is set while the replica does not answer reads of its state.
	Silent bool
	// ChangedAt is when the last order was accepted.
	ChangedAt time.Time
}

// Size is the memory that a model takes in a replica.
type Size struct {
	// MemoryMB is that of its weights, and AdapterMB that of each of its adapters.
	MemoryMB, AdapterMB float64
}

// Resident is a model that is loaded in a replica's memory.
type Resident struct {
	// Size is as of the configuration with which the model was loaded. If that is not known, it
	// is the largest size with which it may have been when it was first seen, and zero if the
	// configuration did not list the model then.
	Size Size
	// Adapters holds the time of last use of each loaded adapter.
	Adapters map[string]time.Time
	LoadedAt time.Time
	UsedAt   time.Time
}

// Operation is an order that a replica is executing.
type Operation struct {
	Order
	// Size is as of the configuration with which the order was sent.
	Size Size
	Tier Tier
	// EndsAt is the estimated end.
	EndsAt    time.Time
	StartedAt time.Time
	// ConcurrentStoreLoads is the number of loads from the weight store, this one
	// included, when the operation started.
	ConcurrentStoreLoads int
}

// idle reports whether a sequence of orders may be planned for the endpoint.
func (e *Endpoint) idle() bool {
	return e.Synced && !e.isExcluded() && e.Sending == nil && e.Running == nil && len(e.Queue) == 0
}

// holdsOrLoads reports whether the endpoint has loaded a model, or will have
// after its pending orders.
func (e *Endpoint) holdsOrLoads(model string) bool {
	if e.Models[model] != nil && !e.unloading(model) {
		return true
	}
	return e.loading(model, "")
}

// heldModels returns the models that the endpoint has loaded or will have loaded
// after its pending orders.
func (e *Endpoint) heldModels() []string {
	names := make([]string, 0, len(e.Models)+1)
	for name := range e.Models {
		if !e.unloading(name) {
			names = append(names, name)
		}
	}
	add := func(order Order) {
		if order.Load && order.Adapter == "" {
			names = append(names, order.Model)
		}
	}
	if e.Running != nil {
		add(e.Running.Order)
	}
	if e.Sending != nil {
		add(*e.Sending)
	}
	for _, order := range e.Queue {
		add(order)
	}
	return names
}

func (e *Endpoint) holdsAdapter(model, adapter string) bool {
	if resident := e.Models[model]; resident != nil {
		if _, ok := resident.Adapters[adapter]; ok {
			return true
		}
	}
	return e.loading(model, adapter)
}

func (e *Endpoint) loading(model, adapter string) bool {
	return e.hasOrder(Order{Load: true, Model: model, Adapter: adapter})
}

func (e *Endpoint) unloading(model string) bool {
	return e.hasOrder(Order{Model: model})
}

// hasOrder reports whether an order is queued, sent or being executed. It ignores
// ExpectedSequence.
func (e *Endpoint) hasOrder(order Order) bool {
	same := func(other Order) bool {
		return other.Load == order.Load && other.Model == order.Model && other.Adapter == order.Adapter
	}
	return e.Sending != nil && same(*e.Sending) ||
		e.Running != nil && same(e.Running.Order) ||
		slices.ContainsFunc(e.Queue, same)
}

// tier returns the fastest tier from which the endpoint can load a model.
func (e *Endpoint) tier(model string) Tier {
	switch {
	case slices.Contains(e.InMemory, model):
		return FromMemory
	case slices.Contains(e.OnDisk, model):
		return FromDisk
	}
	return FromStore
}

// storeLoadEndsIn returns the estimated time until the end of the load of a model from the
// weight store, or 0 if the endpoint holds the model or loads a copy of its own.
func (e *Endpoint) storeLoadEndsIn(now time.Time, model resolver.Model) time.Duration {
	switch {
	case e.Models[model.Name] != nil || e.tier(model.Name) != FromStore:
		return 0
	case e.Running != nil && e.Running.Load && e.Running.Model == model.Name:
		return e.busyFor(now)
	}
	return model.StoreLoadTime
}

// busyFor returns the estimated time until the end of the load in progress.
func (e *Endpoint) busyFor(now time.Time) time.Duration {
	if e.Running == nil {
		return 0
	}
	return max(0, e.Running.EndsAt.Sub(now))
}

// loadTime returns the duration of a load from a tier.
func loadTime(model resolver.Model, tier Tier) time.Duration {
	switch tier {
	case FromMemory:
		return model.MemoryLoadTime
	case FromDisk:
		return model.DiskLoadTime
	}
	return model.StoreLoadTime
}

// listedSize returns the size of a model in a configuration, or the zero value if it is not
// listed.
func listedSize(engine *resolver.Engine, name string) Size {
	if engine == nil {
		return Size{}
	}
	model := engine.Models[name]
	return Size{MemoryMB: model.MemoryMB, AdapterMB: model.AdapterMB}
}

// size returns what a loaded model takes. A replica keeps a model that was withdrawn or
// resized as it was loaded. One whose size was never listed may take the whole memory.
func (r *Resident) size(engine *resolver.Engine, name string) Size {
	listed := listedSize(engine, name)
	switch {
	case r.Size != Size{}:
		return Size{MemoryMB: r.Size.MemoryMB, AdapterMB: max(r.Size.AdapterMB, listed.AdapterMB)}
	case listed != Size{}:
		return listed
	}
	return Size{MemoryMB: engine.MemoryMB}
}

// memory returns the memory in MB of a loaded model and its adapters.
func (r *Resident) memory(engine *resolver.Engine, name string) float64 {
	size := r.size(engine, name)
	return size.MemoryMB + size.AdapterMB*float64(len(r.Adapters))
}

// memoryUsed returns the memory in MB of the endpoint's models and adapters,
// including those that are being loaded.
func (e *Endpoint) memoryUsed(engine *resolver.Engine) float64 {
	total := 0.0
	for name, resident := range e.Models {
		total += resident.memory(engine, name)
	}
	if e.Running != nil && e.Running.Load {
		total += orderMemory(e.Running.Size, e.Running.Order)
	}
	if e.Sending != nil && e.Sending.Load {
		total += orderMemory(e.SendingSize, *e.Sending)
	}
	return total
}

// orderMemory returns the memory in MB that an order to load takes.
func orderMemory(size Size, order Order) float64 {
	if order.Adapter != "" {
		return size.AdapterMB
	}
	return size.MemoryMB
}

// adapterCount returns the number of adapters that the endpoint has loaded or is
// loading.
func (e *Endpoint) adapterCount() int {
	count := 0
	for _, resident := range e.Models {
		count += len(resident.Adapters)
	}
	if e.Running != nil && e.Running.Load && e.Running.Adapter != "" {
		count++
	}
	if e.Sending != nil && e.Sending.Load && e.Sending.Adapter != "" {
		count++
	}
	return count
}

// recordCopies records the copies that a load leaves in host memory and on disk.
// Both evict the least recently used copies.
func (e *Endpoint) recordCopies(engine *resolver.Engine, model string) {
	e.InMemory = addCopy(engine, e.InMemory, model, engine.HostMB)
	e.OnDisk = addCopy(engine, e.OnDisk, model, engine.DiskMB)
}

func addCopy(engine *resolver.Engine, copies []string, model string, capacityMB float64) []string {
	copies = slices.DeleteFunc(slices.Clone(copies), func(name string) bool { return name == model })
	copies = append(copies, model)
	total := 0.0
	for _, name := range copies {
		total += engine.Models[name].MemoryMB
	}
	for len(copies) > 1 && total > capacityMB {
		total -= engine.Models[copies[0]].MemoryMB
		copies = copies[1:]
	}
	return copies
}

// applyState replaces the endpoint's state by the replica's own report and drops
// its pending orders. sizeOf returns the size of a model that this node has not had loaded.
func (e *Endpoint) applyState(now time.Time, sizeOf func(model string) Size, state surveyor.Replica) {
	models := make(map[string]*Resident, len(state.Models))
	for _, loaded := range state.Models {
		resident := e.Models[loaded.Name]
		if resident == nil {
			resident = &Resident{Size: sizeOf(loaded.Name), LoadedAt: now, UsedAt: now}
		}
		adapters := make(map[string]time.Time, len(loaded.Adapters))
		for _, name := range loaded.Adapters {
			adapters[name] = resident.Adapters[name]
		}
		resident.Adapters = adapters
		models[loaded.Name] = resident
	}
	for _, pending := range state.Pending {
		if resident := models[pending.Model]; resident != nil && pending.Adapter != "" {
			resident.Adapters[pending.Adapter] = now
		}
	}
	e.Synced, e.Sequence, e.Models = true, state.Sequence, models
	e.InMemory, e.OnDisk = slices.Clone(state.InMemory), slices.Clone(state.OnDisk)
	e.Sending, e.Running, e.Queue, e.Refusals = nil, nil, nil, 0
}

// invalidate marks the state as out of date and drops pending orders, so that the
// replica's own report is read at readAt.
func (e *Endpoint) invalidate(readAt time.Time) {
	e.Synced = false
	e.Running, e.Queue, e.Refusals = nil, nil, 0
	e.ReadAt = readAt
}
