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

// world is a simple model of what surrounds two placers of one region: the
// object, the lease, endpoints, and a network that delays, duplicates and
// reorders.
type world struct {
	t      *rapid.T
	now    time.Time
	events []event
	order  int
	calm   bool

	version uint64
	object  Placement
	epoch   uint64
	holder  int
	until   time.Time

	placers []*host
	engines map[string]*engine
	list    uint64
	created int

	configuration *releaser.Configuration
	// written are all decisions that the object ever held.
	written map[decision]bool
}

type decision struct {
	Place
	fence uint64
}

// host is a node with a placer.
type host struct {
	placer *Placer
	paused bool
	queue  []Message
	list   uint64
	known  map[string]tracker.Endpoint
	// lag is until when the host gets no new instance list.
	lag time.Time
}

type event struct {
	at    time.Time
	order int
	run   func()
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: tester.Start, engines: map[string]*engine{}, list: 1, holder: -1,
		object:  Placement{Endpoints: map[string]EndpointPlacement{}},
		written: map[decision]bool{},
	}
	models := map[string]releaser.Model{}
	for at, replicas := range []int{1, 1, 2, 3} {
		name := fmt.Sprintf("m%d", at)
		models[name+"@1"] = releaser.Model{Name: name, Version: "1", MemoryMB: 10 + 10*at, Replicas: replicas}
	}
	adapters := map[string]releaser.Adapter{
		"a@1": {Name: "a", Version: "1", Model: "m0", ModelVersion: "1", MemoryMB: 5},
	}
	w.configuration = &releaser.Configuration{Version: 1, Models: models, Adapters: adapters}
	for range 4 {
		w.addEngine()
	}
	for range 2 {
		settings := DefaultSettings("r", 5)
		// A short time makes releases of idle models part of the mix.
		settings.Policy = predictor.FixedTime{Keep: 5 * time.Second}
		h := &host{placer: New(settings), known: map[string]tracker.Endpoint{}}
		w.placers = append(w.placers, h)
	}
	for _, h := range w.placers {
		w.learnList(h)
		w.tell(h, ConfigurationChanged{Configuration: w.configuration})
	}
	return w
}

func (w *world) addEngine() {
	w.created++
	name := fmt.Sprintf("e%02d", w.created)
	w.engines[name] = &engine{
		instance: tracker.Instance{
			Name: name, Kind: tracker.Engine, Region: "r", Phase: tracker.Live,
			MemoryMB:     rapid.SampledFrom([]int{30, 45, 60}).Draw(w.t, "memory"),
			HonoursFence: w.created%2 == 1, ChecksOrders: true,
		},
		held: map[Key]*held{},
	}
}

func (w *world) after(delay time.Duration, run func()) {
	w.order++
	w.events = append(w.events, event{w.now.Add(delay), w.order, run})
}

// milliseconds draws a delay; in calm times the shortest is used.
func (w *world) milliseconds(label string, low, high int) time.Duration {
	if w.calm {
		return time.Duration(low) * time.Millisecond
	}
	return time.Duration(rapid.IntRange(low, high).Draw(w.t, label)) * time.Millisecond
}

// advance runs everything that is due within a duration, in order.
func (w *world) advance(duration time.Duration) {
	end := w.now.Add(duration)
	for {
		next, wake := w.nextEvent(), w.nextWake()
		switch {
		case next >= 0 && !w.events[next].at.After(end) && (wake == nil || !w.events[next].at.After(w.wakeTime(wake))):
			due := w.events[next]
			w.events = slices.Delete(w.events, next, next+1)
			w.now = due.at
			due.run()
		case wake != nil && !w.wakeTime(wake).After(end):
			w.now = w.wakeTime(wake)
			w.tell(wake, Tick{})
		default:
			w.now = end
			return
		}
		w.check()
	}
}

func (w *world) nextEvent() int {
	best := -1
	for at, candidate := range w.events {
		if best < 0 || candidate.at.Before(w.events[best].at) ||
			(candidate.at.Equal(w.events[best].at) && candidate.order < w.events[best].order) {
			best = at
		}
	}
	return best
}

func (w *world) nextWake() *host {
	var best *host
	for _, h := range w.placers {
		if h.paused || h.placer.Wake().IsZero() {
			continue
		}
		if best == nil || h.placer.Wake().Before(best.placer.Wake()) {
			best = h
		}
	}
	return best
}

