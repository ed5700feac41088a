package predictor

import (
	"fmt"
	"time"
)

// Policy determines how long idle models are kept and when they are prewarmed.
// It is FixedTime, LeastRecentlyUsed or IdleHistogram.
type Policy interface{ isPolicy() }

// FixedTime keeps every model for the same time after its last use.
type FixedTime struct {
	Keep time.Duration
}

// LeastRecentlyUsed keeps every model until its memory is needed.
type LeastRecentlyUsed struct{}

// IdleHistogram keeps a model for as long as its own past idle times suggest.
// If short idle times are rare, it unloads the model after the grace period
// and prewarms it before the earliest expected next use.
type IdleHistogram struct {
	// Head and Tail are percentiles of the idle times, as fractions from 0 to
	// 1: the model is unloaded until Head and kept until Tail.
	Head float64
	Tail float64
	// Margin widens the window at both ends, as a fraction of each end.
	Margin float64
	// MinSamples is the number of idle times below which Fallback applies.
	MinSamples int
	// Fallback is the keep time for models with too few samples.
	Fallback time.Duration
	// Grace is the minimum keep time: unloading earlier saves little.
	Grace time.Duration
}

func (FixedTime) isPolicy()         {}
func (LeastRecentlyUsed) isPolicy() {}
func (IdleHistogram) isPolicy()     {}

// Advice is a policy's recommendation for one idle model.
type Advice struct {
	// Keep is true if a loaded model should stay loaded.
	Keep bool
	// Prewarm is true if an unloaded model should be loaded now.
	Prewarm bool
}

// Advise returns a policy's advice on a model that is idle at the given time.
// load is the expected duration of loading it.
func Advise(policy Policy, activity *Activity, now time.Time, load time.Duration) Advice {
	switch policy := policy.(type) {
	case FixedTime:
		return Advice{Keep: now.Sub(activity.LastUse) < policy.Keep}
	case LeastRecentlyUsed:
		return Advice{Keep: true}
	case IdleHistogram:
		return policy.advise(activity, now, load)
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// Rank returns a model's rank for eviction; the lowest rank is evicted first.
func Rank(policy Policy, activity *Activity, now time.Time) float64 {
	switch policy.(type) {
	case FixedTime, LeastRecentlyUsed:
		return recency(activity, now)
	case IdleHistogram:
		return -activity.expectedRemaining(now.Sub(activity.LastUse)).Seconds()
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// recency ranks models by their last use, least recent lowest.
func recency(activity *Activity, now time.Time) float64 {
	return -now.Sub(activity.LastUse).Seconds()
}
