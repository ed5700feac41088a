package placer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// TestPlacementInvariants guards against more replicas loaded or loading than
// decided, more replicas decided than configured, and overcommitted memory,
// under faults of the network, the object API, the lease and the endpoints,
// and orders from other senders. At the end it checks that a requested model
// is loaded once the faults stop.
func TestPlacementInvariants(t *testing.T) {
	tester.Check(t, 6, func(t *rapid.T) {
		s := newSimulation(t)
		steps := rapid.IntRange(20, 60).Draw(t, "steps")
		for range steps {
			s.performAction(rapid.SampledFrom(actions).Draw(t, "action"))
			s.checkInvariants()
			s.advance(s.drawDelay("advance", 10, 1500))
		}
		s.checkRecovery()
	})
}

var actions = []string{
	"demand", "demand", "demand", "demand", "report", "report", "report", "report", "old report",
	"lease", "lease", "lease", "renew", "renew", "pause", "resume", "restart", "reclaim", "add",
	"withdraw", "load unmanaged",
}

func (s *simulation) performAction(action string) {
	n := s.nodes[rapid.IntRange(0, 1).Draw(s.t, "node")]
	switch action {
	case "demand":
		s.demand()
	case "report":
		for _, n := range s.nodes {
			s.report(n)
		}
	case "old report":
		s.oldReport(n)
	case "lease":
		s.transferLease()
	case "renew":
		s.renew()
	case "pause":
		n.paused = true
	case "resume":
		s.resume(n)
	case "restart":
		s.restart(s.anyEngine())
	case "reclaim":
		s.reclaim(s.anyEngine())
	case "add":
		s.addEngine()
		s.listVersion++
		n.listLagUntil = s.now.Add(s.drawDelay("lag", 0, 15_000))
	case "withdraw":
		s.withdraw()
	case "load unmanaged":
		s.loadUnmanaged(s.anyEngine())
	}
}

func (s *simulation) demand() {
	key := rapid.SampledFrom(slices.Sorted(maps.Keys(s.configuration.Models))).Draw(s.t, "model")
	demand := Demand{
		Node: "n", Model: key, Waiting: rapid.IntRange(0, 3).Draw(s.t, "waiting"),
		Class:            rapid.SampledFrom([]filter.Class{filter.Interactive, filter.Deferred}).Draw(s.t, "class"),
		EarliestDeadline: s.now.Add(time.Second),
	}
	if key == "m0@1" && rapid.Bool().Draw(s.t, "adapter") {
		demand.Adapter = "a@1"
	}
	for _, n := range s.nodes {
		s.deliver(n, demand)
	}
}

// report takes a report of every endpoint and delivers it to a placer after a
// delay.
func (s *simulation) report(n *node) {
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[name]
		e.sequence++
		report := s.snapshot(e)
		s.schedule(s.drawDelay("report", 1, 1000), func() {
			endpoint, ok := n.endpoints[name]
			if !ok || (endpoint.Report != nil && endpoint.Report.Measured.After(report.Measured)) {
				return
			}
			endpoint.Report = report
			n.endpoints[name] = endpoint
			s.deliverFleet(n)
		})
	}
	s.schedule(s.drawDelay("list", 1, 1500), func() { s.refreshList(n) })
}

func (s *simulation) snapshot(e *engine) *tracker.Report {
	report := &tracker.Report{
		Endpoint: e.instance.Name, Sequence: e.sequence, Measured: s.now, Slots: 4,
		MemoryMB: e.instance.MemoryMB, UsedMB: e.usedMB(), Fence: e.fence,
	}
	for _, key := range slices.SortedFunc(maps.Keys(e.items), compareKeys) {
		item := e.items[key]
		if key.Adapter == "" {
			report.Models = append(report.Models, tracker.ModelState{Model: key.Model, State: item.state})
			continue
		}
		last := len(report.Models) - 1
		if last >= 0 && report.Models[last].Model == key.Model {
			report.Models[last].Adapters = append(report.Models[last].Adapters,
				tracker.AdapterState{Adapter: key.Adapter, State: item.state})
		}
	}
	return report
}

