package placer

import (
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// The size of the large fleet is that of section 1.4 of the design: one placer
// in each of 11 regions.
const (
	largeFleetEndpoints = 10_000
	largeFleetRegions   = 11
	largeFleetModels    = 83
	largeFleetAdapters  = 2_800
)

// largeFleet returns a placer that holds its lease in a region of the large
// fleet, with the view of the fleet and the decided state. Every endpoint has
// one model, and every fifth replica has an adapter.
func largeFleet() (*Placer, tracker.Fleet, Placement) {
	models, adapters := map[string]releaser.Model{}, map[string]releaser.Adapter{}
	for i := range largeFleetModels {
		name := fmt.Sprintf("m%02d", i)
		models[name+"@1"] = releaser.Model{MemoryMB: 40_000, Replicas: 200}
	}
	for i := range largeFleetAdapters {
		name := fmt.Sprintf("a%04d", i)
		adapters[name+"@1"] = releaser.Adapter{Model: fmt.Sprintf("m%02d", i%largeFleetModels), ModelVersion: "1", MemoryMB: 100}
	}
	fleet := tracker.Fleet{ListVersion: 1}
	placement := Placement{Endpoints: map[string]EndpointPlacement{}}
	for i := range largeFleetEndpoints {
		name, model := fmt.Sprintf("e%05d", i), fmt.Sprintf("m%02d@1", i%(largeFleetModels-1))
		region := fmt.Sprintf("r%02d", i%largeFleetRegions)
		entries := []Entry{{Key: Key{Model: model}, MemoryMB: 40_000, Fence: Fence(1, 1), State: tracker.Loaded}}
		state := tracker.ModelState{Model: model, State: tracker.Loaded, Running: 1}
		if i%5 == 0 {
			adapter := fmt.Sprintf("a%04d@1", i%(largeFleetModels-1))
			entries = append(entries, Entry{Key: Key{Model: model, Adapter: adapter}, MemoryMB: 100, Fence: Fence(1, 1), State: tracker.Loaded})
			state.Adapters = []tracker.AdapterState{{Adapter: adapter, State: tracker.Loaded, Running: 1}}
		}
		fleet.Endpoints = append(fleet.Endpoints, tracker.Endpoint{
			Instance: tracker.Instance{Name: name, Kind: tracker.Engine, Region: region, Phase: tracker.Live, MemoryMB: 640_000, HonoursFence: true},
			Report:   &tracker.Report{Sequence: 1, Measured: tester.Start.Add(time.Second), Fence: Fence(1, 1), Slots: 16, Running: 1, UsedMB: 40_100, Models: []tracker.ModelState{state}},
		})
		if region == "r00" {
			placement.Endpoints[name] = EndpointPlacement{MemoryMB: 640_000, Entries: entries}
		}
	}
	settings := DefaultSettings("r00", 3)
	settings.Regions = nil
	for i := range largeFleetRegions {
		settings.Regions = append(settings.Regions, fmt.Sprintf("r%02d", i))
	}
	p := New(settings)
	p.Step(tester.Start, ConfigurationChanged{Configuration: newConfiguration(1, models, adapters)})
	p.Step(tester.Start, LeaseHeld{Epoch: 2, Until: tester.Start.Add(1e6 * time.Hour)})
	p.Step(tester.Start, ObjectRead{Ticket: p.Ticket, Version: 1, Placement: placement})
	p.Step(tester.Start.Add(time.Second), FleetChanged{Fleet: fleet})
	return p, fleet, placement
}

// BenchmarkStepTick measures a plan that changes nothing.
func BenchmarkStepTick(b *testing.B) {
	p, _, _ := largeFleet()
	now := tester.Start.Add(time.Second)
	for b.Loop() {
		p.PlanAt = now
		p.Step(now, Tick{})
	}
}

// BenchmarkStepFleet measures a new view of all 10,000 endpoints, which
// arrives at most four times a second.
func BenchmarkStepFleet(b *testing.B) {
	p, fleet, _ := largeFleet()
	now := tester.Start.Add(time.Second)
	for b.Loop() {
		p.Step(now, FleetChanged{Fleet: fleet})
	}
}

// BenchmarkStepDemand measures repeated demand, which arrives from every node
// of the region every second while requests wait.
func BenchmarkStepDemand(b *testing.B) {
	p, _, _ := largeFleet()
	now := tester.Start.Add(time.Second)
	demand := Demand{Node: "n", Model: "m00@1", Class: filter.Interactive, Waiting: 1, EarliestDeadline: now}
	for b.Loop() {
		p.Step(now, demand)
	}
}

// BenchmarkStepFirstDemand measures the first demand for a model without a
// replica: a plan with a choice among 909 endpoints, and a write.
func BenchmarkStepFirstDemand(b *testing.B) {
	p, _, _ := largeFleet()
	now := tester.Start.Add(time.Second)
	demand := Demand{Node: "n", Model: "m82@1", Class: filter.Interactive, Waiting: 1, EarliestDeadline: now}
	for b.Loop() {
		p.Phase, p.StorePermits = Ready, Bucket{Tokens: 1}
		clear(p.Demands)
		if effects := p.Step(now, demand); len(effects) == 0 {
			b.Fatal("the first demand for m82@1 led to no write")
		}
	}
}

// BenchmarkEncode measures the encoding of the stored object and reports its
// size.
func BenchmarkEncode(b *testing.B) {
	_, _, placement := largeFleet()
	size := 0
	for b.Loop() {
		size = len(Encode(placement))
	}
	b.ReportMetric(float64(size), "bytes/object")
}
