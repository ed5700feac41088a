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
	// simulatedCallTime is the duration of an object API call or an order.
	simulatedCallTime = 5 * time.Millisecond
	// simulatedUnloadTime is the duration of a model unload.
	simulatedUnloadTime = 300 * time.Millisecond
	// simulatedReportInterval is the interval at which changed reports reach
	// the placer, and simulatedReportRefresh the interval for unchanged ones.
	simulatedReportInterval = 250 * time.Millisecond
	simulatedReportRefresh  = 2 * time.Second
	// maxDiskCheckpoints and maxMemoryCheckpoints are the numbers of
	// checkpoints that an engine caches.
	maxDiskCheckpoints   = 5
	maxMemoryCheckpoints = 1
)

var placementStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// placementSimulation drives a real Placer with simulated engines.
type placementSimulation struct {
	placer         *placer.Placer
	now            time.Duration
	events         placementEvents
	sequence       int
	version        uint64
	stored         placer.Placement
	engines        []*placementEngine
	waiting        map[string][]placementArrival
	warmUp         time.Duration
	reportsChanged bool
	reportedAt     time.Duration
	coldWaits      *hdrhistogram.Histogram
	allWaits       *hdrhistogram.Histogram
	row            PlacementRow
	loadSpeeds     map[tracker.Tier]float64
}

// placementEngine is a simulated engine.
type placementEngine struct {
	instance tracker.Instance
	sequence uint64
	fence    uint64
	models   map[string]*placementModel
	// cached holds the names of the checkpoints on disk, most recent first.
	cached []string
}

type placementModel struct {
	state    tracker.State
	memoryMB int
	running  int
	served   uint64
	// idleSince is the time at which the model last became idle.
	idleSince time.Duration
}

type placementEvent struct {
	due      time.Duration
	sequence int
	run      func()
}

type placementEvents []placementEvent

func (e placementEvents) Len() int { return len(e) }
func (e placementEvents) Less(i, j int) bool {
	return e[i].due < e[j].due || (e[i].due == e[j].due && e[i].sequence < e[j].sequence)
}
func (e placementEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *placementEvents) Push(x any)   { *e = append(*e, x.(placementEvent)) }
func (e *placementEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPlacementSimulation(user placementUser, policy predictor.Policy, arrivals []placementArrival, warmUp time.Duration) *placementSimulation {
	settings := placer.DefaultSettings("region", user.StoreRate)
	settings.Policy = policy
	s := &placementSimulation{
		placer:     placer.New(settings),
		stored:     placer.Placement{Endpoints: map[string]placer.EndpointPlacement{}},
		waiting:    map[string][]placementArrival{},
		warmUp:     warmUp,
		coldWaits:  hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
		allWaits:   hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
		loadSpeeds: settings.LoadSpeeds,
	}
	// Sizes belong to the deployment and are the same for every seed.
	random := rand.New(rand.NewPCG(1, uint64(user.Engines)))
	models := user.drawModels(random)
	for index := range user.Engines {
		s.engines = append(s.engines, &placementEngine{
			models: map[string]*placementModel{},
			instance: tracker.Instance{
				Name: fmt.Sprintf("engine%02d", index), Kind: tracker.Engine, Region: "region",
				Phase: tracker.Live, MemoryMB: 40_000 * (1 + random.IntN(2)), HonoursFence: true, ChecksOrders: true,
			},
		})
	}
	configuration := &releaser.Configuration{Version: 1, Models: models}
	s.step(placer.ConfigurationChanged{Configuration: configuration})
	s.step(placer.LeaseHeld{Epoch: 1, Until: placementStart.Add(10 * placementDuration)})
	for _, arrival := range arrivals {
		s.schedule(arrival.At, func() { s.handleArrival(arrival) })
	}
	return s
}

func (s *placementSimulation) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, placementEvent{s.now + delay, s.sequence, run})
}

// run runs the simulation to the end of the trace.
func (s *placementSimulation) run(duration time.Duration) PlacementRow {
	s.schedule(0, s.deliverReports)
	s.schedule(0, s.repeatDemands)
	for s.now < duration {
		wakeTime := s.placer.Wake()
		at := max(s.now, wakeTime.Sub(placementStart))
		if !wakeTime.IsZero() && at < s.events[0].due {
			s.now = at
			s.step(placer.Tick{})
			continue
		}
		next := heap.Pop(&s.events).(placementEvent)
		s.now = next.due
		next.run()
	}
	return s.finish()
}

