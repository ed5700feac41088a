package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// collect returns this node's part of the report to the holder and resets the
// usage counts.
func (c *Controller) collect(now time.Time, call runner.Call) AnswerCollect {
	answer := AnswerCollect{Call: call}
	for _, id := range c.sortedIDs() {
		running := c.Replicas[id].Running
		for _, model := range slices.Sorted(maps.Keys(running)) {
			answer.Running = append(answer.Running, planner.Running{Replica: id, Model: model, Count: running[model]})
		}
	}
	for _, use := range c.Uses {
		answer.Uses = append(answer.Uses, *use)
	}
	slices.SortFunc(answer.Uses, func(a, b planner.Use) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(c.Uses)
	c.forgetModels(now)
	answer.Suspects = c.suspects(now)
	answer.Demands = c.demands(now)
	answer.RateLimits, answer.Sent = c.collectLimits(now)
	answer.Notices = c.collectNotices(now)
	answer.Speeds, answer.Paces = c.Estimator.Collect()
	answer.Cached = c.Caches.Beliefs.Collect()
	return answer
}

// demands returns the models and adapters that requests wait for, in the order
// in which the first request for each arrived. The rest of a stream is no reason for a
// further copy, because it does not come again.
func (c *Controller) demands(now time.Time) []planner.Demand {
	var demands []planner.Demand
	type demandKey struct {
		useKey
		dataCentres, version string
	}
	indexes := map[demandKey]int{}
	for element := c.Waiting.byArrival.Front(); element != nil; element = element.Next() {
		need := element.Value.(*Waiter).Need
		if need.Model == "" {
			continue
		}
		key := demandKey{useKey{need.Service, modelKey{need.Model, need.Adapter}}, need.dataCentresKey(), need.Version}
		i, ok := indexes[key]
		if !ok {
			i = len(demands)
			indexes[key] = i
			demands = append(demands, planner.Demand{
				Service: need.Service, Model: need.Model, Adapter: need.Adapter, DataCentres: need.DataCentres, Version: need.Version,
				TimeToLate: need.LateAt.Sub(now), ReplicasFull: !need.Continued && c.allFull(now, need),
			})
		}
		demands[i].Waiting++
		demands[i].TimeToLate = max(demands[i].TimeToLate, need.LateAt.Sub(now))
		demands[i].TimeToDeadline = max(demands[i].TimeToDeadline, need.GiveUpAt.Sub(now))
	}
	return demands
}
