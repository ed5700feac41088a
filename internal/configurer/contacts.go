package configurer

import (
	"maps"
	"time"
)

// MaxAge is the maximum age of a contact that counts as evidence that a node is
// current. It bounds the time for which a partitioned node accepts a withdrawn
// key. It covers a watch (WatchWait) and a pull (PullInterval) at each level of
// a data centre's tree of nodes.
const MaxAge = 8 * time.Second

// Contacts is the evidence that a node is up to date: its configuration in
// force includes every change that each source had at the given time.
type Contacts struct {
	// At is the time of the last contact with each source, on this node's
	// clock.
	At map[Source]time.Time
	// DataCentres is the number of data centres with entry instances.
	DataCentres int
}

// Current reports whether the node is up to date: the last contact with the
// object API, or with each of more than half of the data centres, is at most
// MaxAge old. With a single data centre, its own nodes are not evidence, since
// they alone are always a majority, also while they are cut off from the object
// API that operators write to.
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

// ages returns the ages of the contacts. It omits those older than MaxAge, which
// are not evidence for any node.
func (c Contacts) ages(now time.Time) map[Source]time.Duration {
	ages := map[Source]time.Duration{}
	for source, at := range c.At {
		if age := now.Sub(at); age <= MaxAge {
			ages[source] = max(age, 0)
		}
	}
	return ages
}

// merge returns the contacts with the more recent ones of ages merged in. The
// ages are relative to the time of a response whose exchange began at started.
// Subtracting them from started may make contacts appear older than they are,
// but never more recent.
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

// withoutSource returns the contacts without those of a source.
func (c Contacts) withoutSource(source Source) Contacts {
	remaining := Contacts{At: maps.Clone(c.At), DataCentres: c.DataCentres}
	delete(remaining.At, source)
	return remaining
}