func (s *placementSimulation) finish() PlacementRow {
	for _, engine := range s.engines {
		// Sorted, because the sum of floats depends on the order of addition.
		for _, name := range slices.Sorted(maps.Keys(engine.models)) {
			s.recordIdleTime(engine.models[name])
		}
	}
	for _, waiting := range s.waiting {
		s.row.Unserved += len(waiting)
	}
	s.row.P50 = histogramQuantile(s.coldWaits, 50)
	s.row.P95 = histogramQuantile(s.coldWaits, 95)
	s.row.P99 = histogramQuantile(s.coldWaits, 99)
	s.row.AllP95 = histogramQuantile(s.allWaits, 95)
	s.row.AllP99 = histogramQuantile(s.allWaits, 99)
	return s.row
}

func histogramQuantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Millisecond
}

func (s *placementSimulation) currentTime() time.Time { return placementStart.Add(s.now) }

func (s *placementSimulation) step(message placer.Message) {
	for _, effect := range s.placer.Step(s.currentTime(), message) {
		switch effect := effect.(type) {
		case placer.ReadObject:
			s.schedule(simulatedCallTime, func() {
				s.step(placer.ObjectRead{Ticket: effect.Ticket, Version: s.version, Placement: s.stored})
			})
		case placer.WriteObject:
			s.schedule(simulatedCallTime, func() {
				s.version, s.stored = s.version+1, effect.Placement
				s.step(placer.ObjectWritten{Ticket: effect.Ticket, Version: s.version})
			})
		case placer.SendOrder:
			s.schedule(simulatedCallTime, func() { s.executeOrder(effect.Order) })
		case placer.Publish:
		}
	}
}

func (s *placementSimulation) handleArrival(arrival placementArrival) {
	if s.now >= s.warmUp {
		s.row.Requests++
	}
	if model := s.leastBusyReplica(arrival.Model); model != nil {
		s.serve(model, arrival)
		return
	}
	s.waiting[arrival.Model] = append(s.waiting[arrival.Model], arrival)
	s.reportDemand(arrival.Model)
}

// leastBusyReplica returns the loaded replica with the fewest requests, or nil.
func (s *placementSimulation) leastBusyReplica(name string) *placementModel {
	var best *placementModel
	for _, engine := range s.engines {
		model, ok := engine.models[name]
		if ok && model.state == tracker.Loaded && (best == nil || model.running < best.running) {
			best = model
		}
	}
	return best
}

func (s *placementSimulation) serve(model *placementModel, arrival placementArrival) {
	s.recordWait(s.now-arrival.At, arrival)
	if model.running == 0 {
		s.recordIdleTime(model)
	}
	model.running++
	model.served++
	s.reportsChanged = true
	s.schedule(arrival.Duration, func() {
		model.running--
		model.idleSince = s.now
		s.reportsChanged = true
	})
}

// recordWait records the time that a request waited for its model.
func (s *placementSimulation) recordWait(waited time.Duration, arrival placementArrival) {
	if arrival.At < s.warmUp {
		return
	}
	value := min(waited, time.Hour).Milliseconds()
	_ = s.allWaits.RecordValue(value)
	if waited > filter.InteractiveTimeout {
		s.row.Late++
	}
	if waited > 0 {
		s.row.ColdStarts++
		_ = s.coldWaits.RecordValue(value)
	}
}

// recordIdleTime adds the idle time of a loaded model up to now.
func (s *placementSimulation) recordIdleTime(model *placementModel) {
	if model.running > 0 || model.state != tracker.Loaded {
		return
	}
	idle := s.now - max(model.idleSince, s.warmUp)
	if idle > 0 {
		s.row.IdleHours += idle.Hours() * float64(model.memoryMB) / acceleratorMB
	}
	model.idleSince = s.now
}

func (s *placementSimulation) reportDemand(model string) {
	waiting := s.waiting[model]
	message := placer.Demand{Node: "node", Model: model, Class: filter.Interactive, Waiting: len(waiting)}
	if len(waiting) > 0 {
		message.EarliestDeadline = placementStart.Add(waiting[0].At + filter.InteractiveTimeout)
	}
	s.step(message)
}

// repeatDemands reports the waiting requests to the placer every second.
func (s *placementSimulation) repeatDemands() {
	var models []string
	for model := range s.waiting {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		s.reportDemand(model)
	}
	s.schedule(time.Second, s.repeatDemands)
}
