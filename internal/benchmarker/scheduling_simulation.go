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
	reportDelay    = 500 * time.Millisecond
	attainedPeriod = time.Second
	// attainedDecay is the decay per attainedPeriod. It makes attained service
	// a moving sum over some seconds.
	attainedDecay = 0.8
	networkDelay  = time.Millisecond
)

// schedulingSimulation runs one policy under one load in virtual time.
type schedulingSimulation struct {
	seed       uint64
	policy     SchedulingPolicy
	load       schedulingLoad
	now        time.Time
	events     schedulingEvents
	sequence   int
	nodes      []*schedulingNode
	engines    []*schedulingEngine
	requests   []*schedulingRequest
	attained   map[string]float64
	maxQueued  int
	unfinished int
}

// schedulingNode is a node with its own controller and its own view of the
// fleet.
type schedulingNode struct {
	controller *scheduler.Controller
	fleet      tracker.Fleet
	nextEngine int
	wakeAt     time.Time
}

func newSchedulingSimulation(seed uint64, policy SchedulingPolicy, load schedulingLoad) *schedulingSimulation {
	s := &schedulingSimulation{
		seed: seed, policy: policy, load: load,
		now: time.Unix(1_000_000, 0), engines: newEngines(), attained: map[string]float64{},
	}
	for index := range nodeCount {
		s.nodes = append(s.nodes, &schedulingNode{
			controller: scheduler.NewController(router.Location{}, seed*100+uint64(index)),
		})
	}
	return s
}

// run runs the simulation until every request has ended.
func (s *schedulingSimulation) run() {
	s.scheduleArrivals()
	s.unfinished = len(s.requests)
	s.deliverReports(s.currentFleet())
	s.collectReports()
	s.publishAttained()
	s.publishCacheEvents()
	for len(s.events) > 0 && s.unfinished > 0 {
		next := heap.Pop(&s.events).(schedulingEvent)
		s.now = next.due
		next.run()
	}
}

// collectReports takes the reports of the engines and delivers them to the
// nodes after reportDelay.
func (s *schedulingSimulation) collectReports() {
	fleet := s.currentFleet()
	s.schedule(s.now.Add(reportDelay), func() { s.deliverReports(fleet) })
	s.schedule(s.now.Add(reportPeriod), s.collectReports)
}

