package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// holderSize is a fleet size for the measurement of the lease holder.
type holderSize struct{ nodes, replicas, models int }

var holderSizes = []holderSize{{7, 18, 106}, {76, 90, 293}, {300, 360, 293}, {1000, 1200, 293}}

const (
	// holderDuration is the virtual time that is measured.
	holderDuration = 2 * time.Second
	holderTimeStep = 10 * time.Millisecond
	// holderReportsSmallFleet and holderReportsLargeFleet are the reports per
	// second of a node: an exchange every 250 ms, and every 500 ms in fleets of
	// more than 50 nodes.
	holderReportsSmallFleet, holderReportsLargeFleet = 4, 2
	// holderDemandPercent is the percentage of reports with a demand for a
	// model.
	holderDemandPercent = 20
)

// measureHolders measures the work of the holder of the placement lease for the
// reports of a fleet, with the real planner.
func measureHolders(settings SlopesSettings) []Table {
	table := Table{
		Title:   "Holder of the placement lease: reports of nodes with demand",
		Columns: []string{"reports a second", "us a report", "share of a core %", "bytes an answer", "KB/s of answers a node"},
		Notes: []string{
			"Decisions and the encoding of answers; sockets and the decoding of reports are not contained.",
			"Replicas accept each order at once.",
		},
	}
	for _, size := range holderSizes {
		table.addRow(fmt.Sprintf("%d nodes, %d replicas, %d models", size.nodes, size.replicas, size.models), measureHolder(settings, size)...)
	}
	return []Table{table}
}

// holderFleet is the configuration, the replicas and the nodes of a fleet.
type holderFleet struct {
	configuration *resolver.Configuration
	replicas      []surveyor.Replica
	nodes         []surveyor.Node
}

func newHolderFleet(random *rand.Rand, size holderSize) holderFleet {
	engine := &resolver.Engine{Slots: 24, MemoryMB: 200, AdapterSlots: 8, HostMB: 130, DiskMB: 1300, LoadsPerSecond: 38, Models: map[string]resolver.Model{}}
	for i := range size.models {
		engine.Models[rareModelName(i)] = resolver.Model{
			Name: rareModelName(i), MemoryMB: 60, StoreLoadTime: 7 * time.Second, DiskLoadTime: 700 * time.Millisecond, MemoryLoadTime: 500 * time.Millisecond,
		}
	}
	fleet := holderFleet{configuration: &resolver.Configuration{
		Version: 1, Position: sequencer.Position{Revision: 1}, Services: map[string]resolver.Service{rareService: {Name: rareService, Engine: engine}},
	}}
	for i := range size.replicas {
		replica := surveyor.Replica{ID: fmt.Sprintf("i-%08x", i), StartedMS: 1, Service: rareService, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 24}
		for _, modelIndex := range random.Perm(size.models)[:20] {
			replica.OnDisk = append(replica.OnDisk, rareModelName(modelIndex))
		}
		replica.Models = []surveyor.LoadedModel{{Name: replica.OnDisk[0]}, {Name: replica.OnDisk[1]}}
		fleet.replicas = append(fleet.replicas, replica)
	}
	for i := range size.nodes {
		fleet.nodes = append(fleet.nodes, surveyor.Node{
			Name: fmt.Sprintf("n%d", i), RunID: "r", CallerAddress: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7600", i/250, i%250), Capacity: 0.5,
		})
	}
	return fleet
}

