package predictor

import "time"

const (
	// binWidth is the resolution of the idle-time histogram.
	binWidth = time.Minute
	// binCount bounds the histogram to four hours; the last bin holds all longer
	// idle times.
	binCount = 240
	// minIdleTime is the shortest pause that counts as idle: shorter ones are
	// below the resolution of load reports.
	minIdleTime = 2 * time.Second
)

// Activity is the recorded use of one model.
type Activity struct {
	// LastUse is the latest time at which the model was in use.
	LastUse time.Time
	// Idle counts idle times by length in bins of a minute.
	Idle [binCount]uint32
	// Samples is the sum of Idle.
	Samples int
}

// Observe records that the model was in use at a time. Times never decrease.
func (a *Activity) Observe(now time.Time) {
	if gap := now.Sub(a.LastUse); !a.LastUse.IsZero() && gap >= minIdleTime {
		a.Idle[binIndex(gap)]++
		a.Samples++
	}
	a.LastUse = now
}

func binIndex(gap time.Duration) int {
	return min(int(gap/binWidth), binCount-1)
}

// percentile returns the idle time below which the part of the samples lies,
// as the number of a bin, and false if it is beyond the histogram.
func (a *Activity) percentile(fraction float64) (int, bool) {
	limit, sum := fraction*float64(a.Samples), 0.0
	for i, count := range a.Idle {
		sum += float64(count)
		if sum >= limit && sum > 0 {
			return i, i < binCount-1
		}
	}
	return binCount - 1, false
}
