package screener

import (
	"slices"
	"time"
)

// Suspicion is the evidence against a part.
type Suspicion struct {
	// Sightings are the breaks since the last answer began, sorted by BrokenAt.
	Sightings []Sighting
	// Depth is the largest position of the part in a prompt.
	Depth int
	// SuspectSince is when the part became suspect, or zero. BegunAt is when an
	// answer to a request with it last began.
	SuspectSince, BegunAt time.Time
	// AnswersBefore is the number of answers when the part became suspect.
	AnswersBefore uint64
}

// Sighting is the break of one request with a part.
type Sighting struct {
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
	s.BegunAt = at
	s.Sightings = slices.DeleteFunc(s.Sightings, func(sighting Sighting) bool { return !sighting.BrokenAt.After(at) })
}

func (s *Suspicion) latest() time.Time {
	if len(s.Sightings) == 0 {
		return s.BegunAt
	}
	return s.Sightings[len(s.Sightings)-1].BrokenAt
}

// chain returns the number of successive breaks: each of another request, sent after
// the break before, on another replica. Replicas that crash at the same time for
// another reason count once.
func (s *Suspicion) chain() int {
	length, last := 0, time.Time{}
	requests, replicas := map[string]bool{}, map[Process]bool{}
	for _, sighting := range s.Sightings {
		if !sighting.SentAt.After(last) || requests[sighting.Request] || replicas[sighting.Replica] {
			continue
		}
		length, last = length+1, sighting.BrokenAt
		requests[sighting.Request], replicas[sighting.Replica] = true, true
	}
	return length
}

// answering returns the number of requests, on as many replicas, that broke off
// between the head and the first event of the answer. It is 0 if they are less than
// minAnsweringShare of all.
func (s *Suspicion) answering() int {
	requests, replicas := map[string]bool{}, map[Process]bool{}
	for _, sighting := range s.Sightings {
		if sighting.HeadReceived {
			requests[sighting.Request], replicas[sighting.Replica] = true, true
		}
	}
	if float64(len(requests)) < minAnsweringShare*float64(s.requests()) {
		return 0
	}
	return min(len(requests), len(replicas))
}

func (s *Suspicion) isSuspect() bool {
	return s.answering() >= suspectAnswers || s.chain() >= suspectBreaks
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
