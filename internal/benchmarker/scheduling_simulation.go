package benchmarker

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	nodeCount      = 7
	reportPeriod   = 250 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	attainedPeriod = time.Second
	// attainedDecay makes attained service a moving sum over some seconds.
	attainedDecay = 0.8
	hop           = time.Millisecond
)

// simulation runs one policy under one load in virtual time.
type simulation struct {
	seed       uint64
	policy     Policy
	load       workload
	now        time.Time
	events     events
	sequence   int
	nodes      []*simulatedNode
	engines    []*engine
	requests   []*request
	attained   map[string]float64
	mostQueued int
	open       int // requests that are not finished
}

// simulatedNode is a node with its own controller and view.
type simulatedNode struct {
	controller *scheduler.Controller
	fleet      tracker.Fleet
	turn       int
	wakeAt     time.Time
}

func newSimulation(seed uint64, policy Policy, load workload) *simulation {
	s := &simulation{
		seed: seed, policy: policy, load: load,
		now: time.Unix(1_000_000, 0), engines: newEngines(), attained: map[string]float64{},
	}
	for index := range nodeCount {
		s.nodes = append(s.nodes, &simulatedNode{
			controller: scheduler.NewController(router.Location{}, seed*100+uint64(index)),
		})
	}
	return s
}

// run goes on until every request has ended.
func (s *simulation) run() {
	s.arrivals()
	s.open = len(s.requests)
	s.deliver(s.fleet())
	s.measure()
	s.tellAttained()
	s.tellPrefixes()
	for len(s.events) > 0 && s.open > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

// measure takes the engines' reports, which reach the nodes late.
func (s *simulation) measure() {
	fleet := s.fleet()
	s.at(s.now.Add(reportLag), func() { s.deliver(fleet) })
	s.at(s.now.Add(reportPeriod), s.measure)
}

func (s *simulation) fleet() tracker.Fleet {
	var fleet tracker.Fleet
	for range s.nodes {
		fleet.Nodes = append(fleet.Nodes, tracker.Instance{Kind: tracker.Entry, Phase: tracker.Live})
	}
	for _, e := range s.engines {
		fleet.Endpoints = append(fleet.Endpoints, tracker.Endpoint{
			Instance: tracker.Instance{Name: e.name, Kind: tracker.Engine, Phase: tracker.Live},
			Report:   e.report(s.now),
		})
	}
	return fleet
}

func (s *simulation) deliver(fleet tracker.Fleet) {
	for _, node := range s.nodes {
		node.fleet = fleet
		s.step(node, scheduler.FleetChanged{Fleet: fleet})
	}
}

func (s *simulation) tellAttained() {
	if s.load.alone {
		return
	}
	decay := attainedDecay
	if s.load.slow {
		decay = math.Exp2(-attainedPeriod.Seconds() / limiter.AttainedHalfLife.Seconds())
	}
	for name := range s.attained {
		s.attained[name] *= decay
	}
	told := scheduler.AttainedService{Tokens: maps.Clone(s.attained)}
	s.at(s.now.Add(reportLag), func() {
		for _, node := range s.nodes {
			s.step(node, told)
		}
	})
	s.at(s.now.Add(attainedPeriod), s.tellAttained)
}

func (s *simulation) arrive(r *request) {
	s.at(r.admission.Deadline, func() { s.giveUp(r) })
	switch s.policy.(type) {
	case FairScheduling:
		s.step(r.node, scheduler.Admit{Call: runner.Call(r.call), Admission: r.admission})
	case RoundRobin:
		r.node.turn++
		s.send(r, s.nextEngine(r))
	case LeastQueue:
		s.send(r, s.leastEngine(r))
	default:
		panic(fmt.Sprintf("unknown policy %T", s.policy))
	}
}

func (s *simulation) nextEngine(r *request) *engine {
	for !s.engines[r.node.turn%engineCount].has(r.admission.Model) {
		r.node.turn++
	}
	return s.engines[r.node.turn%engineCount]
}

func (s *simulation) leastEngine(r *request) *engine {
	var least *engine
	var load int
	for index, endpoint := range r.node.fleet.Endpoints {
		queued := endpoint.Report.Queued + endpoint.Report.Running
		if s.engines[index].has(r.admission.Model) && (least == nil || queued < load) {
			least, load = s.engines[index], queued
		}
	}
	return least
}

func (s *simulation) send(r *request, e *engine) {
	r.granted = s.now
	s.at(s.now.Add(hop), func() { s.take(e, r) })
}

// giveUp ends a request that has no first token at its deadline.
func (s *simulation) giveUp(r *request) {
	if !r.first.IsZero() || !r.ended.IsZero() {
		return
	}
	s.end(r)
	if r.engine != nil {
		s.leave(r)
	} else if r.slot.ID != 0 {
		s.released(r)
	}
}

// end notes a refusal.
func (s *simulation) end(r *request) {
	r.ended = s.now
	s.open--
}

// released ends a request's use of an engine.
func (s *simulation) released(r *request) {
	result := filter.SlotResult{Duration: s.now.Sub(r.granted)}
	if !r.first.IsZero() {
		s.open--
		result.FirstToken, result.Tokens = r.first.Sub(r.granted), r.admission.MaxTokens
	}
	if r.slot.ID != 0 {
		s.step(r.node, scheduler.Release{SlotID: r.slot.ID, Result: result})
	}
}

// step gives a node's controller a message and carries out the effects.
func (s *simulation) step(node *simulatedNode, message scheduler.Message) {
	for _, effect := range node.controller.Step(s.now, message) {
		switch effect := effect.(type) {
		case scheduler.Grant:
			r := s.requests[effect.Call-1]
			r.slot = effect.Slot
			s.send(r, s.engine(effect.Slot.Endpoint))
		case scheduler.RefuseCall:
			if r := s.requests[effect.Call-1]; r.ended.IsZero() {
				s.end(r)
			}
		}
	}
	wake := node.controller.Wake()
	if wake.IsZero() || wake.Equal(node.wakeAt) {
		return
	}
	node.wakeAt = wake
	s.at(wake, func() {
		if current := node.controller.Wake(); !current.IsZero() && !current.After(s.now) {
			s.step(node, scheduler.Tick{})
		}
	})
}

func (s *simulation) engine(name string) *engine {
	return s.engines[name[0]-'a']
}

func (s *simulation) at(when time.Time, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: when, sequence: s.sequence, do: do})
}

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// events is a heap in order of time, and of scheduling for equal times.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}
