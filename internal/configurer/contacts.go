package configurer

import (
	"maps"
	"time"
)

// MaxAge is how old the evidence may be by which a node counts as current. It
// bounds the time for which a node that has been cut off honours a withdrawn
// key. It leaves room for a watch (WatchWait) and a pull (PullInterval) at each
// of the levels of a data centre's tree of nodes.
const MaxAge = 8 * time.Second

// Contacts is the evidence that a node is up to date: with the configuration
// in force it has everything that each source knew at the given time.
type Contacts struct {
	// At is on this node's clock.
	At map[Source]time.Time
	// DataCentres is the number of data centres with entry instances.
	DataCentres int
}

// Current says whether the evidence suffices: the object API, or more than
// half of the data centres, known to have nothing newer MaxAge ago or later.
// With a single data centre its own nodes are no evidence, since a node cut
// off with its operators' API would outvote nobody.
func (c Contacts) Current(now time.Time) bool {
	if c.isFresh(API, now) {
		return true
	}
	count := 0
	for source := range c.At {
		if source != API && c.isFresh(source, now) {
			count++
		}
	}
	return c.DataCentres > 1 && 2*count > c.DataCentres
}

func (c Contacts) isFresh(source Source, now time.Time) bool {
	at, ok := c.At[source]
	return ok && now.Sub(at) <= MaxAge
}

// ages returns how old the contacts are, leaving out those that no longer
// count anywhere.
func (c Contacts) ages(now time.Time) map[Source]time.Duration {
	ages := map[Source]time.Duration{}
	for source, at := range c.At {
		if age := now.Sub(at); age <= MaxAge {
			ages[source] = max(age, 0)
		}
	}
	return ages
}

// merge takes over younger contacts. The ages were true when an exchange that
// began at started was answered, so dating them from its start makes them
// older, never younger.
func (c Contacts) merge(started time.Time, ages map[Source]time.Duration) Contacts {
	merged := Contacts{At: maps.Clone(c.At), DataCentres: c.DataCentres}
	if merged.At == nil {
		merged.At = map[Source]time.Time{}
	}
	for source, age := range ages {
		if at := started.Add(-max(age, 0)); at.After(merged.At[source]) {
			merged.At[source] = at
		}
	}
	return merged
}

// without returns the contacts without a source.
func (c Contacts) withoutSource(source Source) Contacts {
	remaining := Contacts{At: maps.Clone(c.At), DataCentres: c.DataCentres}
	delete(remaining.At, source)
	return remaining
}
