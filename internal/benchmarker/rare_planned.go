package benchmarker

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// rareReport is the time between two reports of the node, and rareList
	// between two lists of replicas.
	rareReport = 250 * time.Millisecond
	rareList   = 250 * time.Millisecond
)

// rareNode drives a real planner and a real balancer: one node that holds the
// lease and takes all requests.
type rareNode struct {
	*rareSimulation
	planner  *planner.Controller
	balancer *balancer.Controller
	// placed holds the requests that the balancer was asked for, by call.
	placed  map[runner.Call]rareArrival
	calls   runner.Call
	running []rareRunning
	// again holds the requests that a replica did not run.
	again    []rareArrival
	reportAt time.Duration
}

type rareRunning struct {
	ends   time.Duration
	ticket runner.Call
	result balancer.Result
}

func (s *rareSimulation) runPlanned() {
	n := &rareNode{
		rareSimulation: s,
		planner:        planner.NewController(planner.Settings{Node: "n1", OrderSpacing: 3 * time.Second}),
		balancer:       balancer.NewController(1),
		placed:         map[runner.Call]rareArrival{},
	}
	n.plan(planner.ConfigurationChanged{ProvenAt: n.time(), Configuration: &resolver.Configuration{
		Version: 1, Revision: 1, Services: map[string]resolver.Service{rareService: {Name: rareService, Engine: s.engine}},
	}})
	n.plan(planner.NodesListed{ProvenAt: n.time(), Nodes: []surveyor.Node{{Name: "n1"}}})
	n.plan(planner.LeaseHeld{Epoch: 1, Until: n.time().Add(2 * rareSpan), NoEarlierHolder: true})
	for ; s.now < rareSpan+rareGiveUp; s.now += rareStep {
		s.complete()
		n.step()
	}
}

func (n *rareNode) time() time.Time { return placementStart.Add(n.now) }

func (n *rareNode) step() {
	if n.now%rareList == 0 {
		n.plan(planner.ReplicasListed{ProvenAt: n.time(), Replicas: n.states()})
	}
	var over []rareRunning
	n.running = slices.DeleteFunc(n.running, func(run rareRunning) bool {
		if run.ends > n.now {
			return false
		}
		over = append(over, run)
		return true
	})
	for _, run := range over {
		n.balance(balancer.AttemptEnded{PlacementID: run.ticket, Result: run.result, FirstByte: 20 * time.Millisecond})
	}
	again := n.again
	n.again = nil
	for _, arrival := range again {
		n.place(arrival)
	}
	for arrival, ok := n.arrived(); ok; arrival, ok = n.arrived() {
		n.place(arrival)
	}
	if n.now >= n.reportAt {
		n.report()
	}
	if wake := n.planner.Wake(); !wake.IsZero() && !wake.After(n.time()) {
		n.plan(planner.Tick{})
	}
	if wake := n.balancer.Wake(); !wake.IsZero() && !wake.After(n.time()) {
		n.balance(balancer.Tick{})
	}
}

// place asks the balancer for a replica.
func (n *rareNode) place(arrival rareArrival) {
	n.calls++
	n.placed[n.calls] = arrival
	n.balance(balancer.Place{Call: n.calls, Need: balancer.Need{
		Service: rareService, Model: arrival.model, Tokens: 800,
		LateAt: placementStart.Add(arrival.at + rareInTime), GiveUpAt: placementStart.Add(arrival.at + rareGiveUp),
	}})
}

// report exchanges a report for the planner's answer.
func (n *rareNode) report() {
	n.reportAt = n.now + rareReport
	for _, effect := range n.balancer.Step(n.time(), balancer.Collect{}) {
		if activity, ok := effect.(balancer.AnswerCollect); ok {
			n.plan(planner.ReportReceived{Report: planner.Report{
				Node: surveyor.Node{Name: "n1"}, Running: activity.Running, Demands: activity.Demands, Uses: activity.Uses, Suspects: activity.Suspects,
			}})
		}
	}
}

func (n *rareNode) plan(message planner.Message) {
	for _, effect := range n.planner.Step(n.time(), message) {
		switch effect := effect.(type) {
		case planner.SendOrder:
			n.plan(planner.OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: n.order(effect)})
		case planner.ReadState:
			replica := n.replica(effect.Replica)
			n.plan(planner.StateRead{Replica: effect.Replica, RequestedAt: n.time(), Busy: replica.order != "", State: n.state(replica)})
		case planner.AnswerReport:
			n.balance(balancer.SetReplicas{Replicas: effect.Answer.Replicas})
			n.balance(balancer.SetPeerState{OrdersAllowedIn: effect.Answer.OrdersAllowedIn})
		}
	}
}

func (n *rareNode) balance(message balancer.Message) {
	for _, effect := range n.balancer.Step(n.time(), message) {
		switch effect := effect.(type) {
		case balancer.Grant:
			n.granted(effect)
		case balancer.NewDemand:
			n.reportAt = min(n.reportAt, n.now+rareStep)
		}
	}
}

func (n *rareNode) granted(grant balancer.Grant) {
	arrival := n.placed[grant.Call]
	delete(n.placed, grant.Call)
	if grant.Placement.Refused != nil {
		return
	}
	replica := n.replica(grant.Placement.Replica)
	if replica.models[arrival.model] == nil || replica.order == arrival.model {
		// The replica does not run the request; it is asked for again.
		n.again = append(n.again, arrival)
		n.running = append(n.running, rareRunning{n.now, grant.Placement.ID, balancer.ModelMissing})
		return
	}
	n.serve(replica, arrival)
	n.running = append(n.running, rareRunning{n.now + arrival.runs, grant.Placement.ID, balancer.Answered})
}

// order carries out an order as a replica does.
func (n *rareNode) order(effect planner.SendOrder) planner.Outcome {
	replica := n.replica(effect.Replica)
	if replica.order != "" || effect.Order.ExpectedSequence != replica.sequence {
		return planner.Busy
	}
	if (replica.models[effect.Order.Model] != nil) == effect.Order.Load {
		return planner.AlreadyInEffect
	}
	n.start(replica, effect.Order.Model, effect.Order.Load)
	return planner.Accepted
}

func (n *rareNode) replica(id string) *rareReplica {
	at := slices.IndexFunc(n.replicas, func(replica *rareReplica) bool { return replica.id == id })
	return n.replicas[at]
}

func (n *rareNode) states() []surveyor.Replica {
	states := make([]surveyor.Replica, 0, len(n.replicas))
	for _, replica := range n.replicas {
		state := n.state(replica)
		state.Sequence = 0
		states = append(states, state)
	}
	return states
}

func (n *rareNode) state(replica *rareReplica) surveyor.Replica {
	state := surveyor.Replica{ID: replica.id, StartedMS: 1, Service: rareService, Address: replica.id, Slots: n.engine.Slots, Sequence: replica.sequence}
	for name := range replica.models {
		state.Models = append(state.Models, surveyor.LoadedModel{Name: name})
	}
	for name := range replica.disk {
		state.OnDisk = append(state.OnDisk, name)
	}
	slices.SortFunc(state.Models, func(a, b surveyor.LoadedModel) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(state.OnDisk)
	return state
}
