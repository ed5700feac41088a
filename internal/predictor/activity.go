package predictor

import "time"

const (
	// binWidth is the resolution of the idle-time histogram.
	binWidth = time.Minute
	// bins bounds the histogram to four hours; the last bin holds all longer
	// idle times.
	bins = 240
	// minGap is the shortest pause that counts as idle: shorter ones are
	// below the resolution of load reports.
	minGap = 2 * time.Second
	// Interval is the resolution of the periodic prediction.
	Interval = 10 * time.Minute
	// Period is the period of the prediction: usage follows the day.
	Period = 24 * time.Hour
	slots  = int(Period / Interval)
	// smoothing is the weight of the newest period in a slot's average.
	smoothing = 0.4
)

// Activity is the recorded use of one model.
type Activity struct {
	// LastUse is the latest time at which the model was in use.
	LastUse time.Time
	// Idle counts idle times by length in bins of a minute.
	Idle [bins]uint32
	// Samples is the sum of Idle.
	Samples int
	// Used is, for each slot of the period, the smoothed part of periods in
	// which the model was used in that slot.
	Used [slots]float64
	// Slot is the number of the slot in progress, counted from the Unix
	// epoch, and SlotUsed says whether the model was used in it.
	Slot     int64
	SlotUsed bool
}

// Observe records that the model was in use at a time. Times never decrease.
func (a *Activity) Observe(now time.Time) {
	if gap := now.Sub(a.LastUse); !a.LastUse.IsZero() && gap >= minGap {
		a.Idle[bin(gap)]++
		a.Samples++
	}
	a.LastUse = now
	a.Roll(now)
	a.SlotUsed = true
}

// Roll closes the slots that ended before now.
func (a *Activity) Roll(now time.Time) {
	current := now.Unix() / int64(Interval/time.Second)
	if a.Slot == 0 {
		a.Slot = current
	}
	if current-a.Slot > int64(slots) {
		a.Slot, a.SlotUsed = current-int64(slots), false
	}
	for ; a.Slot < current; a.Slot++ {
		at := a.Slot % int64(slots)
		a.Used[at] *= 1 - smoothing
		if a.SlotUsed {
			a.Used[at] += smoothing
		}
		a.SlotUsed = false
	}
}

func bin(gap time.Duration) int {
	return min(int(gap/binWidth), bins-1)
}

// percentile returns the idle time below which the part of the samples lies,
// as the number of a bin, and false if it is beyond the histogram.
func (a *Activity) percentile(part float64) (int, bool) {
	limit, sum := part*float64(a.Samples), 0.0
	for at, count := range a.Idle {
		sum += float64(count)
		if sum >= limit && sum > 0 {
			return at, at < bins-1
		}
	}
	return bins - 1, false
}
