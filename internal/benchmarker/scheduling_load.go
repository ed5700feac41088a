package benchmarker

import (
	"fmt"
	"math"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
)

// schedulingLoad describes the load relative to the nominal rates of the
// workspaces.
type schedulingLoad struct {
	name  string
	scale float64
	// heavyFactor multiplies the rate of heavyWorkspace.
	heavyFactor float64
	// heavyNodes is the number of nodes that receive all requests of
	// heavyWorkspace; 0 means all nodes.
	heavyNodes int
	// prefixes is the number of prompt prefixes per model; 0 means that no two
	// prompts share a prefix.
	prefixes int
	// noCacheEvents disables the cache events to the nodes, and noAttained
	// disables the messages with the service attained by workspaces.
	noCacheEvents bool
	noAttained    bool
	// slowDecay makes attained service decay with the limiter's half-life.
	slowDecay bool
}

// schedulingWorkspace has an agreed rate, which is also its weight. It sends at
// steadyRate, and the rest in bursts.
type schedulingWorkspace struct {
	name       string
	rate       float64 // requests per second
	steadyRate float64
}

var schedulingWorkspaces = []schedulingWorkspace{
	{"large-1", 7, 7}, {"large-2", 7, 6}, {"small-1", 3.5, 2.5}, {"small-2", 3.5, 2.5}, {"small-3", 3.5, 2.5},
}

const (
	heavyWorkspace     = 0 // index in schedulingWorkspaces
	modelCount         = 3
	schedulingDuration = 2 * time.Minute
	burstPeriod        = 10 * time.Second
	burstRequests      = 40
	burstDuration      = 100 * time.Millisecond
)

// schedulingRequest is one request of the load and its outcome.
type schedulingRequest struct {
	call      uint64
	workspace int
	admission filter.Admission
	arrivedAt time.Time
	// firstToken is the time of the first token, or zero if there was none.
	// refusedAt is the time of the refusal, or zero.
	firstToken time.Time
	refusedAt  time.Time

	node      *schedulingNode
	slot      filter.Slot
	grantedAt time.Time
	running   bool
	engine    *schedulingEngine
}

// scheduleArrivals schedules all requests. They depend only on the seed and the
// load, so that all policies receive the same requests.
func (s *schedulingSimulation) scheduleArrivals() {
	source := &router.Source{State: s.seed}
	for index, workspace := range schedulingWorkspaces {
		rate := workspace.steadyRate * s.load.scale
		if index == heavyWorkspace {
			rate *= s.load.heavyFactor
		}
		for at := drawInterarrival(source, rate); at < schedulingDuration; at += drawInterarrival(source, rate) {
			s.scheduleRequest(source, at, index)
		}
	}
	for burst := burstPeriod; burst < schedulingDuration; burst += burstPeriod {
		for range int(burstRequests * s.load.scale) {
			at := burst + time.Duration(source.Float64()*float64(burstDuration))
			s.scheduleRequest(source, at, 1+source.IntN(len(schedulingWorkspaces)-1))
		}
	}
}

// drawInterarrival draws the time between two arrivals of a Poisson process.
func drawInterarrival(source *router.Source, rate float64) time.Duration {
	return time.Duration(-math.Log(1-source.Float64()) / rate * float64(time.Second))
}

func (s *schedulingSimulation) scheduleRequest(source *router.Source, at time.Duration, workspace int) {
	r := &schedulingRequest{call: uint64(len(s.requests) + 1), workspace: workspace, arrivedAt: s.now.Add(at)}
	nodes := len(s.nodes)
	if workspace == heavyWorkspace && s.load.heavyNodes > 0 {
		nodes = s.load.heavyNodes
	}
	r.node = s.nodes[source.IntN(nodes)]
	class, timeout := drawClass(source.Float64())
	r.admission = filter.Admission{
		Model:        fmt.Sprint("model-", source.IntN(modelCount), "@1"),
		Workspace:    schedulingWorkspaces[workspace].name,
		Weight:       schedulingWorkspaces[workspace].rate,
		Class:        class,
		Deadline:     r.arrivedAt.Add(timeout),
		PromptTokens: 50 + source.IntN(500),
		MaxTokens:    10 + source.IntN(100),
	}
	if s.load.prefixes > 0 {
		r.admission.Prefix = 1 + uint64(source.IntN(s.load.prefixes))
	}
	s.requests = append(s.requests, r)
	s.schedule(r.arrivedAt, func() { s.handleArrival(r) })
}

func drawClass(share float64) (filter.Class, time.Duration) {
	switch {
	case share < 0.6:
		return filter.Interactive, filter.InteractiveTimeout
	case share < 0.85:
		return filter.Assured, filter.AssuredTimeout
	default:
		return filter.Deferred, filter.DeferredTimeout
	}
}
