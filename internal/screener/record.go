package screener

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxRecords bounds the records of a fleet in the platform's store, and MaxTraitBytes the
	// length of their traits.
	MaxRecords    = 64
	MaxTraitBytes = 128
	// reportedTime is the time after its report for which a node holds a request that the
	// store lists as suspect, unless the holder publishes it. It covers several exchanges.
	reportedTime = 3 * time.Second
	// restoredTime bounds the time for which a request is held that the store lists as suspect.
	restoredTime = 30 * time.Second
)

// Record is what the platform's store keeps about a trait, for the case that all processes of
// the system end at the same time.
type Record struct {
	Trait   Trait
	Service string `json:",omitempty"`
	// Quarantined is not set for a request that is suspect: it broke off on a replica that had
	// begun to answer it.
	Quarantined bool `json:",omitempty"`
	// Remaining is the rest of the quarantine when the record was written. Clocks of
	// different processes are not compared, so the time since then is not known.
	Remaining time.Duration `json:",omitempty"`
}

// Records returns what must outlive all processes: the quarantines, and the requests that broke
// off between the head and the first event of their answer. A replica that crashes breaks off few
// sound requests there. Parts of prompts below the threshold of a quarantine are not among them,
// because sound requests share them.
func (e *Evidence) Records(now time.Time) []Record {
	var records []Record
	for _, trait := range slices.Sorted(maps.Keys(e.Quarantined)) {
		if remaining := e.Quarantined[trait].Sub(now); remaining > 0 {
			records = append(records, Record{Trait: trait, Quarantined: true, Remaining: remaining})
		}
	}
	for _, trait := range slices.Sorted(maps.Keys(e.Suspicions)) {
		if s := e.Suspicions[trait]; s.mustOutlive(now) {
			records = append(records, Record{Trait: trait, Service: s.Service})
		}
	}
	records = slices.DeleteFunc(records, func(record Record) bool { return len(record.Trait) > MaxTraitBytes })
	return records[:min(MaxRecords, len(records))]
}

// mustOutlive reports whether a request that is not quarantined is recorded: at once if several
// of its repetitions broke off, since power may be lost at any time, and otherwise when an answer
// to a sound one would have dropped the evidence.
func (s *Suspicion) mustOutlive(now time.Time) bool {
	if !s.WholeRequest || s.SuspectSince.IsZero() {
		return false
	}
	if s.Restored || s.answering() == 0 {
		return s.Restored
	}
	return s.requests() >= minRepetitions || now.Sub(s.SuspectSince) >= requestSettleTime
}

// restore adopts a request that crashed a replica before all processes ended. It is held until
// others are answered. Then its next break is enough for a quarantine.
func (e *Evidence) restore(now time.Time, broken Break) {
	trait := RequestTrait(broken.Fingerprint)
	if e.Suspicions[trait] != nil || e.isQuarantined(now, trait) {
		return
	}
	if len(e.Suspicions) >= maxSuspicions {
		e.evict()
	}
	s := &Suspicion{Service: broken.Service, WholeRequest: true, Restored: true, RestoredAt: now, SuspectSince: now}
	e.Suspicions[trait] = s
	e.hold(now, s)
}

// restore adopts the records of the store. Until the holder publishes something else, they are
// in force as they are.
func (c *Controller) restore(now time.Time, records []Record) []Effect {
	var effects []Effect
	for _, record := range records {
		if _, known := c.Quarantines[record.Trait]; known {
			continue
		}
		if !record.Quarantined {
			if isRequestTrait(record.Trait) {
				c.RestoredSuspects[record.Trait] = &restoredSuspect{Service: record.Service, At: now, Until: now.Add(restoredTime)}
			}
			continue
		}
		remaining := min(record.Remaining, quarantineTime)
		if remaining <= 0 {
			continue
		}
		c.Quarantines[record.Trait], c.RestoredQuarantines[record.Trait] = now.Add(remaining), true
		effects = append(effects, Note{noteText(record.Trait, "request quarantined again", "prompt part quarantined again"), record.Trait, remaining})
	}
	return append(effects, c.view(), Restored{})
}

// restoredSuspect is a request that the store lists as suspect. At is when the node read this,
// and ReportedAt when it first reported it in the current tenure. Released is set when the holder
// of that tenure has taken it over or does not confirm it.
type restoredSuspect struct {
	Service               string
	At, Until, ReportedAt time.Time
	Released              bool
}

// reviewSuspects releases the requests that the holder has taken over or does not confirm,
// forgets those that are quarantined or were held for too long, and reports whether anything has
// changed. A new holder decides anew: after the end of all processes a node that acts for the
// holder may have been the first one.
func (c *Controller) reviewSuspects(now time.Time, newTenure bool, published Published) bool {
	changed := false
	for trait, suspect := range c.RestoredSuspects {
		if !now.Before(suspect.Until) || slices.ContainsFunc(published.Quarantines, func(quarantine Quarantine) bool { return quarantine.Trait == trait }) {
			delete(c.RestoredSuspects, trait)
			changed = true
			continue
		}
		released := suspect.Released
		if newTenure {
			suspect.Released, suspect.ReportedAt = false, time.Time{}
		}
		suspect.Released = suspect.Released || slices.Contains(published.Suspects, trait) ||
			!suspect.ReportedAt.IsZero() && now.Sub(suspect.ReportedAt) > reportedTime
		changed = changed || suspect.Released != released
	}
	return changed
}

// reportSuspects reports the requests that the store lists as suspect as breaks of replicas
// that are not known any more, which holders of earlier builds accept as well.
func (c *Controller) reportSuspects(now time.Time) []Break {
	var breaks []Break
	for _, trait := range slices.Sorted(maps.Keys(c.RestoredSuspects)) {
		suspect := c.RestoredSuspects[trait]
		if suspect.Released {
			continue
		}
		if c.Published != nil && suspect.ReportedAt.IsZero() {
			suspect.ReportedAt = now
		}
		fingerprint, _ := RequestFingerprint(trait)
		breaks = append(breaks, Break{
			Fingerprint: fingerprint, Service: suspect.Service, HeadReceived: true, SentAge: now.Sub(suspect.At), Age: now.Sub(suspect.At),
		})
	}
	return breaks
}
