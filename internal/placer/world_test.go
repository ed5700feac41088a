package placer

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// simulation models the environment of two placers of one region: the stored
// object, the lease, the endpoints, and a network that delays, duplicates and
// reorders messages.
type simulation struct {
	t          *rapid.T
	now        time.Time
	events     []event
	eventCount int
	faultFree  bool

	objectVersion uint64
	object        Placement
	epoch         uint64
	holder        int
	leaseUntil    time.Time

	nodes          []*node
	engines        map[string]*engine
	listVersion    uint64
	enginesCreated int

	configuration *releaser.Configuration
	// written holds all decisions that the object has ever contained.
	written map[writtenDecision]bool
}

type writtenDecision struct {
	EntryID
	fence uint64
}

// node simulates a node with a placer.
type node struct {
	placer      *Placer
	paused      bool
	queue       []Message
	listVersion uint64
	endpoints   map[string]tracker.Endpoint
	// Until listLagUntil, the node receives no new instance list.
	listLagUntil time.Time
}

type event struct {
	dueAt    time.Time
	sequence int
	run      func()
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: tester.Start, engines: map[string]*engine{}, listVersion: 1, holder: -1,
		object:  Placement{Endpoints: map[string]EndpointPlacement{}},
		written: map[writtenDecision]bool{},
	}
	models := map[string]releaser.Model{}
	for i, replicas := range []int{1, 1, 2, 3} {
		name := fmt.Sprintf("m%d", i)
		models[name+"@1"] = releaser.Model{Name: name, Version: "1", MemoryMB: 10 + 10*i, Replicas: replicas}
	}
	adapters := map[string]releaser.Adapter{
		"a@1": {Name: "a", Version: "1", Model: "m0", ModelVersion: "1", MemoryMB: 5},
	}
	s.configuration = &releaser.Configuration{Version: 1, Models: models, Adapters: adapters}
	for range 4 {
		s.addEngine()
	}
	for range 2 {
		settings := DefaultSettings("r", 5)
		// A short keep time makes the placers unload idle models during the
		// test.
		settings.Policy = predictor.FixedTime{Keep: 5 * time.Second}
		n := &node{placer: New(settings), endpoints: map[string]tracker.Endpoint{}}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.refreshList(n)
		s.deliver(n, ConfigurationChanged{Configuration: s.configuration})
	}
	return s
}

func (s *simulation) addEngine() {
	s.enginesCreated++
	name := fmt.Sprintf("e%02d", s.enginesCreated)
	s.engines[name] = &engine{
		instance: tracker.Instance{
			Name: name, Kind: tracker.Engine, Region: "r", Phase: tracker.Live,
			MemoryMB:     rapid.SampledFrom([]int{30, 45, 60}).Draw(s.t, "memory"),
			HonoursFence: s.enginesCreated%2 == 1, ChecksOrders: true,
		},
		items: map[Key]*loadedItem{},
	}
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.eventCount++
	s.events = append(s.events, event{s.now.Add(delay), s.eventCount, run})
}

// drawDelay draws a delay in milliseconds, or returns the shortest one while
// no faults are simulated.
func (s *simulation) drawDelay(label string, low, high int) time.Duration {
	if s.faultFree {
		return time.Duration(low) * time.Millisecond
	}
	return time.Duration(rapid.IntRange(low, high).Draw(s.t, label)) * time.Millisecond
}

// advance runs all events and ticks that are due within a duration, in order
// of time.
func (s *simulation) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for {
		eventIndex, nodeToWake := s.nextEventIndex(), s.nextNodeToWake()
		switch {
		case eventIndex >= 0 && !s.events[eventIndex].dueAt.After(end) && (nodeToWake == nil || !s.events[eventIndex].dueAt.After(s.wakeTime(nodeToWake))):
			due := s.events[eventIndex]
			s.events = slices.Delete(s.events, eventIndex, eventIndex+1)
			s.now = due.dueAt
			due.run()
		case nodeToWake != nil && !s.wakeTime(nodeToWake).After(end):
			s.now = s.wakeTime(nodeToWake)
			s.deliver(nodeToWake, Tick{})
		default:
			s.now = end
			return
		}
		s.checkInvariants()
	}
}

func (s *simulation) nextEventIndex() int {
	best := -1
	for i, candidate := range s.events {
		if best < 0 || candidate.dueAt.Before(s.events[best].dueAt) ||
			(candidate.dueAt.Equal(s.events[best].dueAt) && candidate.sequence < s.events[best].sequence) {
			best = i
		}
	}
	return best
}

func (s *simulation) nextNodeToWake() *node {
	var best *node
	for _, n := range s.nodes {
		if n.paused || n.placer.Wake().IsZero() {
			continue
		}
		if best == nil || n.placer.Wake().Before(best.placer.Wake()) {
			best = n
		}
	}
	return best
}