func measureHolder(settings SlopesSettings, size holderSize) []float64 {
	random := rand.New(rand.NewPCG(settings.Seed, uint64(size.nodes)))
	now := placementStart
	controller := planner.NewController(planner.Settings{Node: "n0", OrderSpacing: 3 * time.Second})
	fleet := newHolderFleet(random, size)
	replicas, nodes := fleet.replicas, fleet.nodes
	// step passes a message to the planner and answers its orders and reads
	// immediately.
	var step func(message planner.Message) []planner.Effect
	step = func(message planner.Message) []planner.Effect {
		effects := controller.Step(now, message)
		for _, effect := range effects {
			switch effect := effect.(type) {
			case planner.SendOrder:
				effects = append(effects, step(planner.OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: planner.Accepted})...)
			case planner.ReadState:
				effects = append(effects, step(planner.StateRead{Replica: effect.Replica, RequestedAt: now, Failed: true})...)
			}
		}
		return effects
	}
	step(planner.ConfigurationChanged{CurrentAsOf: now, Configuration: fleet.configuration})
	step(planner.NodesListed{Nodes: nodes, CurrentAsOf: now})
	step(planner.LeaseHeld{Epoch: 1, Until: now.Add(time.Hour), NoEarlierHolder: true})
	step(planner.ReplicasListed{Replicas: replicas, CurrentAsOf: now})
	for i := range replicas {
		step(planner.StateRead{Replica: replicas[i].ID, RequestedAt: now.Add(time.Second), State: replicas[i]})
	}
	reportsPerNode := holderReportsSmallFleet
	if size.nodes > 50 {
		reportsPerNode = holderReportsLargeFleet
	}
	lastAnswers := make([]planner.Answer, size.nodes)
	states := stateSizes{}
	reports, answerBytes, dueReports := 0, 0, 0.0
	start := settings.Clock.Now()
	for elapsed := time.Duration(0); elapsed < holderDuration; elapsed += holderTimeStep {
		now = now.Add(holderTimeStep)
		step(planner.Tick{})
		for dueReports += float64(size.nodes*reportsPerNode) * holderTimeStep.Seconds(); dueReports >= 1; dueReports-- {
			nodeIndex := reports % size.nodes
			reports++
			for _, effect := range step(planner.ReportReceived{Report: newHolderReport(random, nodes[nodeIndex], lastAnswers[nodeIndex], replicas, size)}) {
				if answer, ok := effect.(planner.AnswerReport); ok {
					lastAnswers[nodeIndex] = answer.Answer
					answerBytes += states.encodedBytes(answer.Answer)
				}
			}
		}
	}
	wallTime := settings.Clock.Since(start)
	reportCount := float64(max(1, reports))
	return []float64{
		reportCount / holderDuration.Seconds(), float64(wallTime.Microseconds()) / reportCount, 100 * wallTime.Seconds() / holderDuration.Seconds(),
		float64(answerBytes) / reportCount, float64(answerBytes) / 1000 / holderDuration.Seconds() / float64(size.nodes),
	}
}

// stateSizes holds the encoded sizes of states, which are encoded once for all
// nodes that get them.
type stateSizes map[*planner.State]int

// encodedBytes returns the number of bytes of an encoded answer.
func (s stateSizes) encodedBytes(answer planner.Answer) int {
	state := answer.State
	if _, ok := s[state]; !ok {
		s[state] = messenger.StateBytes(state)
	}
	answer.State = nil
	return s[state] + len(encoder.Encode(answer))
}

// newHolderReport returns the report of a node with a few requests.
func newHolderReport(random *rand.Rand, node surveyor.Node, lastAnswer planner.Answer, replicas []surveyor.Replica, size holderSize) planner.Report {
	report := planner.Report{Node: node, Sequence: 1}
	if lastAnswer.State != nil {
		report.Epoch, report.Version = lastAnswer.State.Epoch, lastAnswer.State.Version
	}
	for range 4 {
		replica := replicas[random.IntN(len(replicas))]
		report.Running = append(report.Running, planner.Running{Replica: replica.ID, Model: replica.OnDisk[0], Count: 1})
		report.Uses = append(report.Uses, planner.Use{Service: rareService, Model: replica.OnDisk[0], Count: 1, Tokens: 800})
	}
	if random.IntN(100) < holderDemandPercent {
		report.Demands = []planner.Demand{{
			Service: rareService, Model: rareModelName(random.IntN(size.models)), Waiting: 1, TimeToDeadline: 5 * time.Second, TimeToLate: 2 * time.Second,
		}}
	}
	return report
}
