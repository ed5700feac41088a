package predictor

import "time"

func (p IdleHistogram) advise(activity *Activity, now time.Time, load time.Duration) Advice {
	idle := now.Sub(activity.LastUse)
	if activity.Samples < p.MinSamples {
		return Advice{Keep: idle < p.Fallback}
	}
	from, until := p.window(activity, load)
	inside := idle >= from && idle < until
	return Advice{Keep: inside || idle < p.Grace, Prewarm: inside}
}

// window returns the range of idle times during which the model should be
// loaded. A model whose median idle time is beyond the histogram is kept for
// the fallback time and not prewarmed.
func (p IdleHistogram) window(activity *Activity, load time.Duration) (from, until time.Duration) {
	head, _ := activity.percentile(p.Head)
	tail, bounded := activity.percentile(p.Tail)
	until = time.Duration(float64(time.Duration(tail+1)*binWidth) * (1 + p.Margin))
	if !bounded {
		median, medianBounded := activity.percentile(0.5)
		if !medianBounded {
			return 0, p.Fallback
		}
		until = max(p.Fallback, time.Duration(median+1)*binWidth)
	}
	from = time.Duration(float64(time.Duration(head)*binWidth)*(1-p.Margin)) - load
	if from < p.Grace+load {
		from = 0
	}
	return from, until
}

// expectedRemaining returns the median time until the next use, given the idle
// time so far. Without samples it grows with the idle time.
func (a *Activity) expectedRemaining(idle time.Duration) time.Duration {
	begin := binIndex(idle)
	total := uint32(0)
	for _, count := range a.Idle[begin:] {
		total += count
	}
	if total == 0 {
		return time.Duration(binCount)*binWidth + idle
	}
	sum := uint32(0)
	for i, count := range a.Idle[begin:] {
		sum += count
		if 2*sum >= total {
			return time.Duration(i) * binWidth
		}
	}
	return time.Duration(binCount) * binWidth
}
