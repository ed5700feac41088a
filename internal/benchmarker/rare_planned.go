package benchmarker

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// rareReportInterval is the interval between two reports of the node, and
	// rareListInterval between two lists of replicas.
	rareReportInterval = 250 * time.Millisecond
	rareListInterval   = 250 * time.Millisecond
)

// rareNode is a node with a real planner and a real balancer. It is the only
// node, holds the placement lease and receives all requests.
type rareNode struct {
	*rareSimulation
	planner  *planner.Controller
	balancer *balancer.Controller
	// pendingPlacements holds the requests that wait for a replica from the
	// balancer, by call.
	pendingPlacements map[runner.Call]rareArrival
	lastCall          runner.Call
	running           []rareRun
	// retries holds the requests that a replica did not run and that are placed
	// again.
	retries    []rareArrival
	nextReport time.Duration
}

type rareRun struct {
	end         time.Duration
	placementID runner.Call
	result      balancer.Result
}

func (s *rareSimulation) runPlanned() {
	n := &rareNode{
		rareSimulation:    s,
		planner:           planner.NewController(planner.Settings{Node: "n1", OrderSpacing: 3 * time.Second}),
		balancer:          balancer.NewController(1),
		pendingPlacements: map[runner.Call]rareArrival{},
	}
	n.stepPlanner(planner.ConfigurationChanged{CurrentAsOf: n.currentTime(), Configuration: &resolver.Configuration{
		Version: 1, Position: sequencer.Position{Revision: 1}, Services: map[string]resolver.Service{rareService: {Name: rareService, Engine: s.engine}},
	}})
	n.stepPlanner(planner.NodesListed{CurrentAsOf: n.currentTime(), Nodes: []surveyor.Node{{Name: "n1"}}})
	n.stepPlanner(planner.LeaseHeld{Epoch: 1, Until: n.currentTime().Add(2 * rareDuration), NoEarlierHolder: true})
	for ; s.now < rareDuration+rareTimeout; s.now += rareTimeStep {
		s.completeFinished()
		n.step()
	}
}

func (n *rareNode) currentTime() time.Time { return placementStart.Add(n.now) }

func (n *rareNode) step() {
	if n.now%rareListInterval == 0 {
		n.stepPlanner(planner.ReplicasListed{CurrentAsOf: n.currentTime(), Replicas: n.replicaList()})
	}
	var ended []rareRun
	n.running = slices.DeleteFunc(n.running, func(run rareRun) bool {
		if run.end > n.now {
			return false
		}
		ended = append(ended, run)
		return true
	})
	for _, run := range ended {
		n.stepBalancer(balancer.AttemptEnded{PlacementID: run.placementID, Result: run.result, FirstByte: 20 * time.Millisecond})
	}
	retries := n.retries
	n.retries = nil
	for _, arrival := range retries {
		n.place(arrival)
	}
	for arrival, ok := n.nextArrival(); ok; arrival, ok = n.nextArrival() {
		n.place(arrival)
	}
	if n.now >= n.nextReport {
		n.report()
	}
	if wakeTime := n.planner.Wake(); !wakeTime.IsZero() && !wakeTime.After(n.currentTime()) {
		n.stepPlanner(planner.Tick{})
	}
	if wakeTime := n.balancer.Wake(); !wakeTime.IsZero() && !wakeTime.After(n.currentTime()) {
		n.stepBalancer(balancer.Tick{})
	}
}

// place requests a replica from the balancer.
func (n *rareNode) place(arrival rareArrival) {
	n.lastCall++
	n.pendingPlacements[n.lastCall] = arrival
	n.stepBalancer(balancer.Place{Call: n.lastCall, Need: balancer.Need{
		Service: rareService, Model: arrival.model, Tokens: 800,
		LateAt: placementStart.Add(arrival.arrivesAt + rareLatencyTarget), GiveUpAt: placementStart.Add(arrival.arrivesAt + rareTimeout),
	}})
}

