package benchmarker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/ranker"
	"toucanhitch.example/toucanhitch/internal/syncer"
)

const (
	takeoverLease = "Placement"
	// takeoverCrash is when the holder is lost, takeoverGap the time until another
	// node acquires its lease, and takeoverEnd the end of a simulation.
	takeoverCrash = 5 * time.Second
	takeoverGap   = 2600 * time.Millisecond
	takeoverEnd   = 14 * time.Second
	// takeoverRest is the time at the end in which the fleet has to be at rest.
	takeoverRest = 4 * time.Second
	// takeoverLargeNodes is the number of nodes with the large capacity and link.
	// The other nodes have the small ones, as most do in a large deployment.
	takeoverLargeNodes    = 18
	takeoverLargeCapacity = 0.8
	takeoverSmallCapacity = 0.144
	takeoverLargeLinkMbps = 200.0
	takeoverSmallLinkMbps = 20.0
	takeoverDelay         = time.Millisecond
	// takeoverPoll is the interval at which candidates read the lease.
	takeoverPoll = 600 * time.Millisecond
	// takeoverReportCost is the time that a node with a whole core spends on one
	// report, sockets included.
	takeoverReportCost = 250 * time.Microsecond
	takeoverWorkspaces = 40
)

// takeoverResult is the outcome of a simulated takeover.
type takeoverResult struct {
	// foundAfter is the time from the takeover until the last node has an answer of
	// the new holder.
	foundAfter time.Duration
	// unfound is the number of nodes without such an answer at the end.
	unfound int
	// failedAtRest is the number of failed exchanges, and exchangesAtRest the
	// number of all exchanges per second, in takeoverRest.
	failedAtRest    int
	exchangesAtRest float64
	// linkShare is the share of the holder's link that its answers took at rest.
	linkShare float64
}

// takeoverNode is a simulated node. Only candidates have a planner.
type takeoverNode struct {
	name      string
	index     int
	syncer    *syncer.Controller
	planner   *planner.Controller
	dead      bool
	coreFree  time.Time
	linkFree  time.Time
	capacity  float64
	linkMbps  float64
	scheduled time.Time
	foundAt   time.Time
	last      planner.Answer
}

// takeover simulates the exchanges of a fleet with the holder of the placement
// lease, which is lost and replaced, with the real syncers and planners. Processor
// time and links are limited; answers queue on them.
type takeover struct {
	random *rand.Rand
	now    time.Time
	events takeoverEvents
	fleet  holderFleet
	size   holderSize
	nodes  []*takeoverNode
	byName map[string]*takeoverNode
	sizes  stateSizes
	result takeoverResult
	// successor is the name of the node that acquires the lease after the crash.
	successor string
	restFrom  time.Time
	restSent  float64
}

type takeoverEvent struct {
	at  time.Time
	run func()
}

// takeoverEvents implements heap.Interface.
type takeoverEvents []takeoverEvent

