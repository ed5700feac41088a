package queuer

import (
	"math"
	"time"
)

const (
	// paceWindow is the minimum duration of one measurement of a Pace.
	paceWindow = time.Second
	// paceDecay is the weight that earlier windows keep at the end of a window, so that the
	// counts cover about four windows.
	paceDecay = 0.75
)

// Pace is the rate at which waiting requests are served while there is a backlog.
type Pace struct {
	// PerSecond is a moving average of the cost served in a second, or 0 before the first
	// measurement. MeasuredAt is the end of the last one.
	PerSecond  float64
	MeasuredAt time.Time
	// WindowStart is when the current window started, or zero without a
	// backlog.
	WindowStart time.Time
	WindowCost  float64
	// WindowCount is the number of requests served in the current window. Count, Cost and
	// Seconds are the sums of earlier windows, of which older ones weigh less.
	WindowCount          float64
	Count, Cost, Seconds float64
}

// Start starts a window when a backlog begins.
func (p *Pace) Start(now time.Time) {
	if p.WindowStart.IsZero() {
		p.WindowStart, p.WindowCost, p.WindowCount = now, 0, 0
	}
}

// Record records a served request and ends the window when it is long enough. Backlog
// reports whether others still wait.
func (p *Pace) Record(now time.Time, cost float64, backlog bool) {
	if p.WindowStart.IsZero() {
		return
	}
	p.WindowCost += cost
	p.WindowCount++
	if elapsed := now.Sub(p.WindowStart); elapsed >= paceWindow {
		rate := p.WindowCost / elapsed.Seconds()
		if p.PerSecond == 0 {
			p.PerSecond = rate
		}
		p.PerSecond += (rate - p.PerSecond) / 4
		p.MeasuredAt = now
		p.Count = paceDecay*p.Count + p.WindowCount
		p.Cost = paceDecay*p.Cost + p.WindowCost
		p.Seconds = paceDecay*p.Seconds + elapsed.Seconds()
		p.WindowStart, p.WindowCost, p.WindowCount = now, 0, 0
	}
	if !backlog {
		p.Stop()
	}
}

// Retract takes back a request that was recorded as served and has returned to the queue.
func (p *Pace) Retract(cost float64) {
	if !p.WindowStart.IsZero() {
		p.WindowCost, p.WindowCount = max(0, p.WindowCost-cost), max(0, p.WindowCount-1)
	}
}

// Stop ends the current window without a measurement, because nothing waits any more.
func (p *Pace) Stop() { p.WindowStart = time.Time{} }

// Limit returns the cost per second that the pace probably does not exceed, given the number
// of requests that it was measured with: a standard deviation and one request above the
// mean. MeanCost is the cost of a request if none has been served. Limit returns false if the
// backlog has not lasted for a second.
func (p *Pace) Limit(now time.Time, meanCost float64) (float64, bool) {
	count, cost, elapsed := p.totals(now)
	if elapsed < paceWindow.Seconds() {
		return 0, false
	}
	if count > 0 {
		meanCost = cost / count
	}
	return (count + math.Sqrt(count) + 1) / elapsed * meanCost, true
}

// Mean returns the mean cost per second, and the number of requests that it was measured
// with, of which older ones count less.
func (p *Pace) Mean(now time.Time) (perSecond, count float64) {
	count, cost, elapsed := p.totals(now)
	if elapsed < paceWindow.Seconds() {
		return 0, 0
	}
	return cost / elapsed, count
}

// totals returns the sums of the earlier windows and the current one.
func (p *Pace) totals(now time.Time) (count, cost, seconds float64) {
	count, cost, seconds = p.Count, p.Cost, p.Seconds
	if !p.WindowStart.IsZero() {
		count, cost, seconds = count+p.WindowCount, cost+p.WindowCost, seconds+now.Sub(p.WindowStart).Seconds()
	}
	return count, cost, seconds
}

// maxWaitTime bounds the times that are derived from paces and rates.
const maxWaitTime = time.Hour

// Seconds returns a number of seconds as a Duration of at most an hour. Costs are counts of
// callers, and what results from converting a number that does not fit into a Duration
// depends on the processor: it may be negative.
func Seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWaitTime.Seconds()) * float64(time.Second))
}
