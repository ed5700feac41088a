package benchmarker

import (
	"fmt"
	"sync"
	"time"
)

// rareLoad is a load on the rare models, which are those that are not busy: a
// request rate that is multiplied by burstFactor during a burst. If
// missingCopyInterval is n > 0, every n-th rare model has no copy on any disk.
type rareLoad struct {
	name                string
	requestsPerSecond   float64
	burstFactor         float64
	missingCopyInterval int
}

const (
	rareDuration   = 40 * time.Second
	rareBurstStart = 15 * time.Second
	rareBurstEnd   = 25 * time.Second
)

var rareLoads = []rareLoad{
	{name: "half", requestsPerSecond: 10, burstFactor: 1},
	{name: "usual", requestsPerSecond: 21, burstFactor: 1},
	{name: "usual, burst of 2.2", requestsPerSecond: 21, burstFactor: 2.2},
	{name: "double", requestsPerSecond: 42, burstFactor: 1},
	{name: "usual, a third without copy", requestsPerSecond: 21, burstFactor: 1, missingCopyInterval: 3},
}

// rarePolicy is the policy that places models in one run of the simulation.
type rarePolicy interface{ isRarePolicy() }

// plannerPolicy uses the real planner and balancer, which do not know future
// requests.
type plannerPolicy struct{}

// leastRecentlyUsedPolicy loads each requested model that is not loaded on the
// idle replica that can load it fastest, and unloads the model that was used
// least recently.
type leastRecentlyUsedPolicy struct{}

// clairvoyantPolicy knows all future requests. It unloads the model whose next
// request is farthest in the future, and does not start a load from disk that
// would miss the latency target.
type clairvoyantPolicy struct{}

func (plannerPolicy) isRarePolicy()           {}
func (leastRecentlyUsedPolicy) isRarePolicy() {}
func (clairvoyantPolicy) isRarePolicy()       {}

var rarePolicies = []rarePolicy{leastRecentlyUsedPolicy{}, plannerPolicy{}, clairvoyantPolicy{}}

func rarePolicyName(policy rarePolicy) string {
	switch policy.(type) {
	case plannerPolicy:
		return "planner"
	case leastRecentlyUsedPolicy:
		return "least recently used"
	case clairvoyantPolicy:
		return "all-knowing"
	}
	return fmt.Sprintf("%T", policy)
}

// Rare compares the placement of rare models by the planner with a simple
// policy and with a clairvoyant one, in virtual time. The table depends only on
// the seed.
func Rare(seed uint64) Table { return rare(seed, rareLoads) }

func rare(seed uint64, loads []rareLoad) Table {
	table := Table{
		Title:   "Rare models: 18 replicas, 15 busy and 91 rare models",
		Columns: []string{"requests", "in time %", "served %", "loads a second", "p50 wait ms", "p99 wait ms"},
		Notes: []string{
			"In time is 2.5 s to the first token; requests are given up after 6.6 s.",
			"The simple policies see every change at once and without cost; the planner gets reports every 250 ms or on demand.",
			"The all-knowing policy is a bound for this kind of placement, not a proven optimum.",
		},
	}
	rows := make([]Row, len(loads)*len(rarePolicies))
	var group sync.WaitGroup
	for loadIndex, load := range loads {
		arrivals := rareArrivals(seed, load)
		for policyIndex, policy := range rarePolicies {
			row := &rows[loadIndex*len(rarePolicies)+policyIndex]
			group.Go(func() {
				simulation := newRareSimulation(seed, load, arrivals)
				simulation.run(policy)
				*row = Row{Case: load.name + ", " + rarePolicyName(policy), Values: simulation.values()}
			})
		}
	}
	group.Wait()
	table.Rows = rows
	return table
}
