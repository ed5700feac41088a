package predictor

import "time"

const (
	// binWidth is the resolution of the idle-time histogram.
	binWidth = time.Minute
	// binCount limits the histogram to four hours; the last bin holds all
	// longer idle times.
	binCount = 240
	// minIdleTime is the shortest gap between uses that counts as idle.
	// Shorter gaps are below the resolution of load reports.
	minIdleTime = 2 * time.Second
)

// Activity records the use of one model.
type Activity struct {
	// LastUse is the latest time at which the model was in use.
	LastUse time.Time
	// Idle counts idle times by length, in bins of one minute.
	Idle [binCount]uint32
	// Samples is the sum of Idle.
	Samples int
}

// Observe records that the model was in use at the given time. Successive
// times must not decrease.
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

// percentile returns the index of the bin that contains a percentile of the
// idle times, given as a fraction from 0 to 1, and false if that is the last
// bin, which has no upper bound.
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