func (e takeoverEvents) Len() int           { return len(e) }
func (e takeoverEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e takeoverEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *takeoverEvents) Push(event any)    { *e = append(*e, event.(takeoverEvent)) }
func (e *takeoverEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (t *takeover) schedule(at time.Time, run func()) {
	heap.Push(&t.events, takeoverEvent{at, run})
}

// simulateTakeover runs one simulation.
func simulateTakeover(seed uint64, size holderSize) takeoverResult {
	random := rand.New(rand.NewPCG(seed, uint64(size.nodes)))
	t := &takeover{
		random: random, now: placementStart, size: size, fleet: newHolderFleet(random, size),
		byName: map[string]*takeoverNode{}, sizes: stateSizes{}, restFrom: placementStart.Add(takeoverEnd - takeoverRest),
	}
	var largeNames []string
	for i := range t.fleet.nodes {
		node := &takeoverNode{name: t.fleet.nodes[i].Name, index: i, capacity: takeoverSmallCapacity, linkMbps: takeoverSmallLinkMbps}
		if i < takeoverLargeNodes {
			node.capacity, node.linkMbps = takeoverLargeCapacity, takeoverLargeLinkMbps
			largeNames = append(largeNames, node.name)
		}
		t.fleet.nodes[i].Capacity = node.capacity
		node.syncer = syncer.NewController(node.name, takeoverLease)
		t.nodes = append(t.nodes, node)
		t.byName[node.name] = node
	}
	ranked := ranker.Rank(takeoverLease, largeNames)
	for _, name := range ranked[:3] {
		t.byName[name].planner = planner.NewController(planner.Settings{Node: name, OrderSpacing: 3 * time.Second, MinTakeoverDelay: 360 * time.Millisecond})
	}
	first, second := t.byName[ranked[0]], t.byName[ranked[1]]
	t.successor = second.name
	t.acquire(first, 1)
	for _, node := range t.nodes {
		t.schedule(t.now.Add(time.Duration(random.Int64N(int64(300*time.Millisecond)))), func() { t.stepSyncer(node, syncer.SetNodes{Nodes: t.fleet.nodes}) })
	}
	t.schedule(t.now.Add(takeoverCrash), func() { first.dead = true })
	takenOverAt := t.now.Add(takeoverCrash + takeoverGap)
	t.schedule(takenOverAt, func() { t.acquire(second, 2) })
	third := t.byName[ranked[2]]
	t.schedule(takenOverAt.Add(takeoverPoll), func() { t.stepSyncer(third, syncer.HolderHint{Holder: second.name}) })
	for end := placementStart.Add(takeoverEnd); len(t.events) > 0 && t.events[0].at.Before(end); {
		event := heap.Pop(&t.events).(takeoverEvent)
		t.now = event.at
		event.run()
	}
	for _, node := range t.nodes {
		switch {
		case node == first:
		case node.foundAt.IsZero():
			t.result.unfound++
		default:
			t.result.foundAfter = max(t.result.foundAfter, node.foundAt.Sub(takenOverAt))
		}
	}
	t.result.exchangesAtRest /= takeoverRest.Seconds()
	t.result.linkShare = t.restSent * 8 / (second.linkMbps * 1e6 * takeoverRest.Seconds())
	return t.result
}

// acquire makes a node the holder of an epoch.
func (t *takeover) acquire(node *takeoverNode, epoch uint64) {
	t.stepPlanner(node, planner.ConfigurationChanged{CurrentAsOf: t.now, Configuration: t.fleet.configuration})
	t.stepPlanner(node, planner.NodesListed{Nodes: t.fleet.nodes, CurrentAsOf: t.now})
	t.stepPlanner(node, planner.LeaseHeld{Epoch: epoch, Until: t.now.Add(time.Hour), NoEarlierHolder: epoch == 1})
	t.stepSyncer(node, syncer.SetHolding{Holding: true})
	t.readStore(node)
	t.tickPlanner(node)
}

// act makes a candidate act for the lost holder.
func (t *takeover) act(node *takeoverNode, effect syncer.SetActing) {
	t.stepPlanner(node, planner.ConfigurationChanged{CurrentAsOf: t.now, Configuration: t.fleet.configuration})
	t.stepPlanner(node, planner.SetActing{Acting: effect.Acting, Registered: effect.Registered})
	if effect.Acting {
		t.readStore(node)
	}
}

// readStore delivers the list of replicas regularly to a planner with a tenure.
func (t *takeover) readStore(node *takeoverNode) {
	if node.dead || node.planner.Tenure == nil {
		return
	}
	t.stepPlanner(node, planner.ReplicasListed{Replicas: t.fleet.replicas, CurrentAsOf: t.now})
	t.schedule(t.now.Add(400*time.Millisecond), func() { t.readStore(node) })
}

// tickPlanner wakes the planner of a holder regularly.
func (t *takeover) tickPlanner(node *takeoverNode) {
	if node.dead {
		return
	}
	t.stepPlanner(node, planner.Tick{})
	t.schedule(t.now.Add(20*time.Millisecond), func() { t.tickPlanner(node) })
}

func (t *takeover) stepPlanner(node *takeoverNode, message planner.Message) planner.Answer {
	var answer planner.Answer
	for _, effect := range node.planner.Step(t.now, message) {
		switch effect := effect.(type) {
		case planner.SendOrder:
			t.stepPlanner(node, planner.OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: planner.Accepted})
		case planner.ReadState:
			for _, replica := range t.fleet.replicas {
				if replica.ID == effect.Replica {
					t.stepPlanner(node, planner.StateRead{Replica: effect.Replica, RequestedAt: t.now.Add(time.Second), State: replica})
				}
			}
		case planner.AnswerReport:
			answer = effect.Answer
		}
	}
	return answer
}

