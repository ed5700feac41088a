package router

import "time"

// maxChanges bounds the changes kept for one endpoint when its reports stay
// out; the oldest are dropped.
const maxChanges = 128

// InUseHistory is how many requests of this node were at an endpoint over the
// last moments, so that a late report can be split into own requests and
// those of other nodes.
type InUseHistory struct {
	Changes []InUseChange
}

// InUseChange says how many own requests were at the endpoint from a time on.
type InUseChange struct {
	At    time.Time
	InUse int
}

// Record notes a new number of own requests.
func (h *InUseHistory) Record(now time.Time, inUse int) {
	if len(h.Changes) >= maxChanges {
		h.Changes = append(h.Changes[:0], h.Changes[maxChanges/2:]...)
	}
	h.Changes = append(h.Changes, InUseChange{At: now, InUse: inUse})
}

// At returns the number of own requests at a time, and forgets what came
// before it.
func (h *InUseHistory) At(when time.Time) int {
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

// OtherLoad is what a node expects of the other nodes' requests at an endpoint.
type OtherLoad struct {
	// Measured is the time of the newest report.
	Measured time.Time
	// Requests is the number of requests of other nodes in that report.
	Requests float64
	// GrowthPerSecond is the moving average of the growth of Count.
	GrowthPerSecond float64
}

// maxExtrapolation bounds how far a report's trend is continued: beyond it
// the trend says nothing.
const maxExtrapolation = time.Second

// Observe returns the expectation after a report of total requests, of which
// own were this node's. A report that is not newer changes nothing.
func (o OtherLoad) Observe(measured time.Time, total, own int) OtherLoad {
	if !measured.After(o.Measured) {
		return o
	}
	count := float64(max(0, total-own))
	if !o.Measured.IsZero() {
		elapsed := measured.Sub(o.Measured).Seconds()
		growth := (count - o.Requests) / max(elapsed, 0.1)
		o.GrowthPerSecond += smoothingFactor * (growth - o.GrowthPerSecond)
	}
	o.Measured, o.Requests = measured, count
	return o
}

// Estimate returns the number of requests of other nodes that are probably at
// the endpoint now. Growth is continued, so that an endpoint which the others
// are filling does not look free until the next report; a decline is not, so
// that the nodes do not all return at once.
func (o OtherLoad) Estimate(now time.Time) float64 {
	age := min(max(now.Sub(o.Measured), 0), maxExtrapolation)
	return o.Requests + max(0, o.GrowthPerSecond)*age.Seconds()
}
