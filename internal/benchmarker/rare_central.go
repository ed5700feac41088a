package benchmarker

import (
	"slices"
	"time"
)

// runCentral simulates a policy that sees the state of all replicas and
// requests without delay.
func (s *rareSimulation) runCentral(policy rarePolicy) {
	var waiting []rareArrival
	for ; s.now < rareDuration+rareTimeout; s.now += rareTimeStep {
		s.completeFinished()
		for arrival, ok := s.nextArrival(); ok; arrival, ok = s.nextArrival() {
			waiting = append(waiting, arrival)
		}
		waiting = slices.DeleteFunc(waiting, func(arrival rareArrival) bool {
			replica := s.leastBusyReplica(arrival.model)
			if replica == nil {
				return s.now-arrival.arrivesAt > rareTimeout
			}
			s.serve(replica, arrival)
			return true
		})
		for _, arrival := range waiting {
			if !s.isLoadPending(arrival.model) {
				s.chooseReplica(policy, arrival, waiting)
			}
		}
		for _, replica := range s.replicas {
			s.startTargetLoad(policy, replica, waiting)
		}
	}
}

// leastBusyReplica returns the replica with the fewest running requests of a
// model among those that have it loaded, or nil.
func (s *rareSimulation) leastBusyReplica(model string) *rareReplica {
	var best *rareReplica
	for _, replica := range s.replicas {
		loaded := replica.models[model]
		if loaded == nil || replica.orderedModel == model && !replica.loading {
			continue
		}
		if best == nil || len(loaded.runEnds) < len(best.models[model].runEnds) {
			best = replica
		}
	}
	return best
}

func (s *rareSimulation) isLoadPending(model string) bool {
	return slices.ContainsFunc(s.replicas, func(replica *rareReplica) bool {
		return replica.targetModel == model || replica.orderedModel == model && replica.loading
	})
}

// chooseReplica chooses the idle replica that loads a model fastest. If a
// replica has the model on disk, only such replicas are considered.
func (s *rareSimulation) chooseReplica(policy rarePolicy, arrival rareArrival, waiting []rareArrival) {
	_, clairvoyant := policy.(clairvoyantPolicy)
	var best *rareReplica
	bestLoadTime := time.Duration(0)
	anyOnDisk := slices.ContainsFunc(s.replicas, func(replica *rareReplica) bool { return replica.onDisk[arrival.model] })
	for _, replica := range s.replicas {
		if anyOnDisk && !replica.onDisk[arrival.model] {
			continue
		}
		loadTime := s.engine.Models[arrival.model].DiskLoadTime
		if !replica.onDisk[arrival.model] {
			loadTime = s.engine.Models[arrival.model].StoreLoadTime
		}
		if replica.orderedModel == "" && replica.targetModel == "" && (best == nil || loadTime < bestLoadTime) {
			best, bestLoadTime = replica, loadTime
		}
	}
	if best == nil || clairvoyant && s.now+bestLoadTime > arrival.arrivesAt+rareLatencyTarget && bestLoadTime < rareStoreLoadTime {
		return
	}
	best.targetModel = arrival.model
}

// startTargetLoad starts the load that a replica was chosen for, or an unload
// if the replica has too little free memory.
func (s *rareSimulation) startTargetLoad(policy rarePolicy, replica *rareReplica, waiting []rareArrival) {
	if replica.targetModel == "" || replica.orderedModel != "" {
		return
	}
	if s.usedMB(replica)+s.engine.Models[replica.targetModel].MemoryMB <= s.engine.MemoryMB {
		s.startOrder(replica, replica.targetModel, true)
		replica.targetModel = ""
		return
	}
	if victim := s.chooseVictim(policy, replica, waiting); victim != "" {
		s.startOrder(replica, victim, false)
	}
}

// chooseVictim returns the model that a replica unloads, or "" if requests wait for
// all of its models.
func (s *rareSimulation) chooseVictim(policy rarePolicy, replica *rareReplica, waiting []rareArrival) string {
	worst, worstKey := "", time.Duration(0)
	for name, loaded := range replica.models {
		if slices.ContainsFunc(waiting, func(arrival rareArrival) bool { return arrival.model == name }) {
			continue
		}
		key := s.now - loaded.lastUsed
		if _, ok := policy.(clairvoyantPolicy); ok {
			key = s.nextUse(replica, name) - s.now
		}
		if worst == "" || key > worstKey || key == worstKey && name < worst {
			worst, worstKey = name, key
		}
	}
	return worst
}

// nextUse returns the time at which a model is next needed on a replica. If
// another replica also has the model, or no more requests for it follow, this
// is after the end of the simulation.
func (s *rareSimulation) nextUse(replica *rareReplica, model string) time.Duration {
	for _, other := range s.replicas {
		if other != replica && other.models[model] != nil && !(other.orderedModel == model && !other.loading) {
			return 2 * rareDuration
		}
	}
	if len(s.futureArrivals[model]) == 0 {
		return 2 * rareDuration
	}
	return s.futureArrivals[model][0]
}
