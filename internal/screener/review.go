package screener

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict is a trait that a review has quarantined, with the numbers of requests and
// replicas in the evidence against it.
type Verdict struct {
	Trait              Trait `json:"Part"`
	Requests, Replicas int
}

// Review quarantines the traits with enough evidence against them and returns these.
func (e *Evidence) Review(now time.Time) []Verdict {
	if now.Sub(e.ReviewedAt) < reviewInterval {
		return nil
	}
	e.ReviewedAt = now
	e.expire(now)
	for _, s := range e.Suspicions {
		e.update(now, s)
	}
	var verdicts []Verdict
	for trait := e.mostSpecific(now); trait != ""; trait = e.mostSpecific(now) {
		s := e.Suspicions[trait]
		verdicts = append(verdicts, Verdict{Trait: trait, Replicas: s.replicas(), Requests: s.requests()})
		delete(e.Suspicions, trait)
		e.Quarantined[trait] = now.Add(quarantineTime)
		fingerprint, ok := RequestFingerprint(trait)
		if !ok {
			fingerprint = ""
		}
		for _, sighting := range s.Sightings {
			e.explain(now, sighting.Replica, fingerprint)
		}
	}
	return verdicts
}

// update sets the times of a suspicion, and ends its hold if others are answered.
func (e *Evidence) update(now time.Time, s *Suspicion) {
	switch {
	case !s.isSuspect():
		s.SuspectSince = time.Time{}
	case s.SuspectSince.IsZero():
		s.SuspectSince, s.AnswersBefore = now, e.Answers[s.Service]
	}
	switch sufficient, _ := s.isSufficient(); {
	case !sufficient:
		s.SufficientSince = time.Time{}
	case s.SufficientSince.IsZero():
		s.SufficientSince = now
	}
	if s.mustHold(now) {
		e.hold(now, s)
	}
	if !s.HeldUntil.IsZero() && (!now.Before(s.HeldUntil) || e.isAnswering(s)) {
		s.HeldUntil, s.ReleasedAt = time.Time{}, now
	}
}

// chooseProber makes a node that has just reported the prober of the traits that need one.
func (e *Evidence) chooseProber(now time.Time, node string) {
	for _, s := range e.Suspicions {
		if !s.ReleasedAt.IsZero() && s.HeldUntil.IsZero() && (s.Prober == "" || !now.Before(s.ProberUntil)) {
			s.Prober, s.ProberUntil = node, now.Add(probeTime)
		}
	}
}

// mustHold reports whether a request is held although only one replica has crashed: several of
// its repetitions were there, and more would be sent to the next replica at once.
func (s *Suspicion) mustHold(now time.Time) bool {
	return s.WholeRequest && s.Holds == 0 && !s.SuspectSince.IsZero() && now.Sub(s.SuspectSince) >= requestSettleTime &&
		s.SufficientSince.IsZero() && s.answering() > 0 && s.requests() >= holdRepetitions
}

// hold keeps a request away from replicas although it is not known whether it is the cause,
// because nothing is answered or because only one replica has crashed. As soon as others are
// answered, one node at a time sends it, and the next answer or break decides.
func (e *Evidence) hold(now time.Time, s *Suspicion) {
	s.Prober = ""
	s.HeldUntil, s.AnswersBefore = now.Add(min(maxHoldTime, minHoldTime<<s.Holds)), e.Answers[s.Service]
	s.Holds = min(s.Holds+1, maxHolds)
}