func (s *schedulingSimulation) currentFleet() tracker.Fleet {
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

func (s *schedulingSimulation) deliverReports(fleet tracker.Fleet) {
	for _, node := range s.nodes {
		node.fleet = fleet
		s.step(node, scheduler.FleetChanged{Fleet: fleet})
	}
}

func (s *schedulingSimulation) publishAttained() {
	if s.load.noAttained {
		return
	}
	decay := attainedDecay
	if s.load.slowDecay {
		decay = math.Exp2(-attainedPeriod.Seconds() / limiter.AttainedHalfLife.Seconds())
	}
	for name := range s.attained {
		s.attained[name] *= decay
	}
	message := scheduler.AttainedService{Tokens: maps.Clone(s.attained)}
	s.schedule(s.now.Add(reportDelay), func() {
		for _, node := range s.nodes {
			s.step(node, message)
		}
	})
	s.schedule(s.now.Add(attainedPeriod), s.publishAttained)
}

func (s *schedulingSimulation) handleArrival(r *schedulingRequest) {
	s.schedule(r.admission.Deadline, func() { s.expire(r) })
	switch s.policy.(type) {
	case FairScheduling:
		s.step(r.node, scheduler.Admit{Call: runner.Call(r.call), Admission: r.admission})
	case RoundRobin:
		r.node.nextEngine++
		s.send(r, s.nextEngine(r))
	case LeastQueue:
		s.send(r, s.leastQueuedEngine(r))
	default:
		panic(fmt.Sprintf("unknown scheduling policy %T", s.policy))
	}
}

func (s *schedulingSimulation) nextEngine(r *schedulingRequest) *schedulingEngine {
	for !s.engines[r.node.nextEngine%engineCount].hasModel(r.admission.Model) {
		r.node.nextEngine++
	}
	return s.engines[r.node.nextEngine%engineCount]
}

func (s *schedulingSimulation) leastQueuedEngine(r *schedulingRequest) *schedulingEngine {
	var least *schedulingEngine
	var leastQueued int
	for index, endpoint := range r.node.fleet.Endpoints {
		queued := endpoint.Report.Queued + endpoint.Report.Running
		if s.engines[index].hasModel(r.admission.Model) && (least == nil || queued < leastQueued) {
			least, leastQueued = s.engines[index], queued
		}
	}
	return least
}

func (s *schedulingSimulation) send(r *schedulingRequest, e *schedulingEngine) {
	r.grantedAt = s.now
	s.schedule(s.now.Add(networkDelay), func() { s.enqueue(e, r) })
}

// expire refuses a request that has no first token by its deadline.
func (s *schedulingSimulation) expire(r *schedulingRequest) {
	if !r.firstToken.IsZero() || !r.refusedAt.IsZero() {
		return
	}
	s.recordRefusal(r)
	if r.engine != nil {
		s.removeFromEngine(r)
	} else if r.slot.ID != 0 {
		s.release(r)
	}
}

// recordRefusal records that a request was refused now.
func (s *schedulingSimulation) recordRefusal(r *schedulingRequest) {
	r.refusedAt = s.now
	s.unfinished--
}

// release returns the slot of a request to the node's controller.
func (s *schedulingSimulation) release(r *schedulingRequest) {
	result := filter.SlotResult{Duration: s.now.Sub(r.grantedAt)}
	if !r.firstToken.IsZero() {
		s.unfinished--
		result.FirstToken, result.Tokens = r.firstToken.Sub(r.grantedAt), r.admission.MaxTokens
	}
	if r.slot.ID != 0 {
		s.step(r.node, scheduler.Release{SlotID: r.slot.ID, Result: result})
	}
}

// step passes a message to a node's controller and executes the effects.
func (s *schedulingSimulation) step(node *schedulingNode, message scheduler.Message) {
	for _, effect := range node.controller.Step(s.now, message) {
		switch effect := effect.(type) {
		case scheduler.Grant:
			r := s.requests[effect.Call-1]
			r.slot = effect.Slot
			s.send(r, s.findEngine(effect.Slot.Endpoint))
		case scheduler.RefuseCall:
			if r := s.requests[effect.Call-1]; r.refusedAt.IsZero() {
				s.recordRefusal(r)
			}
		}
	}
	wakeTime := node.controller.Wake()
	if wakeTime.IsZero() || wakeTime.Equal(node.wakeAt) {
		return
	}
	node.wakeAt = wakeTime
	s.schedule(wakeTime, func() {
		if current := node.controller.Wake(); !current.IsZero() && !current.After(s.now) {
			s.step(node, scheduler.Tick{})
		}
	})
}

func (s *schedulingSimulation) findEngine(name string) *schedulingEngine {
	return s.engines[name[0]-'a']
}

func (s *schedulingSimulation) schedule(at time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, schedulingEvent{due: at, sequence: s.sequence, run: run})
}

// schedulingEvent is a function that runs at a virtual time.
type schedulingEvent struct {
	due      time.Time
	sequence int
	run      func()
}

// schedulingEvents is a heap ordered by time, and by scheduling order for equal
// times.
type schedulingEvents []schedulingEvent

func (e schedulingEvents) Len() int      { return len(e) }
func (e schedulingEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e schedulingEvents) Less(i, j int) bool {
	if !e[i].due.Equal(e[j].due) {
		return e[i].due.Before(e[j].due)
	}
	return e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *schedulingEvents) Push(x any) { *e = append(*e, x.(schedulingEvent)) }

// Pop implements heap.Interface.
func (e *schedulingEvents) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = schedulingEvent{}
	*e = (*e)[:len(*e)-1]
	return last
}
