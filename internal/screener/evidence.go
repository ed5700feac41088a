package screener

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// requestBreaks is the number of replicas, each of which had sent a head, from which on
	// a whole request is quarantined. requestChain is the number of successive replicas from
	// which on it is quarantined if they crash before the head, with minRepetitions requests
	// of callers: a node sends a request to two replicas by itself.
	requestBreaks  = 2
	requestChain   = 3
	minRepetitions = 2
	// holdRepetitions is the number of repetitions from which on a whole request is held
	// although they broke off on one replica. After the third one few more may reach replicas.
	holdRepetitions = 3
	// requestSettleTime is the time for which the evidence against a whole request must
	// last. It covers a check of the replicas.
	requestSettleTime = 600 * time.Millisecond
	// suspectBreaks and quarantineBreaks are the numbers of successive breaks from
	// which on a part is suspect and is quarantined. silentBreaks is the number for a
	// part whose requests broke off before the head of the answer: they may have waited
	// behind the one that crashed the replica. suspectAnswers is the number of breaks
	// after the head from which on a part is suspect. It is 1, so that answers which clear
	// the part are known by the time of the third break.
	suspectBreaks    = 2
	quarantineBreaks = 3
	silentBreaks     = 5
	suspectAnswers   = 1
	// minAnsweringShare is the share of the requests with a part that broke off between
	// the head and the first event of the answer, from which on the part is likely to
	// be the cause. A replica that crashes breaks off few sound requests there.
	minAnsweringShare = 0.15
	// settleTime is the time for which a part must have been suspect. It covers two
	// exchanges with nodes whose answers have begun.
	settleTime = 1500 * time.Millisecond
	// quarantineTime bounds the harm of a wrong quarantine. Its end costs a few replicas
	// if the part still crashes them.
	quarantineTime = 10 * time.Minute
	// minExpectedAnswers is the number of answers that should have begun with a part
	// since it is suspect, if it were sound, before it is quarantined. While nothing is
	// answered, as after the loss of all replicas, breaks show nothing about prompts.
	minExpectedAnswers = 3
	// minOtherAnswers is the number of answers to other requests that is enough as well for
	// a whole request, which is rare among those of its service.
	minOtherAnswers = 20
	// minHoldTime is the time for which a request is held for the first time. It doubles
	// with each further break, maxHolds times at most and up to maxHoldTime.
	minHoldTime = 10 * time.Second
	maxHoldTime = time.Minute
	maxHolds    = 3
	// probeTime is the time for which a node is the one that sends a held request. Callers
	// send requests to any node.
	probeTime = 3 * time.Second
	// sightingLifetime is the time within which breaks count together, and
	// explainedLifetime the time for which late reports of a crash are expected.
	sightingLifetime  = 2 * time.Minute
	explainedLifetime = 30 * time.Second
	// reviewInterval is the minimum time between two reviews.
	reviewInterval = 50 * time.Millisecond
	// maxSuspicions bounds the traits that are tracked, maxSightings the breaks of
	// each, maxSuspects the suspects that are published, and maxBroken the requests
	// that are counted.
	maxSuspicions = 2048
	maxSightings  = 64
	maxSuspects   = 64
	maxBroken     = 4096
	// checkInterval is the time between two checks of a replica that has broken off
	// requests with a suspect trait, checkTime the time for which it is checked, and
	// maxChecks the number of replicas that are checked at a time.
	checkInterval = 500 * time.Millisecond
	checkTime     = 3 * time.Second
	maxChecks     = 16
)

// Evidence is what the holder of the placement lease knows about requests that crash
// replicas.
type Evidence struct {
	Suspicions map[Trait]*Suspicion
	// Quarantined holds the end of each quarantine by trait.
	Quarantined map[Trait]time.Time
	// Explained holds the replicas whose crash is due to a quarantined trait, with the
	// time at which that became known. Other traits are not blamed for it.
	Explained map[Process]time.Time
	// Alive holds the replicas that were running at a time after a break, and CheckedAt
	// when a check of a replica was last requested.
	Alive, CheckedAt map[Process]time.Time
	// Broken holds the requests that broke off.
	Broken map[string]BrokenRequest
	// Answers counts the answers of each service that have begun at all nodes, and
	// NodeAnswers those that each node has reported.
	Answers     map[string]uint64
	NodeAnswers map[string]map[string]uint64
	ReviewedAt  time.Time
}

// BrokenRequest is a request that broke off.
type BrokenRequest struct {
	Service string
	At      time.Time
}

// NewEvidence returns evidence against no request.
func NewEvidence() *Evidence {
	return &Evidence{
		Suspicions:  map[Trait]*Suspicion{},
		Quarantined: map[Trait]time.Time{},
		Explained:   map[Process]time.Time{},
		Alive:       map[Process]time.Time{},
		CheckedAt:   map[Process]time.Time{},
		Broken:      map[string]BrokenRequest{},
		Answers:     map[string]uint64{},
		NodeAnswers: map[string]map[string]uint64{},
	}
}

// Record adds the report of a node.
func (e *Evidence) Record(now time.Time, node string, report Report) {
	e.recordAnswers(node, report.AnswersByService)
	for _, quarantine := range report.Quarantines {
		if until := now.Add(quarantine.Remaining); until.After(e.Quarantined[quarantine.Trait]) {
			e.Quarantined[quarantine.Trait] = until
			delete(e.Suspicions, quarantine.Trait)
		}
	}
	for _, broken := range report.Breaks {
		e.recordBreak(now, broken)
	}
	for _, running := range report.Running {
		e.RecordAlive(running.Replica, now.Add(-running.Age))
	}
	e.chooseProber(now, node)
	for _, begun := range report.Begun {
		if s := e.Suspicions[begun.Trait]; s != nil {
			s.clearBefore(now.Add(-begun.Age))
		}
	}
}

