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
	rareService        = "describer"
	rareReplicaCount   = 18
	rareBusyModelCount = 15
	rareModelCount     = 91
	rareMemoryMB       = 200_000
	rareTimeStep       = 2 * time.Millisecond
	rareLatencyTarget  = 2500 * time.Millisecond
	rareTimeout        = 6600 * time.Millisecond
	rareStoreLoadTime  = 6 * time.Second
	// rareDiskCopies is the number of replicas that have a model on their disk.
	rareDiskCopies = 3
	// rareMaxRunTime is the longest run time of a request. Run times are drawn
	// between 20% and 100% of it.
	rareMaxRunTime = 500 * time.Millisecond
	// rareBusyModelRate is the request rate of each busy model, per second.
	rareBusyModelRate = 6
)

// rareArrival is a request for a model.
type rareArrival struct {
	arrivesAt time.Duration
	model     string
	runTime   time.Duration
}

// rareReplica is a simulated replica. It executes one order at a time; an
// unload waits for the model's running requests.
type rareReplica struct {
	id       string
	sequence uint64
	models   map[string]*rareModel
	onDisk   map[string]bool
	// targetModel is the model that a policy frees memory for, or empty.
	targetModel string
	// orderedModel is the model of the order in progress, or empty. loading
	// reports whether the order is a load, and loadEnd is when that load ends.
	orderedModel string
	loading      bool
	loadEnd      time.Duration
}

type rareModel struct {
	lastUsed time.Duration
	// runEnds holds the end times of running requests.
	runEnds []time.Duration
}

// rareSimulation simulates the requests of one load.
type rareSimulation struct {
	now          time.Duration
	engine       *resolver.Engine
	replicas     []*rareReplica
	arrivals     []rareArrival
	arrivalIndex int
	// futureArrivals holds the arrival times of future requests, by model.
	futureArrivals map[string][]time.Duration

	requests, inTime, served, loads int
	waits                           *hdrhistogram.Histogram
}

func rareModelName(index int) string {
	if index < rareBusyModelCount {
		return fmt.Sprintf("busy%02d", index)
	}
	return fmt.Sprintf("rare%02d", index)
}

// rareArrivals draws the requests of a load, sorted by time.
func rareArrivals(seed uint64, load rareLoad) []rareArrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []rareArrival
	drawStream := func(perSecond func(at time.Duration) float64, model func() string) {
		for at := time.Duration(0); at < rareDuration; {
			at += time.Duration(random.ExpFloat64() / perSecond(at) * float64(time.Second))
			arrivals = append(arrivals, rareArrival{at, model(), time.Duration(float64(rareMaxRunTime) * (0.2 + 0.8*random.Float64()))})
		}
	}
	drawStream(func(at time.Duration) float64 {
		if at >= rareBurstStart && at < rareBurstEnd {
			return load.requestsPerSecond * load.burstFactor
		}
		return load.requestsPerSecond
	}, func() string { return rareModelName(rareBusyModelCount + random.IntN(rareModelCount)) })
	for index := range rareBusyModelCount {
		drawStream(func(time.Duration) float64 { return rareBusyModelRate }, func() string { return rareModelName(index) })
	}
	slices.SortFunc(arrivals, func(a, b rareArrival) int { return int(a.arrivesAt - b.arrivesAt) })
	return arrivals
}

func newRareSimulation(seed uint64, load rareLoad, arrivals []rareArrival) *rareSimulation {
	random := rand.New(rand.NewPCG(seed, 2))
	s := &rareSimulation{
		arrivals:       arrivals,
		futureArrivals: map[string][]time.Duration{},
		waits:          hdrhistogram.New(1, time.Minute.Milliseconds(), 3),
		engine: &resolver.Engine{
			Slots: 24, MemoryMB: rareMemoryMB, AdapterSlots: 8, HostMB: 130_000, DiskMB: 1_300_000, LoadsPerSecond: 15,
			Models: map[string]resolver.Model{},
		},
	}
	for index := range rareReplicaCount {
		s.replicas = append(s.replicas, &rareReplica{id: fmt.Sprintf("r%02d", index), models: map[string]*rareModel{}, onDisk: map[string]bool{}})
	}
	for index := range rareBusyModelCount + rareModelCount {
		name := rareModelName(index)
		s.engine.Models[name] = resolver.Model{
			Name: name, MemoryMB: []float64{65_100, 42_700, 72_700}[index%3], StoreLoadTime: rareStoreLoadTime,
			DiskLoadTime: []time.Duration{780, 570, 820}[index%3] * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond,
		}
		if load.missingCopyInterval > 0 && index >= rareBusyModelCount && index%load.missingCopyInterval == 0 {
			continue
		}
		for _, replicaIndex := range random.Perm(rareReplicaCount)[:rareDiskCopies] {
			s.replicas[replicaIndex].onDisk[name] = true
		}
	}
	for index, replica := range s.replicas {
		for _, modelIndex := range []int{index % rareBusyModelCount, (index + 7) % rareBusyModelCount} {
			replica.models[rareModelName(modelIndex)] = &rareModel{}
			replica.onDisk[rareModelName(modelIndex)] = true
		}
	}
	for _, arrival := range arrivals {
		s.futureArrivals[arrival.model] = append(s.futureArrivals[arrival.model], arrival.arrivesAt)
	}
	return s
}