// oldReport delivers a fleet with reports that newer ones have overtaken.
func (s *simulation) oldReport(n *node) {
	fleet := s.fleet(n)
	s.schedule(s.drawDelay("old report", 10, 5000), func() {
		// A view with a given list version contains exactly that version's
		// endpoints.
		if fleet.ListVersion == n.listVersion {
			s.deliver(n, FleetChanged{Fleet: fleet})
		}
	})
}

func (s *simulation) fleet(n *node) tracker.Fleet {
	fleet := tracker.Fleet{ListVersion: n.listVersion}
	for _, name := range slices.Sorted(maps.Keys(n.endpoints)) {
		fleet.Endpoints = append(fleet.Endpoints, n.endpoints[name])
	}
	return fleet
}

func (s *simulation) deliverFleet(n *node) {
	s.deliver(n, FleetChanged{Fleet: s.fleet(n)})
}

func (s *simulation) refreshList(n *node) {
	if !s.faultFree && s.now.Before(n.listLagUntil) {
		return
	}
	next := map[string]tracker.Endpoint{}
	for name, e := range s.engines {
		next[name] = tracker.Endpoint{Instance: e.instance, Report: n.endpoints[name].Report}
	}
	n.listVersion, n.endpoints = s.listVersion, next
	s.deliverFleet(n)
}

// transferLease grants the lease, once it has expired, to a node drawn at
// random, under a new epoch.
func (s *simulation) transferLease() {
	if s.now.Before(s.leaseUntil) {
		s.advance(s.leaseUntil.Sub(s.now))
	}
	s.holder = rapid.IntRange(0, 1).Draw(s.t, "holder")
	s.epoch++
	s.grantLease()
}

func (s *simulation) grantLease() {
	n := s.nodes[s.holder]
	s.leaseUntil = s.now.Add(3 * time.Second)
	s.deliver(n, LeaseHeld{Epoch: s.epoch, Until: s.leaseUntil})
}

func (s *simulation) renew() {
	if s.holder >= 0 && s.now.Before(s.leaseUntil) && !s.nodes[s.holder].paused {
		s.grantLease()
	}
}

func (s *simulation) resume(n *node) {
	n.paused = false
	queue := n.queue
	n.queue = nil
	for _, message := range queue {
		s.deliver(n, message)
	}
}

func (s *simulation) anyEngine() *engine {
	names := slices.Sorted(maps.Keys(s.engines))
	if len(names) == 0 {
		return nil
	}
	return s.engines[rapid.SampledFrom(names).Draw(s.t, "engine")]
}

func (s *simulation) restart(e *engine) {
	if e == nil {
		return
	}
	e.run++
	e.fence, e.sequence, e.items = 0, 0, map[Key]*loadedItem{}
}

func (s *simulation) reclaim(e *engine) {
	if e == nil {
		return
	}
	e.reclaimed = true
	delete(s.engines, e.instance.Name)
	s.listVersion++
}

// withdraw removes a model from the configuration, or restores all models.
func (s *simulation) withdraw() {
	next := *s.configuration
	next.Version++
	next.Models = maps.Clone(next.Models)
	if len(next.Models) == 4 {
		delete(next.Models, rapid.SampledFrom([]string{"m1@1", "m2@1"}).Draw(s.t, "withdrawn"))
	} else {
		next.Models["m1@1"] = releaser.Model{Name: "m1", Version: "1", MemoryMB: 20, Replicas: 1}
		next.Models["m2@1"] = releaser.Model{Name: "m2", Version: "1", MemoryMB: 30, Replicas: 2}
	}
	s.configuration = &next
	for _, n := range s.nodes {
		s.schedule(s.drawDelay("configuration", 1, 1000), func() {
			s.deliver(n, ConfigurationChanged{Configuration: &next})
		})
	}
}