// report sends the balancer's report to the planner.
func (n *rareNode) report() {
	n.nextReport = n.now + rareReportInterval
	for _, effect := range n.balancer.Step(n.currentTime(), balancer.Collect{}) {
		if activity, ok := effect.(balancer.AnswerCollect); ok {
			n.stepPlanner(planner.ReportReceived{Report: planner.Report{
				Node: surveyor.Node{Name: "n1"}, Running: activity.Running, Demands: activity.Demands, Uses: activity.Uses, Suspects: activity.Suspects,
			}})
		}
	}
}

func (n *rareNode) stepPlanner(message planner.Message) {
	for _, effect := range n.planner.Step(n.currentTime(), message) {
		switch effect := effect.(type) {
		case planner.SendOrder:
			n.stepPlanner(planner.OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: n.executeOrder(effect)})
		case planner.ReadState:
			replica := n.findReplica(effect.Replica)
			n.stepPlanner(planner.StateRead{Replica: effect.Replica, RequestedAt: n.currentTime(), Busy: replica.orderedModel != "", State: n.replicaState(replica)})
		case planner.AnswerReport:
			n.stepBalancer(balancer.SetReplicas{Replicas: effect.Answer.State.Replicas})
			n.stepBalancer(balancer.SetPeerState{OrdersAllowedIn: effect.Answer.State.OrdersAllowedIn})
		}
	}
}

func (n *rareNode) stepBalancer(message balancer.Message) {
	for _, effect := range n.balancer.Step(n.currentTime(), message) {
		switch effect := effect.(type) {
		case balancer.AnswerPlace:
			n.handleGrant(effect)
		case balancer.NewDemand:
			n.nextReport = min(n.nextReport, n.now+rareTimeStep)
		}
	}
}

func (n *rareNode) handleGrant(grant balancer.AnswerPlace) {
	arrival := n.pendingPlacements[grant.Call]
	delete(n.pendingPlacements, grant.Call)
	if grant.Placement.Refused != nil {
		return
	}
	replica := n.findReplica(grant.Placement.Replica)
	if replica.models[arrival.model] == nil || replica.orderedModel == arrival.model {
		// The replica does not run the request, so it is placed again.
		n.retries = append(n.retries, arrival)
		n.running = append(n.running, rareRun{n.now, grant.Placement.ID, balancer.ModelMissing})
		return
	}
	n.serve(replica, arrival)
	n.running = append(n.running, rareRun{n.now + arrival.runTime, grant.Placement.ID, balancer.Answered})
}

// executeOrder executes an order with the outcomes that a real replica returns.
func (n *rareNode) executeOrder(effect planner.SendOrder) planner.Outcome {
	replica := n.findReplica(effect.Replica)
	if replica.orderedModel != "" || effect.Order.ExpectedSequence != replica.sequence {
		return planner.Busy
	}
	if (replica.models[effect.Order.Model] != nil) == effect.Order.Load {
		return planner.AlreadyInEffect
	}
	n.startOrder(replica, effect.Order.Model, effect.Order.Load)
	return planner.Accepted
}

func (n *rareNode) findReplica(id string) *rareReplica {
	index := slices.IndexFunc(n.replicas, func(replica *rareReplica) bool { return replica.id == id })
	return n.replicas[index]
}

func (n *rareNode) replicaList() []surveyor.Replica {
	states := make([]surveyor.Replica, 0, len(n.replicas))
	for _, replica := range n.replicas {
		state := n.replicaState(replica)
		state.Sequence = 0
		states = append(states, state)
	}
	return states
}

func (n *rareNode) replicaState(replica *rareReplica) surveyor.Replica {
	state := surveyor.Replica{ID: replica.id, StartedMS: 1, Service: rareService, Address: replica.id, Slots: n.engine.Slots, Sequence: replica.sequence}
	for name := range replica.models {
		state.Models = append(state.Models, surveyor.LoadedModel{Name: name})
	}
	for name := range replica.onDisk {
		state.OnDisk = append(state.OnDisk, name)
	}
	slices.SortFunc(state.Models, func(a, b surveyor.LoadedModel) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(state.OnDisk)
	return state
}
