package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// durationWindow is the time for which the longest answer of a route counts at least.
const durationWindow = 30 * time.Second

// Durations knows how long the answers of each route have lately taken at a node.
type Durations struct {
	Clock clockwork.Clock

	routes sync.Map
}

// longest holds the longest answer of the window that began at startedAt, and that of the
// one before. It is never modified.
type longest struct {
	startedAt         time.Time
	current, previous time.Duration
}

// Record adds an answer of a route.
func (d *Durations) Record(route string, duration time.Duration) {
	entry, _ := d.routes.LoadOrStore(route, &atomic.Pointer[longest]{})
	pointer, now := entry.(*atomic.Pointer[longest]), d.Clock.Now()
	for {
		before := pointer.Load()
		after := before.at(now)
		if duration <= after.current && before != nil && after == *before {
			return
		}
		after.current = max(after.current, duration)
		if pointer.CompareAndSwap(before, &after) {
			return
		}
	}
}

// Longest returns the longest answer of a route in the last one or two windows, 0 if there
// was none.
func (d *Durations) Longest(route string) time.Duration {
	entry, ok := d.routes.Load(route)
	if !ok {
		return 0
	}
	current := entry.(*atomic.Pointer[longest]).Load().at(d.Clock.Now())
	return max(current.current, current.previous)
}

// at returns the windows as of a time.
func (l *longest) at(now time.Time) longest {
	switch {
	case l == nil || now.Sub(l.startedAt) >= 2*durationWindow:
		return longest{startedAt: now}
	case now.Sub(l.startedAt) >= durationWindow:
		return longest{startedAt: l.startedAt.Add(durationWindow), previous: l.current}
	}
	return *l
}
