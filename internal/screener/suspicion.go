package screener

import (
	"slices"
	"time"
)

// Suspicion is the evidence against a trait.
type Suspicion struct {
	// Service is that of the first request with the trait that broke off. WholeRequest is
	// set if the trait is a whole request.
	Service      string
	WholeRequest bool
	// Sightings are the breaks since the last answer began, sorted by BrokenAt.
	Sightings []Sighting
	// Depth is the largest position of the part in a prompt. A whole request comes after
	// its parts.
	Depth int
	// SuspectSince is when the trait became suspect, and SufficientSince when there was
	// enough evidence for a quarantine, or zero. BegunAt is when an answer to a request with
	// it last began.
	SuspectSince, SufficientSince, BegunAt time.Time
	// AnswersBefore is the number of answers of the service when the trait became suspect
	// or was held.
	AnswersBefore uint64
	// HeldUntil is the end of the time for which no request with the trait is sent, or zero,
	// and ReleasedAt when such a time last ended. Holds counts these times. After them
	// Prober, which changes at ProberUntil, sends one request at a time.
	HeldUntil, ReleasedAt, ProberUntil time.Time
	Holds                              int
	Prober                             string
	// Restored is set if the request crashed a replica before all processes of the system
	// ended, and no answer to it has begun since RestoredAt.
	Restored   bool
	RestoredAt time.Time
}

// Sighting is the break of one request with a trait.
type Sighting struct {
	// Request is the fingerprint of the request or, in the evidence against a whole
	// request, the caller's ID of the repetition.
	Request          string
	Replica          Process
	HeadReceived     bool
	SentAt, BrokenAt time.Time
}

// add adds a sighting unless it is known or older than the last answer that began.
func (s *Suspicion) add(sighting Sighting) {
	known := func(other Sighting) bool {
		return other.Request == sighting.Request && other.Replica == sighting.Replica
	}
	if !sighting.BrokenAt.After(s.BegunAt) || slices.ContainsFunc(s.Sightings, known) {
		return
	}
	s.Sightings = append(s.Sightings, sighting)
	slices.SortStableFunc(s.Sightings, func(a, b Sighting) int { return a.BrokenAt.Compare(b.BrokenAt) })
	s.Sightings = s.Sightings[max(0, len(s.Sightings)-maxSightings):]
}

// clearBefore drops the evidence that is older than an answer that began at the given
// time.
func (s *Suspicion) clearBefore(at time.Time) {
	if !at.After(s.BegunAt) {
		return
	}
	s.BegunAt, s.Restored = at, false
	s.Sightings = slices.DeleteFunc(s.Sightings, func(sighting Sighting) bool { return !sighting.BrokenAt.After(at) })
}

func (s *Suspicion) latest() time.Time {
	if len(s.Sightings) == 0 {
		return s.BegunAt
	}
	return s.Sightings[len(s.Sightings)-1].BrokenAt
}

// chain returns the number of successive breaks: each sent after the break before, on
// another replica and, as evidence against a part, of another request. Replicas that
// crash at the same time for another reason count once.
func (s *Suspicion) chain() int {
	length, last := 0, time.Time{}
	requests, replicas := map[string]bool{}, map[Process]bool{}
	for _, sighting := range s.Sightings {
		if !sighting.SentAt.After(last) || requests[sighting.Request] && !s.WholeRequest || replicas[sighting.Replica] {
			continue
		}
		length, last = length+1, sighting.BrokenAt
		requests[sighting.Request], replicas[sighting.Replica] = true, true
	}
	return length
}

// answering returns the number of requests, on as many replicas, that broke off
// between the head and the first event of the answer. For a part it is 0 if they are less
// than minAnsweringShare of all. Repetitions of a whole request may wait behind the one
// that crashes the replica.
func (s *Suspicion) answering() int {
	requests, replicas := map[string]bool{}, map[Process]bool{}
	for _, sighting := range s.Sightings {
		if sighting.HeadReceived {
			requests[sighting.Request], replicas[sighting.Replica] = true, true
		}
	}
	if !s.WholeRequest && float64(len(requests)) < minAnsweringShare*float64(s.requests()) {
		return 0
	}
	return min(len(requests), len(replicas))
}

func (s *Suspicion) isSuspect() bool {
	if s.WholeRequest {
		return s.Restored || s.answering() >= suspectAnswers || s.requests() >= minRepetitions
	}
	return s.answering() >= suspectAnswers || s.chain() >= suspectBreaks
}

// isCandidate reports whether the trait may be quarantined if the evidence is sufficient:
// one that was held needs a break since its release.
func (s *Suspicion) isCandidate() bool {
	return !s.SuspectSince.IsZero() && s.HeldUntil.IsZero() && (s.ReleasedAt.IsZero() || s.latest().After(s.ReleasedAt))
}

// isSufficient reports whether there is enough evidence for a quarantine. silent is set
// if the replicas crashed before the head of the answer.
func (s *Suspicion) isSufficient() (sufficient, silent bool) {
	answering, chain := s.answering(), s.chain()
	switch {
	case s.Restored:
		return len(s.Sightings) > 0, answering == 0
	case s.WholeRequest && answering >= requestBreaks:
		return true, false
	case s.WholeRequest:
		return chain >= requestChain && s.requests() >= minRepetitions, true
	case answering >= quarantineBreaks, answering > 0 && chain >= quarantineBreaks:
		return true, false
	}
	return chain >= silentBreaks, true
}

// requests and replicas return the numbers of different requests and replicas in the
// evidence.
func (s *Suspicion) requests() int {
	return countDistinct(s.Sightings, func(sighting Sighting) string { return sighting.Request })
}

func (s *Suspicion) replicas() int {
	return countDistinct(s.Sightings, func(sighting Sighting) Process { return sighting.Replica })
}

func countDistinct[K comparable](sightings []Sighting, key func(Sighting) K) int {
	keys := map[K]bool{}
	for _, sighting := range sightings {
		keys[key(sighting)] = true
	}
	return len(keys)
}
