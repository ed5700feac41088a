package benchmarker

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// SchedulingPolicy is a way to bring requests to engines: FairScheduling, RoundRobin or
// LeastQueue.
type SchedulingPolicy interface{ isPolicy() }

// FairScheduling is the Scheduler controller.
type FairScheduling struct{}

// RoundRobin sends every request at once to the next engine that has the
// model; the engines serve in order of arrival.
type RoundRobin struct{}

// LeastQueue sends every request at once to the engine with the fewest
// requests in the newest report; the engines serve in order of arrival.
type LeastQueue struct{}

func (FairScheduling) isPolicy() {}
func (RoundRobin) isPolicy()     {}
func (LeastQueue) isPolicy()     {}

// SchedulingRow is the service of one group of requests.
type SchedulingRow struct {
	Policy SchedulingPolicy
	Load   string
	// Group is a class, or a class of the worst-served workspace, of all
	// workspaces that keep to their rate, or of the one that does not.
	Group    string
	Requests int
	// P50, P95 and P99 are times to the first token of the answered requests.
	P50, P95, P99 time.Duration
	// MetShare is the share of all requests whose first token came by the deadline.
	MetShare float64 `json:"Met"`
	// Early counts refusals before the deadline, Late those at it.
	Early, Late int
	// MaxQueued is the longest queue of an engine in the whole run.
	MaxQueued int `json:"MostQueued"`
}

// The loads, named by the offered requests as a share of the 29.9 requests a
// second that the engines can serve.
var schedulingLoads = []schedulingLoad{
	{name: "41%", scale: 0.5, heavyFactor: 1},
	{name: "82%", scale: 1, heavyFactor: 1},
	{name: "152%, one workspace at 4 times its rate", scale: 1, heavyFactor: 4},
}

// The loads for what nodes tell each other, in pairs without and with it.
var sharedStateLoads = []schedulingLoad{
	{name: "82%, prefixes, no events", scale: 1, heavyFactor: 1, prefixes: 100, noCacheEvents: true},
	{name: "82%, prefixes, events", scale: 1, heavyFactor: 1, prefixes: 100},
	{name: "152%, 4 times its rate at two nodes, attained service not told", scale: 1, heavyFactor: 4, heavyNodes: 2, noAttained: true},
	{name: "152%, 4 times its rate at two nodes, attained service told", scale: 1, heavyFactor: 4, heavyNodes: 2, slowDecay: true},
}

// SharedState measures the Scheduler controller without and with prefix-cache events,
// and without and with the fleet-wide attained service.
func SharedState(seed uint64) []SchedulingRow {
	var rows []SchedulingRow
	for _, load := range sharedStateLoads {
		simulation := newSchedulingSimulation(seed, FairScheduling{}, load)
		simulation.run()
		rows = append(rows, simulation.rows()...)
	}
	return rows
}

// Scheduling measures the policies in virtual time: 7 nodes, 12 engines of
// which a third each is 1, 2 and 4 times as fast as the slowest, reports every
// 250 ms that are 500 ms late, and bursts at all nodes every 10 seconds.
func Scheduling(seed uint64) []SchedulingRow {
	var rows []SchedulingRow
	for _, load := range schedulingLoads {
		for _, policy := range []SchedulingPolicy{FairScheduling{}, RoundRobin{}, LeastQueue{}} {
			simulation := newSchedulingSimulation(seed, policy, load)
			simulation.run()
			rows = append(rows, simulation.rows()...)
		}
	}
	return rows
}

// PrintScheduling writes rows as a text table.
func PrintScheduling(w io.Writer, rows []SchedulingRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\tpolicy\tgroup\trequests\tp50\tp95\tp99\tin time\tearly\tlate\tlongest queue")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%.2f%%\t%d\t%d\t%d\n",
			row.Load, SchedulingPolicyName(row.Policy), row.Group, row.Requests,
			milliseconds(row.P50), milliseconds(row.P95), milliseconds(row.P99),
			100*row.MetShare, row.Early, row.Late, row.MaxQueued)
	}
	return table.Flush()
}

// SchedulingPolicyName returns the name of a policy in tables.
func SchedulingPolicyName(policy SchedulingPolicy) string {
	switch policy.(type) {
	case FairScheduling:
		return "scheduler"
	case RoundRobin:
		return "round robin"
	case LeastQueue:
		return "least queue"
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

func (s *schedulingSimulation) rows() []SchedulingRow {
	var rows []SchedulingRow
	for _, class := range []filter.Class{filter.Interactive, filter.Assured, filter.Deferred} {
		rows = append(rows, s.row(string(class), func(r *schedulingRequest) bool { return r.admission.Class == class }))
	}
	for _, class := range []filter.Class{filter.Interactive, filter.Assured} {
		rows = append(rows, s.worstWorkspace(class))
		if s.load.heavyFactor == 1 {
			continue
		}
		rows = append(rows, s.row(string(class)+", all within rate", func(r *schedulingRequest) bool {
			return r.workspace != heavyWorkspace && r.admission.Class == class
		}))
		rows = append(rows, s.row(string(class)+", at 4 times its rate", func(r *schedulingRequest) bool {
			return r.workspace == heavyWorkspace && r.admission.Class == class
		}))
	}
	return rows
}

// worstWorkspace returns the row of the workspace with the fewest deadlines met among
// those that keep to their rate, and of these the one with the highest p95.
func (s *schedulingSimulation) worstWorkspace(class filter.Class) SchedulingRow {
	var worst SchedulingRow
	for index := range schedulingWorkspaces {
		if index == heavyWorkspace && s.load.heavyFactor > 1 {
			continue
		}
		row := s.row(string(class)+", worst within rate", func(r *schedulingRequest) bool {
			return r.workspace == index && r.admission.Class == class
		})
		if worst.Group == "" || row.MetShare < worst.MetShare || row.MetShare == worst.MetShare && row.P95 > worst.P95 {
			worst = row
		}
	}
	return worst
}

func (s *schedulingSimulation) row(group string, include func(*schedulingRequest) bool) SchedulingRow {
	row := SchedulingRow{Policy: s.policy, Load: s.load.name, Group: group, MaxQueued: s.maxQueued}
	var times []time.Duration
	for _, r := range s.requests {
		if !include(r) {
			continue
		}
		row.Requests++
		switch {
		case !r.firstToken.IsZero():
			times = append(times, r.firstToken.Sub(r.arrivedAt))
		case r.endedAt.Before(r.admission.Deadline):
			row.Early++
		default:
			row.Late++
		}
	}
	slices.Sort(times)
	row.P50, row.P95, row.P99 = percentile(times, 0.5), percentile(times, 0.95), percentile(times, 0.99)
	row.MetShare = float64(len(times)) / float64(max(1, row.Requests))
	return row
}

func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