func (t *takeover) stepSyncer(node *takeoverNode, message syncer.Message) {
	if node.dead {
		return
	}
	for _, effect := range node.syncer.Step(t.now, message) {
		switch effect := effect.(type) {
		case syncer.Exchange:
			t.exchange(node, effect)
		case syncer.SetActing:
			t.act(node, effect)
		case syncer.HolderAnswered:
			node.last = effect.Answer
			if effect.Answer.Holder == t.successor && !effect.Answer.Acting && node.foundAt.IsZero() {
				node.foundAt = t.now
			}
		}
	}
	if wake := node.syncer.Wake(); !wake.IsZero() && !wake.Equal(node.scheduled) {
		node.scheduled = wake
		t.schedule(later(wake, t.now), func() {
			if node.scheduled.Equal(wake) {
				node.scheduled = time.Time{}
				t.stepSyncer(node, syncer.Tick{})
			}
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// exchange sends a node's report and delivers the answer, or a failure at the
// timeout.
func (t *takeover) exchange(node *takeoverNode, effect syncer.Exchange) {
	started, peer := t.now, t.byName[effect.Peer]
	report := newHolderReport(t.random, t.fleet.nodes[node.index], node.last, t.fleet.replicas, t.size)
	report.Sequence, report.Epoch, report.Version, report.NeedsView = effect.Sequence, effect.Epoch, effect.Version, effect.NeedsView
	for i := range takeoverWorkspaces {
		report.Spent = append(report.Spent, planner.Spent{Workspace: fmt.Sprintf("w%02d", i), Units: 1000 * float64(effect.Sequence)})
	}
	ended := syncer.ExchangeEnded{Peer: effect.Peer, StartedAt: started, Report: report}
	if !started.Before(t.restFrom) {
		t.result.exchangesAtRest++
	}
	fail := func() {
		ended.Failed, ended.Cause = true, "timeout"
		if !t.now.Before(t.restFrom) {
			t.result.failedAtRest++
		}
		t.stepSyncer(node, ended)
	}
	if peer == nil || peer.dead {
		t.schedule(started.Add(effect.Timeout), fail)
		return
	}
	arrival := started.Add(takeoverDelay + linkTime(node, len(encoder.Encode(report))))
	handled := later(arrival, peer.coreFree).Add(time.Duration(float64(takeoverReportCost) / peer.capacity))
	peer.coreFree = handled
	t.schedule(handled, func() {
		var answer planner.Answer
		bytes := 100
		if peer.planner != nil && !peer.dead {
			answer = t.stepPlanner(peer, planner.ReportReceived{Report: report})
			if !answer.Holding && !peer.syncer.HolderActing {
				answer.Holder = peer.syncer.Holder
			}
			bytes = t.answerBytes(answer)
		}
		sent := later(t.now, peer.linkFree).Add(linkTime(peer, bytes))
		if peer != node {
			peer.linkFree = sent
			if answer.Holding && !t.now.Before(t.restFrom) {
				t.restSent += float64(bytes)
			}
		}
		received := sent.Add(takeoverDelay + linkTime(node, bytes))
		if received.Sub(started) > effect.Timeout {
			t.schedule(later(started.Add(effect.Timeout), t.now), fail)
			return
		}
		ended.Answer = answer
		t.schedule(received, func() { t.stepSyncer(node, ended) })
	})
}

func (t *takeover) answerBytes(answer planner.Answer) int {
	if answer.State == nil {
		return len(encoder.Encode(answer))
	}
	return t.sizes.encodedBytes(answer)
}

// linkTime returns the time that a node's link takes for a number of bytes.
func linkTime(node *takeoverNode, bytes int) time.Duration {
	return time.Duration(float64(bytes) * 8 / (node.linkMbps * 1e6) * float64(time.Second))
}

// takeoverSizes are the fleets of the users' grown and large deployments, one with many
// replicas for each node, and the next size. largestTakeover, a large deployment with ten
// replicas for each node, is measured, but takes too long for a test.
var (
	takeoverSizes   = []holderSize{{76, 90, 293}, {295, 159, 498}, {200, 1500, 498}, {1000, 500, 498}}
	largestTakeover = holderSize{300, 3003, 498}
)

// measureTakeovers simulates a takeover of the placement lease at several sizes.
func measureTakeovers(settings SlopesSettings) []Table {
	table := Table{
		Title:   "Takeover of the placement lease, in virtual time",
		Columns: []string{"last node has the new holder, ms", "nodes without it", "exchanges a second at rest", "failed at rest", "holder's link at rest %"},
		Notes: []string{
			fmt.Sprintf("%d nodes have %v of a core and %v Mbit/s, the others %v and %v.", takeoverLargeNodes, takeoverLargeCapacity, takeoverLargeLinkMbps, takeoverSmallCapacity, takeoverSmallLinkMbps),
			"Times count from the takeover, 2.6 s after the loss of the holder.",
		},
	}
	for _, size := range append(slices.Clone(takeoverSizes), largestTakeover) {
		result := simulateTakeover(settings.Seed, size)
		table.addRow(fmt.Sprintf("%d nodes, %d replicas", size.nodes, size.replicas), inMilliseconds(result.foundAfter),
			float64(result.unfound), result.exchangesAtRest, float64(result.failedAtRest), 100*result.linkShare)
	}
	return []Table{table}
}
