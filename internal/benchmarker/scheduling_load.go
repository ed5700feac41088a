package benchmarker

import (
	"fmt"
	"math"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
)

// workload says how much of the nominal rates the workspaces send.
type workload struct {
	name  string
	scale float64
	// heavy is the factor of the workspace heavyWorkspace.
	heavy float64
	// heavyNodes is the number of nodes that get all requests of
	// heavyWorkspace; 0 means all nodes.
	heavyNodes int
	// prefixes is the number of prompt starts for each model; 0 means that
	// all prompts differ.
	prefixes int
	// silent means that nodes are not told of cached prefixes, and alone that
	// they are not told of the service that workspaces attained.
	silent bool
	alone  bool
	// slow makes attained service decay as the limiter's count does.
	slow bool
}

// workspace has a rate that was agreed, which is also its weight. It sends a
// steady part of it, and the rest in bursts.
type workspace struct {
	name   string
	rate   float64 // requests a second
	steady float64
}

var workspaces = []workspace{
	{"large-1", 7, 7}, {"large-2", 7, 6}, {"small-1", 3.5, 2.5}, {"small-2", 3.5, 2.5}, {"small-3", 3.5, 2.5},
}

const (
	heavyWorkspace = 0
	modelCount     = 3
	loadTime       = 2 * time.Minute
	burstPeriod    = 10 * time.Second
	burstRequests  = 40
	burstLength    = 100 * time.Millisecond
)

// request is one request of the workload and how it ended.
type request struct {
	call      uint64
	workspace int
	admission filter.Admission
	arrived   time.Time
	// first is the time of the first token, zero if there was none. ended is
	// the time of a refusal.
	first time.Time
	ended time.Time

	node    *simulatedNode
	slot    filter.Slot
	granted time.Time
	running bool
	engine  *engine
}

// arrivals schedules all requests. They depend on the seed and the load
// alone, so that all policies get the same.
func (s *simulation) arrivals() {
	source := &router.Source{State: s.seed}
	for index, workspace := range workspaces {
		rate := workspace.steady * s.load.scale
		if index == heavyWorkspace {
			rate *= s.load.heavy
		}
		for at := gap(source, rate); at < loadTime; at += gap(source, rate) {
			s.schedule(source, at, index)
		}
	}
	for burst := burstPeriod; burst < loadTime; burst += burstPeriod {
		for range int(burstRequests * s.load.scale) {
			at := burst + time.Duration(source.Float64()*float64(burstLength))
			s.schedule(source, at, 1+source.IntN(len(workspaces)-1))
		}
	}
}

// gap is the time between two arrivals of a Poisson process.
func gap(source *router.Source, rate float64) time.Duration {
	return time.Duration(-math.Log(1-source.Float64()) / rate * float64(time.Second))
}

func (s *simulation) schedule(source *router.Source, at time.Duration, workspace int) {
	r := &request{call: uint64(len(s.requests) + 1), workspace: workspace, arrived: s.now.Add(at)}
	nodes := len(s.nodes)
	if workspace == heavyWorkspace && s.load.heavyNodes > 0 {
		nodes = s.load.heavyNodes
	}
	r.node = s.nodes[source.IntN(nodes)]
	class, patience := class(source.Float64())
	r.admission = filter.Admission{
		Model:        fmt.Sprint("model-", source.IntN(modelCount), "@1"),
		Workspace:    workspaces[workspace].name,
		Weight:       workspaces[workspace].rate,
		Class:        class,
		Deadline:     r.arrived.Add(patience),
		PromptTokens: 50 + source.IntN(500),
		MaxTokens:    10 + source.IntN(100),
	}
	if s.load.prefixes > 0 {
		r.admission.Prefix = 1 + uint64(source.IntN(s.load.prefixes))
	}
	s.requests = append(s.requests, r)
	s.at(r.arrived, func() { s.arrive(r) })
}

func class(share float64) (filter.Class, time.Duration) {
	switch {
	case share < 0.6:
		return filter.Interactive, filter.InteractiveTimeout
	case share < 0.85:
		return filter.Assured, filter.AssuredTimeout
	default:
		return filter.Deferred, filter.DeferredTimeout
	}
}