func (w *world) wakeTime(h *host) time.Time {
	if wake := h.placer.Wake(); wake.After(w.now) {
		return wake
	}
	return w.now.Add(time.Millisecond)
}

func (w *world) tell(h *host, message Message) {
	if h.paused {
		h.queue = append(h.queue, message)
		return
	}
	for _, effect := range h.placer.Step(w.now, message) {
		w.perform(h, effect)
	}
}

func (w *world) perform(h *host, effect Effect) {
	switch effect := effect.(type) {
	case ReadObject:
		w.after(w.milliseconds("read", 5, 300), func() {
			read := ObjectRead{Ticket: effect.Ticket, Version: w.version, Placement: w.object}
			w.after(w.milliseconds("read reply", 5, 300), func() { w.tell(h, read) })
		})
	case WriteObject:
		w.write(h, effect)
	case SendOrder:
		w.checkOrder(effect.Order)
		w.send(h, effect.Order)
	case Publish:
	}
}

func (w *world) write(h *host, effect WriteObject) {
	kind := "fine"
	if !w.calm {
		kind = rapid.SampledFrom([]string{"fine", "fine", "fine", "fine", "reply lost", "late", "never", "refused"}).Draw(w.t, "write")
	}
	uncertain := func() { w.tell(h, WriteUncertain{Ticket: effect.Ticket, Detail: kind}) }
	switch kind {
	case "fine":
		w.after(w.milliseconds("write", 5, 500), func() {
			var reply Message = WriteFailed{Ticket: effect.Ticket, Conflict: true}
			if w.update(effect) {
				reply = ObjectWritten{Ticket: effect.Ticket, Version: w.version}
			}
			w.after(w.milliseconds("write reply", 5, 500), func() { w.tell(h, reply) })
		})
	case "reply lost":
		w.after(w.milliseconds("write", 5, 500), func() { w.update(effect) })
		w.after(time.Second, uncertain)
	case "late":
		w.after(w.milliseconds("late write", 1500, 8000), func() { w.update(effect) })
		w.after(time.Second, uncertain)
	case "never":
		w.after(time.Second, uncertain)
	case "refused":
		w.after(w.milliseconds("refusal", 5, 500), func() { w.tell(h, WriteFailed{Ticket: effect.Ticket}) })
	}
}

func (w *world) update(effect WriteObject) bool {
	if effect.IfVersion != w.version {
		return false
	}
	w.version++
	w.object = effect.Placement
	for name, endpoint := range w.object.Endpoints {
		for _, entry := range endpoint.Entries {
			w.written[decision{Place{name, entry.Key}, entry.Fence}] = true
		}
	}
	return true
}

// send carries an order to its endpoint, once or twice. At an endpoint that
// ignores fences it arrives within the time that section 11 of the design
// allows: the sender checks the lease again before it sends, and an order is
// at most OrderTimeout on its way. At the others it may arrive much later.
func (w *world) send(h *host, order Order) {
	e, ok := w.engines[order.Endpoint]
	if !ok || e.gone {
		w.after(10*time.Millisecond, func() { w.tell(h, answerTo(order, NotSent)) })
		return
	}
	w.after(2*time.Second, func() { w.tell(h, answerTo(order, Uncertain)) })
	run, copies := e.run, 1
	if !w.calm {
		copies = rapid.IntRange(0, 2).Draw(w.t, "copies")
	}
	for range copies {
		w.after(w.orderDelay(h, e, order), func() {
			if e.gone || (e.instance.HonoursFence && e.run != run) {
				return
			}
			outcome := w.take(e, order)
			w.after(w.milliseconds("answer", 1, 300), func() { w.tell(h, answerTo(order, outcome)) })
		})
	}
}

func (w *world) orderDelay(h *host, e *engine, order Order) time.Duration {
	delay := w.milliseconds("order", 1, 60_000)
	if !w.calm && rapid.Bool().Draw(w.t, "fast") {
		delay = w.milliseconds("fast order", 1, 300)
	}
	if e.instance.HonoursFence {
		return delay
	}
	limit := order.Until.Add(h.placer.Settings.OrderTimeout).Sub(w.now) - time.Millisecond
	return min(delay, limit)
}

func answerTo(order Order, outcome Outcome) OrderAnswered {
	return OrderAnswered{Endpoint: order.Endpoint, Key: order.Key, Fence: order.Fence, Outcome: outcome}
}
