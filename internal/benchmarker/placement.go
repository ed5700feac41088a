package benchmarker

import (
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
)

// PlacementRow is the result of one policy for a deployment of one user's size.
type PlacementRow struct {
	User     string
	Policy   string
	Requests int
	// ColdStarts is the number of requests that waited for a model load.
	ColdStarts int
	// Late is the number of requests that waited longer than the deadline of an
	// interactive request allows.
	Late int
	// P50, P95 and P99 are percentiles of the waiting times of cold starts.
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
	// AllP95 and AllP99 are percentiles of the waiting times of all requests.
	AllP95 time.Duration `json:"All95"`
	AllP99 time.Duration `json:"All99"`
	// IdleHours is the number of accelerator hours during which a model was
	// loaded without requests. An accelerator has acceleratorMB of memory.
	IdleHours float64
	Loads     int
	// Unserved is the number of requests that still waited at the end.
	Unserved int
}

// placementPolicy is a policy with its name in tables.
type placementPolicy struct {
	Name   string
	Policy predictor.Policy
}

var placementPolicies = []placementPolicy{
	{"fixed time 10 min", predictor.FixedTime{Keep: 10 * time.Minute}},
	{"fixed time 60 min", predictor.FixedTime{Keep: time.Hour}},
	{"least recently used", predictor.LeastRecentlyUsed{}},
	{"idle-time histogram", predictor.DefaultIdleHistogram},
}

// placementDuration is the duration of a trace. During its first
// placementWarmUp the policies learn, and requests are not counted.
const (
	placementDuration = 3 * 24 * time.Hour
	placementWarmUp   = 24 * time.Hour
)

// Placement compares the keep-alive policies for deployments of both users'
// sizes in virtual time. The rows depend only on the seed.
func Placement(seed uint64) []PlacementRow {
	return placement(seed, placementDuration, placementWarmUp)
}

func placement(seed uint64, duration, warmUp time.Duration) []PlacementRow {
	rows := make([]PlacementRow, len(placementUsers)*len(placementPolicies))
	var group sync.WaitGroup
	for userIndex, user := range placementUsers {
		arrivals := user.drawTrace(seed, duration)
		for policyIndex, policy := range placementPolicies {
			row := &rows[userIndex*len(placementPolicies)+policyIndex]
			group.Go(func() {
				simulation := newPlacementSimulation(user, policy.Policy, arrivals, warmUp)
				*row = simulation.run(duration)
				row.User, row.Policy = user.Name, policy.Name
			})
		}
	}
	group.Wait()
	return rows
}

// PlacementTable formats rows as a text table.
func PlacementTable(rows []PlacementRow) string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "user\tpolicy\trequests\tcold starts\tlate\tp50\tp95\tp99\tall p95\tall p99\tidle accelerator hours\tloads\tunserved\t")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.1f s\t%.1f s\t%.1f s\t%.1f s\t%.1f s\t%.0f\t%d\t%d\t\n",
			row.User, row.Policy, row.Requests, row.ColdStarts, row.Late,
			row.P50.Seconds(), row.P95.Seconds(), row.P99.Seconds(),
			row.AllP95.Seconds(), row.AllP99.Seconds(), row.IdleHours, row.Loads, row.Unserved)
	}
	_ = table.Flush()
	return text.String()
}
