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
// decided, against more decided than configured, and against overcommitted
// memory, whatever the network, the object API, the lease, the endpoints and
// strangers do. At the end it checks that a model that is asked for is loaded
// once the faults stop.
func TestPlacementInvariants(t *testing.T) {
	tester.Check(t, 6, func(t *rapid.T) {
		w := newWorld(t)
		steps := rapid.IntRange(20, 60).Draw(t, "steps")
		for range steps {
			w.act(rapid.SampledFrom(actions).Draw(t, "action"))
			w.check()
			w.advance(w.milliseconds("advance", 10, 1500))
		}
		w.heal()
	})
}

var actions = []string{
	"demand", "demand", "demand", "demand", "report", "report", "report", "report", "old report",
	"lease", "lease", "lease", "renew", "renew", "pause", "resume", "restart", "reclaim", "add",
	"withdraw", "stranger",
}

func (w *world) act(action string) {
	h := w.placers[rapid.IntRange(0, 1).Draw(w.t, "host")]
	switch action {
	case "demand":
		w.demand()
	case "report":
		for _, h := range w.placers {
			w.report(h)
		}
	case "old report":
		w.oldReport(h)
	case "lease":
		w.takeLease()
	case "renew":
		w.renew()
	case "pause":
		h.paused = true
	case "resume":
		w.resume(h)
	case "restart":
		w.restart(w.anyEngine())
	case "reclaim":
		w.reclaim(w.anyEngine())
	case "add":
		w.addEngine()
		w.list++
		h.lag = w.now.Add(w.milliseconds("lag", 0, 15_000))
	case "withdraw":
		w.withdraw()
	case "stranger":
		w.stranger(w.anyEngine())
	}
}

func (w *world) demand() {
	key := rapid.SampledFrom(slices.Sorted(maps.Keys(w.configuration.Models))).Draw(w.t, "model")
	demand := Demand{
		Node: "n", Model: key, Waiting: rapid.IntRange(0, 3).Draw(w.t, "waiting"),
		Class:            rapid.SampledFrom([]filter.Class{filter.Interactive, filter.Deferred}).Draw(w.t, "class"),
		EarliestDeadline: w.now.Add(time.Second),
	}
	if key == "m0@1" && rapid.Bool().Draw(w.t, "adapter") {
		demand.Adapter = "a@1"
	}
	for _, h := range w.placers {
		w.tell(h, demand)
	}
}

// report makes a report of every endpoint, which reaches a placer later.
func (w *world) report(h *host) {
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[name]
		e.sequence++
		report := w.snapshot(e)
		w.after(w.milliseconds("report", 1, 1000), func() {
			endpoint, ok := h.known[name]
			if !ok || (endpoint.Report != nil && endpoint.Report.Measured.After(report.Measured)) {
				return
			}
			endpoint.Report = report
			h.known[name] = endpoint
			w.tellFleet(h)
		})
	}
	w.after(w.milliseconds("list", 1, 1500), func() { w.learnList(h) })
}

func (w *world) snapshot(e *engine) *tracker.Report {
	report := &tracker.Report{
		Endpoint: e.instance.Name, Sequence: e.sequence, Measured: w.now, Slots: 4,
		MemoryMB: e.instance.MemoryMB, UsedMB: e.usedMB(), Fence: e.fence,
	}
	for _, key := range slices.SortedFunc(maps.Keys(e.held), compareKeys) {
		h := e.held[key]
		if key.Adapter == "" {
			report.Models = append(report.Models, tracker.ModelState{Model: key.Model, State: h.state})
			continue
		}
		last := len(report.Models) - 1
		if last >= 0 && report.Models[last].Model == key.Model {
			report.Models[last].Adapters = append(report.Models[last].Adapters,
				tracker.AdapterState{Adapter: key.Adapter, State: h.state})
		}
	}
	return report
}

// oldReport tells a placer of a fleet in which reports were overtaken.
func (w *world) oldReport(h *host) {
	fleet := w.fleet(h)
	w.after(w.milliseconds("old report", 10, 5000), func() {
		// A view with one version of the list has that version's endpoints.
		if fleet.ListVersion == h.list {
			w.tell(h, FleetChanged{Fleet: fleet})
		}
	})
}

func (w *world) fleet(h *host) tracker.Fleet {
	fleet := tracker.Fleet{ListVersion: h.list}
	for _, name := range slices.Sorted(maps.Keys(h.known)) {
		fleet.Endpoints = append(fleet.Endpoints, h.known[name])
	}
	return fleet
}

func (w *world) tellFleet(h *host) {
	w.tell(h, FleetChanged{Fleet: w.fleet(h)})
}

func (w *world) learnList(h *host) {
	if !w.calm && w.now.Before(h.lag) {
		return
	}
	next := map[string]tracker.Endpoint{}
	for name, e := range w.engines {
		next[name] = tracker.Endpoint{Instance: e.instance, Report: h.known[name].Report}
	}
	h.list, h.known = w.list, next
	w.tellFleet(h)
}

// takeLease gives the lease to the other host once it has ended.
func (w *world) takeLease() {
	if w.now.Before(w.until) {
		w.advance(w.until.Sub(w.now))
	}
	w.holder = rapid.IntRange(0, 1).Draw(w.t, "holder")
	w.epoch++
	w.hold()
}

func (w *world) hold() {
	h := w.placers[w.holder]
	w.until = w.now.Add(3 * time.Second)
	w.tell(h, LeaseHeld{Epoch: w.epoch, Until: w.until})
}

func (w *world) renew() {
	if w.holder >= 0 && w.now.Before(w.until) && !w.placers[w.holder].paused {
		w.hold()
	}
}

