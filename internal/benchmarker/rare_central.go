package benchmarker

import (
	"slices"
	"time"
)

// runCentral plays a policy that sees every replica and every request at once.
func (s *rareSimulation) runCentral(policy rarePolicy) {
	var waiting []rareArrival
	for ; s.now < rareSpan+rareGiveUp; s.now += rareStep {
		s.complete()
		for arrival, ok := s.arrived(); ok; arrival, ok = s.arrived() {
			waiting = append(waiting, arrival)
		}
		waiting = slices.DeleteFunc(waiting, func(arrival rareArrival) bool {
			replica := s.holding(arrival.model)
			if replica == nil {
				return s.now-arrival.at > rareGiveUp
			}
			s.serve(replica, arrival)
			return true
		})
		for _, arrival := range waiting {
			if !s.coming(arrival.model) {
				s.fetch(policy, arrival, waiting)
			}
		}
		for _, replica := range s.replicas {
			s.advance(policy, replica, waiting)
		}
	}
}

// holding returns the replica with the fewest runs that has a model.
func (s *rareSimulation) holding(model string) *rareReplica {
	var best *rareReplica
	for _, replica := range s.replicas {
		held := replica.models[model]
		if held == nil || replica.order == model && !replica.load {
			continue
		}
		if best == nil || len(held.runs) < len(best.models[model].runs) {
			best = replica
		}
	}
	return best
}

func (s *rareSimulation) coming(model string) bool {
	return slices.ContainsFunc(s.replicas, func(replica *rareReplica) bool {
		return replica.target == model || replica.order == model && replica.load
	})
}

// fetch chooses the idle replica that loads a model.
func (s *rareSimulation) fetch(policy rarePolicy, arrival rareArrival, waiting []rareArrival) {
	_, foreseeing := policy.(foreseeingPolicy)
	var best *rareReplica
	bestTime := time.Duration(0)
	copied := slices.ContainsFunc(s.replicas, func(replica *rareReplica) bool { return replica.disk[arrival.model] })
	for _, replica := range s.replicas {
		if copied && !replica.disk[arrival.model] {
			continue
		}
		took := s.engine.Models[arrival.model].DiskLoadTime
		if !replica.disk[arrival.model] {
			took = s.engine.Models[arrival.model].StoreLoadTime
		}
		if replica.order == "" && replica.target == "" && (best == nil || took < bestTime) {
			best, bestTime = replica, took
		}
	}
	if best == nil || foreseeing && s.now+bestTime > arrival.at+rareInTime && bestTime < rareStoreLoad {
		return
	}
	best.target = arrival.model
}

// advance starts the load that a replica was chosen for, once it has unloaded
// enough.
func (s *rareSimulation) advance(policy rarePolicy, replica *rareReplica, waiting []rareArrival) {
	if replica.target == "" || replica.order != "" {
		return
	}
	if s.used(replica)+s.engine.Models[replica.target].MemoryMB <= s.engine.MemoryMB {
		s.start(replica, replica.target, true)
		replica.target = ""
		return
	}
	if victim := s.victim(policy, replica, waiting); victim != "" {
		s.start(replica, victim, false)
	}
}

// victim chooses the model that a replica unloads.
func (s *rareSimulation) victim(policy rarePolicy, replica *rareReplica, waiting []rareArrival) string {
	worst, worstKey := "", time.Duration(0)
	for name, held := range replica.models {
		if slices.ContainsFunc(waiting, func(arrival rareArrival) bool { return arrival.model == name }) {
			continue
		}
		key := s.now - held.usedAt
		if _, ok := policy.(foreseeingPolicy); ok {
			key = s.nextUse(replica, name) - s.now
		}
		if worst == "" || key > worstKey || key == worstKey && name < worst {
			worst, worstKey = name, key
		}
	}
	return worst
}

// nextUse returns when a model is needed at a replica again: never, if another
// one has it, too.
func (s *rareSimulation) nextUse(replica *rareReplica, model string) time.Duration {
	for _, other := range s.replicas {
		if other != replica && other.models[model] != nil && !(other.order == model && !other.load) {
			return 2 * rareSpan
		}
	}
	if len(s.future[model]) == 0 {
		return 2 * rareSpan
	}
	return s.future[model][0]
}
