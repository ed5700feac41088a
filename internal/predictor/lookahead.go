package predictor

import "time"

func (p LookAhead) advise(activity *Activity, now time.Time, load time.Duration) Advice {
	activity.Roll(now)
	net := p.net(activity, now, load)
	idle := now.Sub(activity.LastUse)
	return Advice{
		Keep:    idle < p.Grace || net > 0,
		Prewarm: net > load.Seconds(),
	}
}

// net is the largest predicted saving, over the horizons of 1 to Intervals
// intervals, minus the cost of holding the model that long, in idle seconds.
// A horizon of several intervals pays off when the use is in its last one.
func (p LookAhead) net(activity *Activity, now time.Time, load time.Duration) float64 {
	unused, best := 1.0, 0.0
	for ahead := range p.Intervals {
		slot := (activity.Slot + int64(ahead)) % int64(slots)
		unused *= 1 - activity.Used[slot]
		end := time.Unix((activity.Slot+int64(ahead)+1)*int64(Interval/time.Second), 0)
		saving := (1 - unused) * load.Seconds() * p.SecondsPerColdSecond
		net := saving - end.Sub(now).Seconds()
		if ahead == 0 || net > best {
			best = net
		}
	}
	return best
}