// mostSpecific returns the trait to quarantine, or "" if there is none yet. Requests
// with a part often share the parts before it, which then have the same evidence
// against them or more. So of the traits with about the most crashes, it is the one at
// the largest depth. If that is wrong, the crashes go on and lead to the next trait.
func (e *Evidence) mostSpecific(now time.Time) Trait {
	traits := e.candidates()
	most := 0
	for _, trait := range traits {
		most = max(most, e.Suspicions[trait].replicas())
	}
	traits = slices.DeleteFunc(traits, func(trait Trait) bool {
		return float64(e.Suspicions[trait].replicas()) < minCrashShare*float64(most)
	})
	if len(traits) == 0 {
		return ""
	}
	trait := slices.MaxFunc(traits, func(a, b Trait) int {
		first, second := e.Suspicions[a], e.Suspicions[b]
		return cmp.Or(cmp.Compare(first.Depth, second.Depth), cmp.Compare(first.replicas(), second.replicas()), cmp.Compare(first.requests(), second.requests()))
	})
	s := e.Suspicions[trait]
	switch {
	case !s.isSettled(now):
		// The parts before it, which may have been suspect for longer, wait as well.
		return ""
	case e.isAnswering(s):
		return trait
	case s.WholeRequest:
		e.hold(now, s)
	}
	return ""
}

// isSettled reports whether answers and running replicas would have dropped the evidence
// by now.
func (s *Suspicion) isSettled(now time.Time) bool {
	if s.WholeRequest {
		return now.Sub(s.SufficientSince) >= requestSettleTime
	}
	return now.Sub(s.SuspectSince) >= settleTime
}

// candidates returns the traits with enough evidence for a quarantine, sorted. Those
// whose requests only broke off before the head of the answer are candidates if there are
// no others.
func (e *Evidence) candidates() []Trait {
	var answered, silent []Trait
	for _, trait := range slices.Sorted(maps.Keys(e.Suspicions)) {
		s := e.Suspicions[trait]
		if !s.isCandidate() {
			continue
		}
		switch sufficient, isSilent := s.isSufficient(); {
		case sufficient && isSilent:
			silent = append(silent, trait)
		case sufficient:
			answered = append(answered, trait)
		}
	}
	if len(answered) == 0 {
		return silent
	}
	return answered
}

// minCrashShare is the share of the most crashes that a trait needs to be chosen for
// its depth. The nodes' reports of one crash arrive at different times.
const minCrashShare = 0.75

// isAnswering reports whether enough has been answered since the trait became suspect for
// the lack of answers with it to count.
func (e *Evidence) isAnswering(s *Suspicion) bool {
	return e.expectedAnswers(s) >= minExpectedAnswers ||
		s.WholeRequest && e.Answers[s.Service]-s.AnswersBefore >= minOtherAnswers
}

// expectedAnswers returns how many answers should have begun with a trait since it is
// suspect if it were sound: its share of the service's requests that broke off is about
// its share of all.
func (e *Evidence) expectedAnswers(s *Suspicion) float64 {
	if len(s.Sightings) == 0 {
		return 0
	}
	broken := 0
	for _, request := range e.Broken {
		if request.Service == s.Service && !request.At.Before(s.Sightings[0].BrokenAt) {
			broken++
		}
	}
	return float64(e.Answers[s.Service]-s.AnswersBefore) * float64(s.requests()) / float64(max(1, broken))
}

// expire removes old evidence and quarantines that have ended.
func (e *Evidence) expire(now time.Time) {
	maps.DeleteFunc(e.Quarantined, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, replicas := range []map[Process]time.Time{e.Explained, e.Alive, e.CheckedAt} {
		maps.DeleteFunc(replicas, func(_ Process, at time.Time) bool { return now.Sub(at) > explainedLifetime })
	}
	maps.DeleteFunc(e.Broken, func(_ string, request BrokenRequest) bool { return now.Sub(request.At) > sightingLifetime })
	maps.DeleteFunc(e.Suspicions, func(_ Trait, s *Suspicion) bool {
		s.Sightings = slices.DeleteFunc(s.Sightings, func(sighting Sighting) bool { return now.Sub(sighting.BrokenAt) > sightingLifetime })
		if s.Restored && now.Sub(s.RestoredAt) <= sightingLifetime {
			return false
		}
		return len(s.Sightings) == 0 && now.Sub(s.BegunAt) > explainedLifetime
	})
}
