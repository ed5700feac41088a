package queuer

import "time"

// paceWindow is the minimum duration of one measurement of a Pace.
const paceWindow = time.Second

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
}

// Start starts a window when a backlog begins.
func (p *Pace) Start(now time.Time) {
	if p.WindowStart.IsZero() {
		p.WindowStart, p.WindowCost = now, 0
	}
}

// Record records a served request and ends the window when it is long enough. Backlog
// reports whether others still wait.
func (p *Pace) Record(now time.Time, cost float64, backlog bool) {
	if p.WindowStart.IsZero() {
		return
	}
	p.WindowCost += cost
	if elapsed := now.Sub(p.WindowStart); elapsed >= paceWindow {
		rate := p.WindowCost / elapsed.Seconds()
		if p.PerSecond == 0 {
			p.PerSecond = rate
		}
		p.PerSecond += (rate - p.PerSecond) / 4
		p.MeasuredAt = now
		p.WindowStart, p.WindowCost = now, 0
	}
	if !backlog {
		p.Stop()
	}
}

// Stop ends the current window without a measurement, because nothing waits any more.
func (p *Pace) Stop() { p.WindowStart = time.Time{} }
