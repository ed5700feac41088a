package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	rareService   = "describer"
	rareReplicas  = 18
	rareBusy      = 15
	rareModels    = 91
	rareMemoryMB  = 200_000
	rareStep      = 2 * time.Millisecond
	rareInTime    = 2500 * time.Millisecond
	rareGiveUp    = 6600 * time.Millisecond
	rareStoreLoad = 6 * time.Second
	// rareCopies is the number of replicas that have a model on their disk.
	rareCopies = 3
	// rareRun is the longest run of a request; runs are drawn from it.
	rareRun = 500 * time.Millisecond
	// rareBusyRate is the rate of requests of each busy model.
	rareBusyRate = 6
)

// rareArrival is a request for a model.
type rareArrival struct {
	at    time.Duration
	model string
	runs  time.Duration
}

// rareReplica is a replica of the simulation. It carries out one order at a
// time; an unload waits for the model's runs.
type rareReplica struct {
	id       string
	sequence uint64
	models   map[string]*rareModel
	disk     map[string]bool
	// target is the model that a policy makes room for.
	target string
	// order is the one that is being carried out, and loadedAt its end.
	order    string
	load     bool
	loadedAt time.Duration
}

type rareModel struct {
	usedAt time.Duration
	// runs holds the ends of running requests.
	runs []time.Duration
}

// rareSimulation plays the requests of one load.
type rareSimulation struct {
	now      time.Duration
	engine   *resolver.Engine
	replicas []*rareReplica
	arrivals []rareArrival
	next     int
	// future holds the times of the requests to come, by model.
	future map[string][]time.Duration

	requests, inTime, served, loads int
	waits                           *hdrhistogram.Histogram
}

func rareName(index int) string {
	if index < rareBusy {
		return fmt.Sprintf("busy%02d", index)
	}
	return fmt.Sprintf("rare%02d", index)
}

// rareArrivals draws the requests of a load, in the order of their times.
func rareArrivals(seed uint64, load rareLoad) []rareArrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []rareArrival
	stream := func(perSecond func(at time.Duration) float64, model func() string) {
		for at := time.Duration(0); at < rareSpan; {
			at += time.Duration(random.ExpFloat64() / perSecond(at) * float64(time.Second))
			arrivals = append(arrivals, rareArrival{at, model(), time.Duration(float64(rareRun) * (0.2 + 0.8*random.Float64()))})
		}
	}
	stream(func(at time.Duration) float64 {
		if at >= rareBurstFrom && at < rareBurstUntil {
			return load.perSecond * load.burst
		}
		return load.perSecond
	}, func() string { return rareName(rareBusy + random.IntN(rareModels)) })
	for index := range rareBusy {
		stream(func(time.Duration) float64 { return rareBusyRate }, func() string { return rareName(index) })
	}
	slices.SortFunc(arrivals, func(a, b rareArrival) int { return int(a.at - b.at) })
	return arrivals
}

func newRareSimulation(seed uint64, load rareLoad, arrivals []rareArrival) *rareSimulation {
	random := rand.New(rand.NewPCG(seed, 2))
	s := &rareSimulation{
		arrivals: arrivals,
		future:   map[string][]time.Duration{},
		waits:    hdrhistogram.New(1, time.Minute.Milliseconds(), 3),
		engine: &resolver.Engine{
			Slots: 24, MemoryMB: rareMemoryMB, AdapterSlots: 8, HostMB: 130_000, DiskMB: 1_300_000, LoadsPerSecond: 15,
			Models: map[string]resolver.Model{},
		},
	}
	for at := range rareReplicas {
		s.replicas = append(s.replicas, &rareReplica{id: fmt.Sprintf("r%02d", at), models: map[string]*rareModel{}, disk: map[string]bool{}})
	}
	for index := range rareBusy + rareModels {
		name := rareName(index)
		s.engine.Models[name] = resolver.Model{
			Name: name, MemoryMB: []float64{65_100, 42_700, 72_700}[index%3], StoreLoadTime: rareStoreLoad,
			DiskLoadTime: []time.Duration{780, 570, 820}[index%3] * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond,
		}
		if load.fetchedLater > 0 && index >= rareBusy && index%load.fetchedLater == 0 {
			continue
		}
		for _, at := range random.Perm(rareReplicas)[:rareCopies] {
			s.replicas[at].disk[name] = true
		}
	}
	for at, replica := range s.replicas {
		for _, index := range []int{at % rareBusy, (at + 7) % rareBusy} {
			replica.models[rareName(index)] = &rareModel{}
			replica.disk[rareName(index)] = true
		}
	}
	for _, arrival := range arrivals {
		s.future[arrival.model] = append(s.future[arrival.model], arrival.at)
	}
	return s
}

func (s *rareSimulation) run(policy rarePolicy) {
	switch policy := policy.(type) {
	case plannedPolicy:
		s.runPlanned()
	default:
		s.runCentral(policy)
	}
}

// complete ends the orders and runs that are over.
func (s *rareSimulation) complete() {
	for _, replica := range s.replicas {
		for _, model := range replica.models {
			model.runs = slices.DeleteFunc(model.runs, func(end time.Duration) bool { return end <= s.now })
		}
		switch {
		case replica.order == "":
		case replica.load && replica.loadedAt <= s.now:
			replica.models[replica.order] = &rareModel{usedAt: s.now}
			replica.disk[replica.order] = true
			replica.order = ""
		case !replica.load && len(replica.models[replica.order].runs) == 0:
			delete(replica.models, replica.order)
			replica.order = ""
		}
	}
}

// start begins a load or an unload at a replica without an order.
func (s *rareSimulation) start(replica *rareReplica, model string, load bool) {
	replica.sequence++
	replica.order, replica.load = model, load
	if !load {
		return
	}
	s.loads++
	took := s.engine.Models[model].DiskLoadTime
	if !replica.disk[model] {
		took = s.engine.Models[model].StoreLoadTime
	}
	replica.loadedAt = s.now + took
}

// serve runs a request that arrived some time ago.
func (s *rareSimulation) serve(replica *rareReplica, arrival rareArrival) {
	model := replica.models[arrival.model]
	model.usedAt = s.now
	model.runs = append(model.runs, s.now+arrival.runs)
	if !isRare(arrival.model) {
		return
	}
	waited := s.now - arrival.at
	s.served++
	if waited <= rareInTime {
		s.inTime++
	}
	_ = s.waits.RecordValue(max(1, waited.Milliseconds()))
}

// arrived returns the next request whose time has come.
func (s *rareSimulation) arrived() (rareArrival, bool) {
	if s.next == len(s.arrivals) || s.arrivals[s.next].at > s.now {
		return rareArrival{}, false
	}
	arrival := s.arrivals[s.next]
	s.next++
	s.future[arrival.model] = s.future[arrival.model][1:]
	if isRare(arrival.model) {
		s.requests++
	}
	return arrival, true
}

func isRare(model string) bool { return model[0] == 'r' }

func (s *rareSimulation) used(replica *rareReplica) float64 {
	used := 0.0
	for name := range replica.models {
		used += s.engine.Models[name].MemoryMB
	}
	if replica.order != "" && replica.load {
		used += s.engine.Models[replica.order].MemoryMB
	}
	return used
}

func (s *rareSimulation) values() []float64 {
	share := func(count int) float64 { return 100 * float64(count) / float64(max(1, s.requests)) }
	return []float64{
		float64(s.requests), share(s.inTime), share(s.served), float64(s.loads) / rareSpan.Seconds(),
		float64(s.waits.ValueAtQuantile(50)), float64(s.waits.ValueAtQuantile(99)),
	}
}