// loadUnmanaged loads a model at an endpoint that ignores fences, without an
// order from either placer.
func (s *simulation) loadUnmanaged(e *engine) {
	if e == nil || e.instance.HonoursFence {
		return
	}
	key := Key{Model: "x@1"}
	if e.holds(key) || e.usedMB()+10 > e.instance.MemoryMB {
		return
	}
	e.hasUnmanaged = true
	e.items[key] = &loadedItem{state: tracker.Loaded, memoryMB: 10, unmanaged: true}
}

// checkInvariants fails the test if an engine holds something that is not
// decided, if memory is overcommitted, or if too many replicas are decided.
func (s *simulation) checkInvariants() {
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[name]
		for key, item := range e.items {
			if item.unmanaged || item.state == tracker.Failed {
				continue
			}
			if _, ok := s.object.Endpoints[name].Find(key); !ok {
				s.t.Fatalf("%s: %s has %s %s, which is not decided: %v, %s", s.elapsed(), name, formatKey(key), item.state, formatEntries(s.object), s.describeEngines())
			}
		}
		if !e.hasUnmanaged && e.usedMB() > e.instance.MemoryMB {
			s.t.Fatalf("%s: %s uses %d of %d MB", s.elapsed(), name, e.usedMB(), e.instance.MemoryMB)
		}
		if reserved := s.object.Endpoints[name].ReservedMB(); !e.hasUnmanaged && reserved > e.instance.MemoryMB {
			s.t.Fatalf("%s: %s has %d of %d MB reserved", s.elapsed(), name, reserved, e.instance.MemoryMB)
		}
	}
	for model, count := range s.object.Replicas() {
		if limit := replicas[model]; count > limit && model != "x@1" {
			s.t.Fatalf("%s: %d replicas of %s are decided, at most %d are allowed: %v", s.elapsed(), count, model, limit, formatEntries(s.object))
		}
	}
}

var replicas = map[string]int{"m0@1": 1, "m1@1": 1, "m2@1": 2, "m3@1": 3}

// checkOrder checks that an order is sent under a valid lease and after its
// decision was written.
func (s *simulation) checkOrder(order Order) {
	if !s.now.Before(order.Until) {
		s.t.Fatalf("%s: %s %s sent after the lease expired", s.elapsed(), order.Kind, formatFence(order.Fence))
	}
	if !s.written[writtenDecision{EntryID{order.Endpoint, order.Key}, order.Fence}] {
		s.t.Fatalf("%s: %s %s sent before its decision was written", s.elapsed(), order.Kind, formatFence(order.Fence))
	}
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(tester.Start) }

// checkRecovery stops all faults and checks that a requested model gets
// loaded.
func (s *simulation) checkRecovery() {
	s.faultFree = true
	for _, n := range s.nodes {
		s.resume(n)
	}
	for len(s.engines) < 2 {
		s.addEngine()
	}
	s.listVersion++
	s.transferLeaseWithoutFaults()
	for range 3 * 60 * 4 {
		s.renew()
		for _, n := range s.nodes {
			s.report(n)
			s.deliver(n, Demand{Node: "n", Model: "m0@1", Class: filter.Assured, Waiting: 1, EarliestDeadline: s.now.Add(time.Minute)})
		}
		s.advance(250 * time.Millisecond)
		if s.loaded("m0@1") {
			return
		}
	}
	s.t.Fatalf("%s: m0@1 is not loaded 3 minutes after all faults stopped: %v, %s", s.elapsed(), formatEntries(s.object), s.describeEngines())
}

func (s *simulation) transferLeaseWithoutFaults() {
	s.advance(max(0, s.leaseUntil.Sub(s.now)))
	s.holder = 0
	s.epoch++
	s.grantLease()
}

func (s *simulation) loaded(model string) bool {
	for _, e := range s.engines {
		if item, ok := e.items[Key{Model: model}]; ok && item.state == tracker.Loaded {
			return true
		}
	}
	return false
}

func (s *simulation) describeEngines() string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[name]
		text += fmt.Sprintf("%s fence %s:", name, formatFence(e.fence))
		for _, key := range slices.SortedFunc(maps.Keys(e.items), compareKeys) {
			text += fmt.Sprintf(" %s=%s", formatKey(key), e.items[key].state)
		}
		text += "; "
	}
	return text
}
