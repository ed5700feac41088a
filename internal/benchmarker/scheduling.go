package benchmarker

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// SchedulingPolicy is a policy that assigns requests to engines:
// FairScheduling, RoundRobin or LeastQueue.
type SchedulingPolicy interface{ isSchedulingPolicy() }

// FairScheduling uses the scheduler's Controller.
type FairScheduling struct{}

// RoundRobin sends every request immediately to the next engine that has the
// model. The engines serve requests in order of arrival.
type RoundRobin struct{}

// LeastQueue sends every request immediately to the engine with the fewest
// requests in the newest report. The engines serve requests in order of
// arrival.
type LeastQueue struct{}

func (FairScheduling) isSchedulingPolicy() {}
func (RoundRobin) isSchedulingPolicy()     {}
func (LeastQueue) isSchedulingPolicy()     {}

// SchedulingRow is the result for one group of requests.
type SchedulingRow struct {
	Policy SchedulingPolicy
	Load   string
	// Group is a class, or a class restricted to the worst-served workspace, to
	// all workspaces that keep to their rate, or to the one that does not.
	Group    string
	Requests int
	// P50, P95 and P99 are percentiles of the time to the first token of
	// answered requests.
	P50, P95, P99 time.Duration
	// MetShare is the share of all requests whose first token arrived by the
	// deadline.
	MetShare float64 `json:"Met"`
	// Early counts refusals before the deadline, and Late those at the
	// deadline.
	Early, Late int
	// MaxQueued is the length of the longest queue of any engine during the
	// run.
	MaxQueued int `json:"MostQueued"`
}

// The loads are named by the offered request rate, as a share of the 29.9
// requests per second that the engines can serve.
var schedulingLoads = []schedulingLoad{
	{name: "41%", scale: 0.5, heavyFactor: 1},
	{name: "82%", scale: 1, heavyFactor: 1},
	{name: "152%, one workspace at 4 times its rate", scale: 1, heavyFactor: 4},
}

// Pairs of loads that differ in the state that nodes share: the first of each
// pair runs without cache events or without attained service, the second with
// them.
var sharedStateLoads = []schedulingLoad{
	{name: "82%, prefixes, no events", scale: 1, heavyFactor: 1, prefixes: 100, noCacheEvents: true},
	{name: "82%, prefixes, events", scale: 1, heavyFactor: 1, prefixes: 100},
	{name: "152%, 4 times its rate at two nodes, attained service not told", scale: 1, heavyFactor: 4, heavyNodes: 2, noAttained: true},
	{name: "152%, 4 times its rate at two nodes, attained service told", scale: 1, heavyFactor: 4, heavyNodes: 2, slowDecay: true},
}

// SharedState measures the scheduler's Controller without and with prefix-cache
// events, and without and with fleet-wide attained service.
func SharedState(seed uint64) []SchedulingRow {
	var rows []SchedulingRow
	for _, load := range sharedStateLoads {
		simulation := newSchedulingSimulation(seed, FairScheduling{}, load)
		simulation.run()
		rows = append(rows, simulation.rows()...)
	}
	return rows
}

// Scheduling measures the policies in virtual time: 7 nodes and 12 engines, of
// which a third each run at 1, 2 and 4 times the speed of the slowest. Reports
// are taken every 250 ms and arrive 500 ms late, and every 10 seconds requests
// arrive in bursts at all nodes.
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
			formatMilliseconds(row.P50), formatMilliseconds(row.P95), formatMilliseconds(row.P99),
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
		panic(fmt.Sprintf("unknown scheduling policy %T", policy))
	}
}

func formatMilliseconds(d time.Duration) string {
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

// worstWorkspace returns the row of the workspace that met the smallest share
// of deadlines, among those that keep to their rate. Ties are broken by the
// highest p95.
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
		case r.refusedAt.Before(r.admission.Deadline):
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