// recordAnswers adds what a node has counted since its last report. The first report of
// a process of a node only sets the base.
func (e *Evidence) recordAnswers(node string, answers map[string]uint64) {
	last, known := e.NodeAnswers[node]
	for service, count := range answers {
		if known && count > last[service] {
			e.Answers[service] += count - last[service]
		}
	}
	e.NodeAnswers[node] = answers
}

func (e *Evidence) recordBreak(now time.Time, broken Break) {
	if broken.Replica == (Process{}) {
		e.restore(now, broken)
		return
	}
	sighting := Sighting{broken.Request, broken.Replica, broken.HeadReceived, now.Add(-broken.SentAge), now.Add(-broken.Age)}
	if len(e.Broken) < maxBroken {
		e.Broken[broken.Request] = BrokenRequest{broken.Service, sighting.BrokenAt}
	}
	if _, ok := e.Explained[broken.Replica]; ok || sighting.BrokenAt.Before(e.Alive[broken.Replica]) {
		return
	}
	traits := broken.traits()
	if slices.ContainsFunc(traits, func(trait Trait) bool { return e.isQuarantined(now, trait) }) {
		e.explain(now, broken.Replica, "")
		return
	}
	for depth, trait := range traits {
		s := e.Suspicions[trait]
		if s == nil {
			if len(e.Suspicions) >= maxSuspicions {
				e.evict()
			}
			s = &Suspicion{Service: broken.Service, WholeRequest: isRequestTrait(trait)}
			e.Suspicions[trait] = s
		}
		s.Depth = max(s.Depth, depth)
		if !s.WholeRequest {
			// Repetitions of one request are no further evidence against its parts.
			sighting.Request = cmp.Or(broken.Fingerprint, broken.Request)
		} else {
			sighting.Request = broken.Request
		}
		s.add(sighting)
	}
}

func (e *Evidence) isQuarantined(now time.Time, trait Trait) bool {
	return now.Before(e.Quarantined[trait])
}

// explain attributes the crash of a replica to a quarantined trait. The request with the
// given fingerprint, if any, stays evidence against the parts of its prompt: other
// requests with one of them may crash replicas as well.
func (e *Evidence) explain(now time.Time, replica Process, fingerprint string) {
	e.Explained[replica] = now
	e.dropSightings(func(sighting Sighting) bool {
		return sighting.Replica == replica && (fingerprint == "" || sighting.Request != fingerprint)
	})
}

// RecordAlive drops the evidence of a replica that is found running: it has not
// crashed.
func (e *Evidence) RecordAlive(replica Process, at time.Time) {
	e.Alive[replica] = at
	e.dropSightings(func(sighting Sighting) bool { return sighting.Replica == replica && sighting.BrokenAt.Before(at) })
}

func (e *Evidence) dropSightings(drop func(Sighting) bool) {
	for _, s := range e.Suspicions {
		s.Sightings = slices.DeleteFunc(s.Sightings, drop)
	}
}

// Check returns the replicas of which to find out whether they are running, because
// they broke off requests with a suspect trait.
func (e *Evidence) Check(now time.Time) []Process {
	due := map[Process]bool{}
	for _, s := range e.Suspicions {
		if s.SuspectSince.IsZero() {
			continue
		}
		for _, sighting := range s.Sightings {
			if now.Sub(sighting.BrokenAt) < checkTime && now.Sub(e.CheckedAt[sighting.Replica]) >= checkInterval {
				due[sighting.Replica] = true
			}
		}
	}
	replicas := slices.SortedFunc(maps.Keys(due), compareProcesses)
	replicas = replicas[:min(maxChecks, len(replicas))]
	for _, replica := range replicas {
		e.CheckedAt[replica] = now
	}
	return replicas
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedMS, b.StartedMS))
}

// evict removes the suspicions whose evidence is oldest: a quarter of them, so that it
// is rarely needed.
func (e *Evidence) evict() {
	traits := slices.Sorted(maps.Keys(e.Suspicions))
	slices.SortStableFunc(traits, func(a, b Trait) int {
		return e.Suspicions[a].latest().Compare(e.Suspicions[b].latest())
	})
	for _, trait := range traits[:(len(traits)+3)/4] {
		delete(e.Suspicions, trait)
	}
}

// Publish returns what nodes need to know. The suspects with the most evidence come
// first.
func (e *Evidence) Publish(now time.Time) Published {
	var published Published
	for _, trait := range slices.Sorted(maps.Keys(e.Suspicions)) {
		if !e.Suspicions[trait].SuspectSince.IsZero() {
			published.Suspects = append(published.Suspects, trait)
		}
	}
	slices.SortStableFunc(published.Suspects, func(a, b Trait) int {
		return cmp.Compare(e.Suspicions[b].replicas(), e.Suspicions[a].replicas())
	})
	for _, trait := range published.Suspects {
		if s := e.Suspicions[trait]; !s.HeldUntil.IsZero() || !s.ReleasedAt.IsZero() {
			published.Held = append(published.Held, Hold{trait, s.Prober})
		}
	}
	published.Suspects = published.Suspects[:min(maxSuspects, len(published.Suspects))]
	for _, trait := range slices.Sorted(maps.Keys(e.Quarantined)) {
		if remaining := e.Quarantined[trait].Sub(now); remaining > 0 {
			published.Quarantines = append(published.Quarantines, Quarantine{trait, remaining})
		}
	}
	return published
}
