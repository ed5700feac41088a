package benchmarker

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	// acceleratorMB is the memory of one accelerator.
	acceleratorMB = 40_000
	// simulatedCall is a call of the object API or an order.
	simulatedCall = 5 * time.Millisecond
	// simulatedUnload is the time of an unload.
	simulatedUnload = 300 * time.Millisecond
	// simulatedPoll is how often changed reports reach the placer, and
	// simulatedRefresh how often unchanged ones do.
	simulatedPoll    = 250 * time.Millisecond
	simulatedRefresh = 2 * time.Second
	// diskModels and memoryModels are the checkpoints that an engine keeps.
	diskModels   = 5
	memoryModels = 1
)

var placementStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// placementSimulation drives a real Placer with simple engines.
type placementSimulation struct {
	placer  *placer.Placer
	now     time.Duration
	events  simulatedEvents
	order   int
	version uint64
	object  placer.Placement
	engines []*simulatedEngine
	waiting map[string][]placementArrival
	warmUp  time.Duration
	changed bool
	told    time.Duration
	cold    *hdrhistogram.Histogram
	all     *hdrhistogram.Histogram
	row     PlacementRow
	speeds  map[tracker.Tier]float64
}

// simulatedEngine is an endpoint of the simulation.
type simulatedEngine struct {
	instance tracker.Instance
	sequence uint64
	fence    uint64
	models   map[string]*simulatedModel
	// cached are the checkpoints on disk, the latest first.
	cached []string
}

type simulatedModel struct {
	state    tracker.State
	memoryMB int
	running  int
	served   uint64
	// idleSince is when the model was last seen to become idle.
	idleSince time.Duration
}

type simulatedEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int { return len(e) }
func (e simulatedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e simulatedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simulatedEvents) Push(x any)   { *e = append(*e, x.(simulatedEvent)) }
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPlacementSimulation(user placementUser, policy predictor.Policy, arrivals []placementArrival, warmUp time.Duration) *placementSimulation {
	settings := placer.DefaultSettings("region", user.StoreRate)
	settings.Policy = policy
	s := &placementSimulation{
		placer:  placer.New(settings),
		object:  placer.Placement{Endpoints: map[string]placer.EndpointPlacement{}},
		waiting: map[string][]placementArrival{},
		warmUp:  warmUp,
		cold:    hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
		all:     hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
		speeds:  settings.LoadSpeeds,
	}
	// Sizes are part of the deployment and do not change with the seed.
	random := rand.New(rand.NewPCG(1, uint64(user.Engines)))
	models := user.models(random)
	for at := range user.Engines {
		s.engines = append(s.engines, &simulatedEngine{
			models: map[string]*simulatedModel{},
			instance: tracker.Instance{
				Name: fmt.Sprintf("engine%02d", at), Kind: tracker.Engine, Region: "region",
				Phase: tracker.Live, MemoryMB: 40_000 * (1 + random.IntN(2)), HonoursFence: true, ChecksOrders: true,
			},
		})
	}
	configuration := &releaser.Configuration{Version: 1, Models: models}
	s.tell(placer.ConfigurationChanged{Configuration: configuration})
	s.tell(placer.LeaseHeld{Epoch: 1, Until: placementStart.Add(10 * placementSpan)})
	for _, arrival := range arrivals {
		s.after(arrival.At, func() { s.arrive(arrival) })
	}
	return s
}

func (s *placementSimulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simulatedEvent{s.now + delay, s.order, run})
}

// run plays the trace to its end.
func (s *placementSimulation) run(span time.Duration) PlacementRow {
	s.after(0, s.poll)
	s.after(0, s.repeatDemand)
	for s.now < span {
		wake := s.placer.Wake()
		at := max(s.now, wake.Sub(placementStart))
		if !wake.IsZero() && at < s.events[0].at {
			s.now = at
			s.tell(placer.Tick{})
			continue
		}
		due := heap.Pop(&s.events).(simulatedEvent)
		s.now = due.at
		due.run()
	}
	return s.finish()
}

