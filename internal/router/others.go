package router

import "time"

// maxHistory bounds the changes kept for one endpoint when its reports stay
// out; the oldest are dropped.
const maxHistory = 128

// History is how many requests of this node were at an endpoint over the
// last moments, so that a late report can be split into own requests and
// those of other nodes.
type History struct {
	Changes []Change
}

// Change says how many own requests were at the endpoint from a time on.
type Change struct {
	At    time.Time
	InUse int
}

// Record notes a new number of own requests.
func (h *History) Record(now time.Time, inUse int) {
	if len(h.Changes) >= maxHistory {
		h.Changes = append(h.Changes[:0], h.Changes[maxHistory/2:]...)
	}
	h.Changes = append(h.Changes, Change{At: now, InUse: inUse})
}

// At returns the number of own requests at a time, and forgets what came
// before it.
func (h *History) At(when time.Time) int {
	last := -1
	for index, change := range h.Changes {
		if change.At.After(when) {
			break
		}
		last = index
	}
	if last < 0 {
		return 0
	}
	h.Changes = append(h.Changes[:0], h.Changes[last:]...)
	return h.Changes[0].InUse
}

// Others is what a node expects of the other nodes' requests at an endpoint.
type Others struct {
	// Measured is the time of the newest report.
	Measured time.Time
	// Count is the number of requests of other nodes in that report.
	Count float64
	// PerSecond is the moving average of the growth of Count.
	PerSecond float64
}

// maxExtrapolation bounds how far a report's trend is continued: beyond it
// the trend says nothing.
const maxExtrapolation = time.Second

// Observe returns the expectation after a report of total requests, of which
// own were this node's. A report that is not newer changes nothing.
func (o Others) Observe(measured time.Time, total, own int) Others {
	if !measured.After(o.Measured) {
		return o
	}
	count := float64(max(0, total-own))
	if !o.Measured.IsZero() {
		elapsed := measured.Sub(o.Measured).Seconds()
		growth := (count - o.Count) / max(elapsed, 0.1)
		o.PerSecond += learningRate * (growth - o.PerSecond)
	}
	o.Measured, o.Count = measured, count
	return o
}

// Expect returns the number of requests of other nodes that are probably at
// the endpoint now. Growth is continued, so that an endpoint which the others
// are filling does not look free until the next report; a decline is not, so
// that the nodes do not all return at once.
func (o Others) Expect(now time.Time) float64 {
	age := min(max(now.Sub(o.Measured), 0), maxExtrapolation)
	return o.Count + max(0, o.PerSecond)*age.Seconds()
}