func (w *world) resume(h *host) {
	h.paused = false
	queue := h.queue
	h.queue = nil
	for _, message := range queue {
		w.tell(h, message)
	}
}

func (w *world) anyEngine() *engine {
	names := slices.Sorted(maps.Keys(w.engines))
	if len(names) == 0 {
		return nil
	}
	return w.engines[rapid.SampledFrom(names).Draw(w.t, "engine")]
}

func (w *world) restart(e *engine) {
	if e == nil {
		return
	}
	e.run++
	e.fence, e.sequence, e.held = 0, 0, map[Key]*held{}
}

func (w *world) reclaim(e *engine) {
	if e == nil {
		return
	}
	e.gone = true
	delete(w.engines, e.instance.Name)
	w.list++
}

// withdraw takes a model out of force, or puts all back.
func (w *world) withdraw() {
	next := *w.configuration
	next.Version++
	next.Models = maps.Clone(next.Models)
	if len(next.Models) == 4 {
		delete(next.Models, rapid.SampledFrom([]string{"m1@1", "m2@1"}).Draw(w.t, "withdrawn"))
	} else {
		next.Models["m1@1"] = releaser.Model{Name: "m1", Version: "1", MemoryMB: 20, Replicas: 1}
		next.Models["m2@1"] = releaser.Model{Name: "m2", Version: "1", MemoryMB: 30, Replicas: 2}
	}
	w.configuration = &next
	for _, h := range w.placers {
		w.after(w.milliseconds("configuration", 1, 1000), func() {
			w.tell(h, ConfigurationChanged{Configuration: &next})
		})
	}
}

// stranger loads a model at an endpoint that does not check its orders.
func (w *world) stranger(e *engine) {
	if e == nil || e.instance.HonoursFence {
		return
	}
	key := Key{Model: "x@1"}
	if e.has(key) || e.usedMB()+10 > e.instance.MemoryMB {
		return
	}
	e.stranger = true
	e.held[key] = &held{state: tracker.Loaded, memoryMB: 10, stranger: true}
}

// check is the oracle.
func (w *world) check() {
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[name]
		for key, h := range e.held {
			if h.stranger || h.state == tracker.Failed {
				continue
			}
			if _, ok := w.object.Endpoints[name].Find(key); !ok {
				w.t.Fatalf("%s: %s has %s %s, which is not decided: %v, %s", w.since(), name, shortKey(key), h.state, shortEntries(w.object), w.state())
			}
		}
		if !e.stranger && e.usedMB() > e.instance.MemoryMB {
			w.t.Fatalf("%s: %s uses %d of %d MB", w.since(), name, e.usedMB(), e.instance.MemoryMB)
		}
		if reserved := w.object.Endpoints[name].ReservedMB(); !e.stranger && reserved > e.instance.MemoryMB {
			w.t.Fatalf("%s: %s has %d of %d MB reserved", w.since(), name, reserved, e.instance.MemoryMB)
		}
	}
	for model, count := range w.object.Replicas() {
		if limit := replicas[model]; count > limit && model != "x@1" {
			w.t.Fatalf("%s: %d replicas of %s are decided, at most %d are allowed: %v", w.since(), count, model, limit, shortEntries(w.object))
		}
	}
}

var replicas = map[string]int{"m0@1": 1, "m1@1": 1, "m2@1": 2, "m3@1": 3}

// checkOrder checks that an order goes out under a valid lease and after its
// decision was written.
func (w *world) checkOrder(order Order) {
	if !w.now.Before(order.Until) {
		w.t.Fatalf("%s: %s %s goes out after the lease ended", w.since(), order.Kind, shortFence(order.Fence))
	}
	if !w.written[decision{Place{order.Endpoint, order.Key}, order.Fence}] {
		w.t.Fatalf("%s: %s %s goes out before its decision was written", w.since(), order.Kind, shortFence(order.Fence))
	}
}

func (w *world) since() time.Duration { return w.now.Sub(tester.Start) }

// heal stops all faults and expects a model that is asked for to be loaded.
func (w *world) heal() {
	w.calm = true
	for _, h := range w.placers {
		w.resume(h)
	}
	for len(w.engines) < 2 {
		w.addEngine()
	}
	w.list++
	w.takeLeaseCalmly()
	for range 3 * 60 * 4 {
		w.renew()
		for _, h := range w.placers {
			w.report(h)
			w.tell(h, Demand{Node: "n", Model: "m0@1", Class: filter.Assured, Waiting: 1, EarliestDeadline: w.now.Add(time.Minute)})
		}
		w.advance(250 * time.Millisecond)
		if w.loaded("m0@1") {
			return
		}
	}
	w.t.Fatalf("%s: m0@1 is not loaded long after all faults: %v, %s", w.since(), shortEntries(w.object), w.state())
}

func (w *world) takeLeaseCalmly() {
	w.advance(max(0, w.until.Sub(w.now)))
	w.holder = 0
	w.epoch++
	w.hold()
}

func (w *world) loaded(model string) bool {
	for _, e := range w.engines {
		if h, ok := e.held[Key{Model: model}]; ok && h.state == tracker.Loaded {
			return true
		}
	}
	return false
}

func (w *world) state() string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[name]
		text += fmt.Sprintf("%s fence %s:", name, shortFence(e.fence))
		for _, key := range slices.SortedFunc(maps.Keys(e.held), compareKeys) {
			text += fmt.Sprintf(" %s=%s", shortKey(key), e.held[key].state)
		}
		text += "; "
	}
	return text
}
