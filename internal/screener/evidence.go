package screener

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
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
	// sightingLifetime is the time within which breaks count together, and
	// explainedLifetime the time for which late reports of a crash are expected.
	sightingLifetime  = 2 * time.Minute
	explainedLifetime = 30 * time.Second
	// reviewInterval is the minimum time between two reviews.
	reviewInterval = 50 * time.Millisecond
	// maxSuspicions bounds the parts that are tracked, maxSightings the breaks of
	// each, maxSuspects the suspects that are published, and maxBroken the requests
	// that are counted.
	maxSuspicions = 1024
	maxSightings  = 64
	maxSuspects   = 64
	maxBroken     = 4096
	// checkInterval is the time between two checks of a replica that has broken off
	// requests with a suspect part, checkTime the time for which it is checked, and
	// maxChecks the number of replicas that are checked at a time.
	checkInterval = 500 * time.Millisecond
	checkTime     = 3 * time.Second
	maxChecks     = 16
)

// Evidence is what the holder of the placement lease knows about prompts.
type Evidence struct {
	Suspicions map[string]*Suspicion
	// Quarantined holds the end of each quarantine by part.
	Quarantined map[string]time.Time
	// Explained holds the replicas whose crash is due to a quarantined part, with the
	// time at which that became known. Other parts are not blamed for it.
	Explained map[Process]time.Time
	// Alive holds the replicas that were running at a time after a break, and CheckedAt
	// when a check of a replica was last requested.
	Alive, CheckedAt map[Process]time.Time
	// Broken holds the requests that broke off, with the time.
	Broken map[string]time.Time
	// Answers counts the answers that have begun at all nodes, and NodeAnswers those
	// that each node has reported.
	Answers     uint64
	NodeAnswers map[string]uint64
	ReviewedAt  time.Time
}

// NewEvidence returns evidence against no part.
func NewEvidence() *Evidence {
	return &Evidence{
		Suspicions:  map[string]*Suspicion{},
		Quarantined: map[string]time.Time{},
		Explained:   map[Process]time.Time{},
		Alive:       map[Process]time.Time{},
		CheckedAt:   map[Process]time.Time{},
		Broken:      map[string]time.Time{},
		NodeAnswers: map[string]uint64{},
	}
}

// Record adds the report of a node.
func (e *Evidence) Record(now time.Time, node string, report Report) {
	if last, ok := e.NodeAnswers[node]; ok && report.Answers > last {
		e.Answers += report.Answers - last
	}
	e.NodeAnswers[node] = report.Answers
	for _, quarantine := range report.Quarantines {
		if until := now.Add(quarantine.Remaining); until.After(e.Quarantined[quarantine.Part]) {
			e.Quarantined[quarantine.Part] = until
			delete(e.Suspicions, quarantine.Part)
		}
	}
	for _, broken := range report.Breaks {
		e.recordBreak(now, broken)
	}
	for _, begun := range report.Begun {
		if s := e.Suspicions[begun.Part]; s != nil {
			s.clearBefore(now.Add(-begun.Age))
		}
	}
}

func (e *Evidence) recordBreak(now time.Time, broken Break) {
	sighting := Sighting{broken.Request, broken.Replica, broken.HeadReceived, now.Add(-broken.SentAge), now.Add(-broken.Age)}
	if len(e.Broken) < maxBroken {
		e.Broken[broken.Request] = sighting.BrokenAt
	}
	if _, ok := e.Explained[broken.Replica]; ok || sighting.BrokenAt.Before(e.Alive[broken.Replica]) {
		return
	}
	if slices.ContainsFunc(broken.Parts, func(part string) bool { return e.isQuarantined(now, part) }) {
		e.explain(now, broken.Replica)
		return
	}
	for depth, part := range broken.Parts {
		s := e.Suspicions[part]
		if s == nil {
			if len(e.Suspicions) >= maxSuspicions {
				e.evict()
			}
			s = &Suspicion{}
			e.Suspicions[part] = s
		}
		s.Depth = max(s.Depth, depth)
		s.add(sighting)
	}
}

func (e *Evidence) isQuarantined(now time.Time, part string) bool {
	return now.Before(e.Quarantined[part])
}

// explain attributes the crash of a replica to a quarantined part.
func (e *Evidence) explain(now time.Time, replica Process) {
	e.Explained[replica] = now
	e.dropSightings(func(sighting Sighting) bool { return sighting.Replica == replica })
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
// they broke off requests with a suspect part.
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
	replicas := slices.SortedFunc(maps.Keys(due), func(a, b Process) int { return cmp.Compare(a.ID, b.ID) })
	replicas = replicas[:min(maxChecks, len(replicas))]
	for _, replica := range replicas {
		e.CheckedAt[replica] = now
	}
	return replicas
}

// evict removes the suspicion whose evidence is oldest.
func (e *Evidence) evict() {
	parts := slices.Sorted(maps.Keys(e.Suspicions))
	delete(e.Suspicions, slices.MinFunc(parts, func(a, b string) int {
		return e.Suspicions[a].latest().Compare(e.Suspicions[b].latest())
	}))
}

// Publish returns what nodes need to know.
func (e *Evidence) Publish(now time.Time) Published {
	var published Published
	for _, part := range slices.Sorted(maps.Keys(e.Suspicions)) {
		if len(published.Suspects) < maxSuspects && !e.Suspicions[part].SuspectSince.IsZero() {
			published.Suspects = append(published.Suspects, part)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(e.Quarantined)) {
		if remaining := e.Quarantined[part].Sub(now); remaining > 0 {
			published.Quarantines = append(published.Quarantines, Quarantine{part, remaining})
		}
	}
	return published
}