func (s *placementSimulation) finish() PlacementRow {
	for _, engine := range s.engines {
		// Sums of floats depend on their order.
		for _, name := range slices.Sorted(maps.Keys(engine.models)) {
			s.endIdle(engine.models[name])
		}
	}
	for _, waiting := range s.waiting {
		s.row.Unserved += len(waiting)
	}
	s.row.P50 = quantile(s.cold, 50)
	s.row.P95 = quantile(s.cold, 95)
	s.row.P99 = quantile(s.cold, 99)
	s.row.All95 = quantile(s.all, 95)
	s.row.All99 = quantile(s.all, 99)
	return s.row
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Millisecond
}

func (s *placementSimulation) time() time.Time { return placementStart.Add(s.now) }

func (s *placementSimulation) tell(message placer.Message) {
	for _, effect := range s.placer.Step(s.time(), message) {
		switch effect := effect.(type) {
		case placer.ReadObject:
			s.after(simulatedCall, func() {
				s.tell(placer.ObjectRead{Ticket: effect.Ticket, Version: s.version, Placement: s.object})
			})
		case placer.WriteObject:
			s.after(simulatedCall, func() {
				s.version, s.object = s.version+1, effect.Placement
				s.tell(placer.ObjectWritten{Ticket: effect.Ticket, Version: s.version})
			})
		case placer.SendOrder:
			s.after(simulatedCall, func() { s.take(effect.Order) })
		case placer.Publish:
		}
	}
}

func (s *placementSimulation) arrive(arrival placementArrival) {
	if s.now >= s.warmUp {
		s.row.Requests++
	}
	if model := s.replica(arrival.Model); model != nil {
		s.serve(model, arrival)
		return
	}
	s.waiting[arrival.Model] = append(s.waiting[arrival.Model], arrival)
	s.demand(arrival.Model)
}

// replica returns the loaded replica with the fewest requests, or nil.
func (s *placementSimulation) replica(name string) *simulatedModel {
	var best *simulatedModel
	for _, engine := range s.engines {
		model, ok := engine.models[name]
		if ok && model.state == tracker.Loaded && (best == nil || model.running < best.running) {
			best = model
		}
	}
	return best
}

func (s *placementSimulation) serve(model *simulatedModel, arrival placementArrival) {
	s.record(s.now-arrival.At, arrival)
	if model.running == 0 {
		s.endIdle(model)
	}
	model.running++
	model.served++
	s.changed = true
	s.after(arrival.Duration, func() {
		model.running--
		model.idleSince = s.now
		s.changed = true
	})
}

// record counts how long a request waited for its model.
func (s *placementSimulation) record(waited time.Duration, arrival placementArrival) {
	if arrival.At < s.warmUp {
		return
	}
	value := min(waited, time.Hour).Milliseconds()
	_ = s.all.RecordValue(value)
	if waited > filter.InteractiveTimeout {
		s.row.Late++
	}
	if waited > 0 {
		s.row.ColdStarts++
		_ = s.cold.RecordValue(value)
	}
}

// endIdle counts the idle time of a loaded model that ends now.
func (s *placementSimulation) endIdle(model *simulatedModel) {
	if model.running > 0 || model.state != tracker.Loaded {
		return
	}
	idle := s.now - max(model.idleSince, s.warmUp)
	if idle > 0 {
		s.row.IdleHours += idle.Hours() * float64(model.memoryMB) / acceleratorMB
	}
	model.idleSince = s.now
}

func (s *placementSimulation) demand(model string) {
	waiting := s.waiting[model]
	message := placer.Demand{Node: "node", Model: model, Class: filter.Interactive, Waiting: len(waiting)}
	if len(waiting) > 0 {
		message.EarliestDeadline = placementStart.Add(waiting[0].At + filter.InteractiveTimeout)
	}
	s.tell(message)
}

// repeatDemand tells the placer every second what waits.
func (s *placementSimulation) repeatDemand() {
	var models []string
	for model := range s.waiting {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		s.demand(model)
	}
	s.after(time.Second, s.repeatDemand)
}