func (s *simulation) wakeTime(n *node) time.Time {
	if wake := n.placer.Wake(); wake.After(s.now) {
		return wake
	}
	return s.now.Add(time.Millisecond)
}

func (s *simulation) deliver(n *node, message Message) {
	if n.paused {
		n.queue = append(n.queue, message)
		return
	}
	for _, effect := range n.placer.Step(s.now, message) {
		s.performEffect(n, effect)
	}
}

func (s *simulation) performEffect(n *node, effect Effect) {
	switch effect := effect.(type) {
	case ReadObject:
		s.schedule(s.drawDelay("read", 5, 300), func() {
			read := ObjectRead{Ticket: effect.Ticket, Version: s.objectVersion, Placement: s.object}
			s.schedule(s.drawDelay("read reply", 5, 300), func() { s.deliver(n, read) })
		})
	case WriteObject:
		s.write(n, effect)
	case SendOrder:
		s.checkOrder(effect.Order)
		s.send(n, effect.Order)
	case Publish:
	}
}

func (s *simulation) write(n *node, effect WriteObject) {
	kind := "fine"
	if !s.faultFree {
		kind = rapid.SampledFrom([]string{"fine", "fine", "fine", "fine", "reply lost", "late", "never", "refused"}).Draw(s.t, "write")
	}
	uncertain := func() { s.deliver(n, WriteUncertain{Ticket: effect.Ticket, Detail: kind}) }
	switch kind {
	case "fine":
		s.schedule(s.drawDelay("write", 5, 500), func() {
			var reply Message = WriteFailed{Ticket: effect.Ticket, Conflict: true}
			if s.applyWrite(effect) {
				reply = ObjectWritten{Ticket: effect.Ticket, Version: s.objectVersion}
			}
			s.schedule(s.drawDelay("write reply", 5, 500), func() { s.deliver(n, reply) })
		})
	case "reply lost":
		s.schedule(s.drawDelay("write", 5, 500), func() { s.applyWrite(effect) })
		s.schedule(time.Second, uncertain)
	case "late":
		s.schedule(s.drawDelay("late write", 1500, 8000), func() { s.applyWrite(effect) })
		s.schedule(time.Second, uncertain)
	case "never":
		s.schedule(time.Second, uncertain)
	case "refused":
		s.schedule(s.drawDelay("refusal", 5, 500), func() { s.deliver(n, WriteFailed{Ticket: effect.Ticket}) })
	}
}

func (s *simulation) applyWrite(effect WriteObject) bool {
	if effect.IfVersion != s.objectVersion {
		return false
	}
	s.objectVersion++
	s.object = effect.Placement
	for name, endpoint := range s.object.Endpoints {
		for _, entry := range endpoint.Entries {
			s.written[writtenDecision{EntryID{name, entry.Key}, entry.Fence}] = true
		}
	}
	return true
}

// send delivers an order to its endpoint up to twice. At an endpoint that
// ignores fences it arrives within the time given by section 11 of the design:
// the sender checks the lease again before it sends, and an order is in flight
// for at most OrderTimeout. At the others it may arrive much later.
func (s *simulation) send(n *node, order Order) {
	e, ok := s.engines[order.Endpoint]
	if !ok || e.reclaimed {
		s.schedule(10*time.Millisecond, func() { s.deliver(n, orderAnswer(order, NotSent)) })
		return
	}
	s.schedule(2*time.Second, func() { s.deliver(n, orderAnswer(order, Uncertain)) })
	run, copies := e.run, 1
	if !s.faultFree {
		copies = rapid.IntRange(0, 2).Draw(s.t, "copies")
	}
	for range copies {
		s.schedule(s.orderDelay(n, e, order), func() {
			if e.reclaimed || (e.instance.HonoursFence && e.run != run) {
				return
			}
			outcome := s.executeOrder(e, order)
			s.schedule(s.drawDelay("answer", 1, 300), func() { s.deliver(n, orderAnswer(order, outcome)) })
		})
	}
}

func (s *simulation) orderDelay(n *node, e *engine, order Order) time.Duration {
	delay := s.drawDelay("order", 1, 60_000)
	if !s.faultFree && rapid.Bool().Draw(s.t, "fast") {
		delay = s.drawDelay("fast order", 1, 300)
	}
	if e.instance.HonoursFence {
		return delay
	}
	limit := order.Until.Add(n.placer.Settings.OrderTimeout).Sub(s.now) - time.Millisecond
	return min(delay, limit)
}

func orderAnswer(order Order, outcome Outcome) OrderAnswered {
	return OrderAnswered{Endpoint: order.Endpoint, Key: order.Key, Fence: order.Fence, Outcome: outcome}
}
