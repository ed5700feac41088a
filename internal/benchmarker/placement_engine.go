package benchmarker

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// executeOrder executes an order on its engine.
func (s *placementSimulation) executeOrder(order placer.Order) {
	index := slices.IndexFunc(s.engines, func(e *placementEngine) bool { return e.instance.Name == order.Endpoint })
	engine := s.engines[index]
	engine.fence = max(engine.fence, order.Fence)
	switch order.Kind {
	case placer.LoadModel:
		s.load(engine, order)
	case placer.UnloadModel:
		s.unload(engine, order.Key.Model)
	}
	s.reportsChanged = true
	s.step(placer.OrderAnswered{Endpoint: order.Endpoint, Key: order.Key, Fence: order.Fence, Outcome: placer.Accepted})
}

func (s *placementSimulation) load(engine *placementEngine, order placer.Order) {
	if s.now >= s.warmUp {
		s.row.Loads++
	}
	name := order.Key.Model
	model := &placementModel{state: tracker.Loading, memoryMB: order.MemoryMB}
	engine.models[name] = model
	speed := s.loadSpeeds[engine.tier(name)]
	s.schedule(time.Duration(float64(order.MemoryMB)/speed*float64(time.Second)), func() {
		if engine.models[name] != model || model.state != tracker.Loading {
			return
		}
		model.state, model.idleSince = tracker.Loaded, s.now
		s.reportsChanged = true
		for _, arrival := range s.waiting[name] {
			s.serve(model, arrival)
		}
		delete(s.waiting, name)
		s.reportDemand(name)
	})
}

func (s *placementSimulation) unload(engine *placementEngine, name string) {
	model, ok := engine.models[name]
	if !ok {
		return
	}
	s.recordIdleTime(model)
	model.state = tracker.Unloading
	engine.cacheCheckpoint(name)
	s.schedule(simulatedUnloadTime, func() {
		if engine.models[name] == model {
			delete(engine.models, name)
		}
		s.reportsChanged = true
	})
}

// cacheCheckpoint marks the checkpoint of an unloaded model as cached.
func (e *placementEngine) cacheCheckpoint(name string) {
	e.cached = slices.DeleteFunc(e.cached, func(other string) bool { return other == name })
	e.cached = slices.Insert(e.cached, 0, name)
	e.cached = e.cached[:min(len(e.cached), maxDiskCheckpoints)]
}

func (e *placementEngine) tier(name string) tracker.Tier {
	index := slices.Index(e.cached, name)
	switch {
	case index < 0:
		return tracker.Remote
	case index < maxMemoryCheckpoints:
		return tracker.Memory
	default:
		return tracker.Disk
	}
}

// deliverReports delivers the reports of all engines to the placer if they have
// changed or the last delivery is older than simulatedReportRefresh.
func (s *placementSimulation) deliverReports() {
	if s.reportsChanged || s.now-s.reportedAt >= simulatedReportRefresh || s.reportedAt == 0 {
		s.reportsChanged, s.reportedAt = false, s.now
		fleet := tracker.Fleet{ListVersion: 1}
		for _, engine := range s.engines {
			fleet.Endpoints = append(fleet.Endpoints, tracker.Endpoint{Instance: engine.instance, Report: s.report(engine)})
		}
		s.step(placer.FleetChanged{Fleet: fleet})
	}
	s.schedule(simulatedReportInterval, s.deliverReports)
}

func (s *placementSimulation) report(engine *placementEngine) *tracker.Report {
	engine.sequence++
	report := &tracker.Report{
		Endpoint: engine.instance.Name, Sequence: engine.sequence, Measured: s.currentTime(),
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