func (s *rareSimulation) run(policy rarePolicy) {
	switch policy := policy.(type) {
	case plannerPolicy:
		s.runPlanned()
	default:
		s.runCentral(policy)
	}
}

// completeFinished removes the orders and runs that have finished.
func (s *rareSimulation) completeFinished() {
	for _, replica := range s.replicas {
		for _, model := range replica.models {
			model.runEnds = slices.DeleteFunc(model.runEnds, func(end time.Duration) bool { return end <= s.now })
		}
		switch {
		case replica.orderedModel == "":
		case replica.loading && replica.loadEnd <= s.now:
			replica.models[replica.orderedModel] = &rareModel{lastUsed: s.now}
			replica.onDisk[replica.orderedModel] = true
			replica.orderedModel = ""
		case !replica.loading && len(replica.models[replica.orderedModel].runEnds) == 0:
			delete(replica.models, replica.orderedModel)
			replica.orderedModel = ""
		}
	}
}

// startOrder starts a load or an unload on a replica that has no order in
// progress.
func (s *rareSimulation) startOrder(replica *rareReplica, model string, load bool) {
	replica.sequence++
	replica.orderedModel, replica.loading = model, load
	if !load {
		return
	}
	s.loads++
	loadTime := s.engine.Models[model].DiskLoadTime
	if !replica.onDisk[model] {
		loadTime = s.engine.Models[model].StoreLoadTime
	}
	replica.loadEnd = s.now + loadTime
}

// serve runs a request on a replica and records how long it waited.
func (s *rareSimulation) serve(replica *rareReplica, arrival rareArrival) {
	model := replica.models[arrival.model]
	model.lastUsed = s.now
	model.runEnds = append(model.runEnds, s.now+arrival.runTime)
	if !isRare(arrival.model) {
		return
	}
	waited := s.now - arrival.arrivesAt
	s.served++
	if waited <= rareLatencyTarget {
		s.inTime++
	}
	_ = s.waits.RecordValue(max(1, waited.Milliseconds()))
}

// nextArrival returns the next request that has arrived by now, if any.
func (s *rareSimulation) nextArrival() (rareArrival, bool) {
	if s.arrivalIndex == len(s.arrivals) || s.arrivals[s.arrivalIndex].arrivesAt > s.now {
		return rareArrival{}, false
	}
	arrival := s.arrivals[s.arrivalIndex]
	s.arrivalIndex++
	s.futureArrivals[arrival.model] = s.futureArrivals[arrival.model][1:]
	if isRare(arrival.model) {
		s.requests++
	}
	return arrival, true
}

func isRare(model string) bool { return model[0] == 'r' }

func (s *rareSimulation) usedMB(replica *rareReplica) float64 {
	used := 0.0
	for name := range replica.models {
		used += s.engine.Models[name].MemoryMB
	}
	if replica.orderedModel != "" && replica.loading {
		used += s.engine.Models[replica.orderedModel].MemoryMB
	}
	return used
}

func (s *rareSimulation) values() []float64 {
	percent := func(count int) float64 { return 100 * float64(count) / float64(max(1, s.requests)) }
	return []float64{
		float64(s.requests), percent(s.inTime), percent(s.served), float64(s.loads) / rareDuration.Seconds(),
		float64(s.waits.ValueAtQuantile(50)), float64(s.waits.ValueAtQuantile(99)),
	}
}
