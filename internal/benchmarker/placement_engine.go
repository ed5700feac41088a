package benchmarker

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// take carries out an order at its engine.
func (s *placementSimulation) take(order placer.Order) {
	at := slices.IndexFunc(s.engines, func(e *simulatedEngine) bool { return e.instance.Name == order.Endpoint })
	engine := s.engines[at]
	engine.fence = max(engine.fence, order.Fence)
	switch order.Kind {
	case placer.LoadModel:
		s.load(engine, order)
	case placer.UnloadModel:
		s.unload(engine, order.Key.Model)
	}
	s.changed = true
	s.tell(placer.OrderAnswered{Endpoint: order.Endpoint, Key: order.Key, Fence: order.Fence, Outcome: placer.Accepted})
}

func (s *placementSimulation) load(engine *simulatedEngine, order placer.Order) {
	if s.now >= s.warmUp {
		s.row.Loads++
	}
	name := order.Key.Model
	model := &simulatedModel{state: tracker.Loading, memoryMB: order.MemoryMB}
	engine.models[name] = model
	speed := s.speeds[engine.tier(name)]
	s.after(time.Duration(float64(order.MemoryMB)/speed*float64(time.Second)), func() {
		if engine.models[name] != model || model.state != tracker.Loading {
			return
		}
		model.state, model.idleSince = tracker.Loaded, s.now
		s.changed = true
		for _, arrival := range s.waiting[name] {
			s.serve(model, arrival)
		}
		delete(s.waiting, name)
		s.demand(name)
	})
}

func (s *placementSimulation) unload(engine *simulatedEngine, name string) {
	model, ok := engine.models[name]
	if !ok {
		return
	}
	s.endIdle(model)
	model.state = tracker.Unloading
	engine.keep(name)
	s.after(simulatedUnload, func() {
		if engine.models[name] == model {
			delete(engine.models, name)
		}
		s.changed = true
	})
}

// keep notes that the checkpoint of an unloaded model stays cached.
func (e *simulatedEngine) keep(name string) {
	e.cached = slices.DeleteFunc(e.cached, func(other string) bool { return other == name })
	e.cached = slices.Insert(e.cached, 0, name)
	e.cached = e.cached[:min(len(e.cached), diskModels)]
}

func (e *simulatedEngine) tier(name string) tracker.Tier {
	at := slices.Index(e.cached, name)
	switch {
	case at < 0:
		return tracker.Remote
	case at < memoryModels:
		return tracker.Memory
	default:
		return tracker.Disk
	}
}

// poll delivers the reports of all engines if they changed or are old.
func (s *placementSimulation) poll() {
	if s.changed || s.now-s.told >= simulatedRefresh || s.told == 0 {
		s.changed, s.told = false, s.now
		fleet := tracker.Fleet{ListVersion: 1}
		for _, engine := range s.engines {
			fleet.Endpoints = append(fleet.Endpoints, tracker.Endpoint{Instance: engine.instance, Report: s.report(engine)})
		}
		s.tell(placer.FleetChanged{Fleet: fleet})
	}
	s.after(simulatedPoll, s.poll)
}

func (s *placementSimulation) report(engine *simulatedEngine) *tracker.Report {
	engine.sequence++
	report := &tracker.Report{
		Endpoint: engine.instance.Name, Sequence: engine.sequence, Measured: s.time(),
		Slots: 16, MemoryMB: engine.instance.MemoryMB, Fence: engine.fence,
	}
	for _, name := range slices.Sorted(maps.Keys(engine.models)) {
		model := engine.models[name]
		report.Running += model.running
		report.UsedMB += model.memoryMB
		report.Models = append(report.Models, tracker.ModelState{
			Model: name, State: model.state, Running: model.running, Served: model.served,
		})
	}
	for _, name := range engine.cached {
		report.Cached = append(report.Cached, tracker.CachedModel{Model: name, Tier: engine.tier(name)})
	}
	return report
}
