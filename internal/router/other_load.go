package router

import "time"

// maxChanges limits the changes kept for one endpoint while its reports are
// missing; the oldest are dropped.
const maxChanges = 128

// InUseHistory records how many requests of this node were recently at an
// endpoint, so that the total in a late report can be split into own requests
// and those of other nodes.
type InUseHistory struct {
	Changes []InUseChange
}

// InUseChange is the number of own requests at the endpoint from a point in
// time on.
type InUseChange struct {
	At    time.Time
	InUse int
}

// Record records a new number of own requests.
func (h *InUseHistory) Record(now time.Time, inUse int) {
	if len(h.Changes) >= maxChanges {
		h.Changes = append(h.Changes[:0], h.Changes[maxChanges/2:]...)
	}
	h.Changes = append(h.Changes, InUseChange{At: now, InUse: inUse})
}

// At returns the number of own requests at a point in time, and drops all
// changes before it that are no longer needed.
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

// OtherLoad estimates the requests of other nodes at an endpoint.
type OtherLoad struct {
	// Measured is the time of the latest report.
	Measured time.Time
	// Requests is the number of requests of other nodes in that report.
	Requests float64
	// GrowthPerSecond is the moving average of the growth of Requests.
	GrowthPerSecond float64
}

// maxExtrapolation limits how long the trend of a report is extrapolated; after
// that the trend has no predictive value.
const maxExtrapolation = time.Second

// Observe returns the estimate updated with a report of total requests, of
// which own were sent by this node. A report that is not newer is ignored.
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

// Estimate returns the expected number of requests of other nodes at the
// endpoint now. Growth is extrapolated, so that an endpoint that other nodes
// are filling does not appear free until the next report. A decline is not
// extrapolated, so that the nodes do not all return at the same time.
func (o OtherLoad) Estimate(now time.Time) float64 {
	age := min(max(now.Sub(o.Measured), 0), maxExtrapolation)
	return o.Requests + max(0, o.GrowthPerSecond)*age.Seconds()
}
