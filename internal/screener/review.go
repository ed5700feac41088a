package screener

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict is a part that a review has quarantined, with the numbers of requests and
// replicas in the evidence against it.
type Verdict struct {
	Part               string
	Requests, Replicas int
}

// Review quarantines the parts with enough evidence against them and returns these.
func (e *Evidence) Review(now time.Time) []Verdict {
	if now.Sub(e.ReviewedAt) < reviewInterval {
		return nil
	}
	e.ReviewedAt = now
	e.expire(now)
	for _, s := range e.Suspicions {
		switch {
		case !s.isSuspect():
			s.SuspectSince = time.Time{}
		case s.SuspectSince.IsZero():
			s.SuspectSince, s.AnswersBefore = now, e.Answers
		}
	}
	var verdicts []Verdict
	for part := e.mostSpecific(now); part != ""; part = e.mostSpecific(now) {
		s := e.Suspicions[part]
		verdicts = append(verdicts, Verdict{Part: part, Replicas: s.replicas(), Requests: s.requests()})
		delete(e.Suspicions, part)
		e.Quarantined[part] = now.Add(quarantineTime)
		for _, sighting := range s.Sightings {
			e.explain(now, sighting.Replica)
		}
	}
	return verdicts
}

// mostSpecific returns the part to quarantine, or "" if there is none yet. Requests
// with a part often share the parts before it, which then have the same evidence
// against them or more. So of the parts with about the most crashes, it is the one at
// the largest depth. If that is wrong, the crashes go on and lead to the next part.
func (e *Evidence) mostSpecific(now time.Time) string {
	parts := e.candidates()
	most := 0
	for _, part := range parts {
		most = max(most, e.Suspicions[part].replicas())
	}
	parts = slices.DeleteFunc(parts, func(part string) bool {
		return float64(e.Suspicions[part].replicas()) < minCrashShare*float64(most)
	})
	if len(parts) == 0 {
		return ""
	}
	part := slices.MaxFunc(parts, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.Suspicions[a].Depth, e.Suspicions[b].Depth), cmp.Compare(e.Suspicions[a].replicas(), e.Suspicions[b].replicas()))
	})
	if s := e.Suspicions[part]; now.Sub(s.SuspectSince) < settleTime || e.expectedAnswers(s) < minExpectedAnswers {
		// The parts before it, which may have been suspect for longer, wait as well.
		return ""
	}
	return part
}

// candidates returns the parts with enough breaks for a quarantine, sorted. Parts whose
// requests only broke off before the head of the answer are candidates if there are no
// others.
func (e *Evidence) candidates() []string {
	var answered, silent []string
	for _, part := range slices.Sorted(maps.Keys(e.Suspicions)) {
		s := e.Suspicions[part]
		answering, chain := s.answering(), s.chain()
		switch {
		case s.SuspectSince.IsZero():
		case answering >= quarantineBreaks, answering > 0 && chain >= quarantineBreaks:
			answered = append(answered, part)
		case chain >= silentBreaks:
			silent = append(silent, part)
		}
	}
	if len(answered) == 0 {
		return silent
	}
	return answered
}

// minCrashShare is the share of the most crashes that a part needs to be chosen for
// its depth. The nodes' reports of one crash arrive at different times.
const minCrashShare = 0.75

// expectedAnswers returns how many answers should have begun with a part since it is
// suspect if it were sound: its share of the requests that broke off is about its
// share of all requests.
func (e *Evidence) expectedAnswers(s *Suspicion) float64 {
	broken := 0
	for _, at := range e.Broken {
		if !at.Before(s.Sightings[0].BrokenAt) {
			broken++
		}
	}
	return float64(e.Answers-s.AnswersBefore) * float64(s.requests()) / float64(max(1, broken))
}

// expire removes old evidence and quarantines that have ended.
func (e *Evidence) expire(now time.Time) {
	maps.DeleteFunc(e.Quarantined, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, replicas := range []map[Process]time.Time{e.Explained, e.Alive, e.CheckedAt} {
		maps.DeleteFunc(replicas, func(_ Process, at time.Time) bool { return now.Sub(at) > explainedLifetime })
	}
	maps.DeleteFunc(e.Broken, func(_ string, at time.Time) bool { return now.Sub(at) > sightingLifetime })
	maps.DeleteFunc(e.Suspicions, func(_ string, s *Suspicion) bool {
		s.Sightings = slices.DeleteFunc(s.Sightings, func(sighting Sighting) bool { return now.Sub(sighting.BrokenAt) > sightingLifetime })
		return len(s.Sightings) == 0 && now.Sub(s.BegunAt) > explainedLifetime
	})
}
