package predictor

import (
	"fmt"
	"time"
)

// Policy says how long idle models are kept and when they are prewarmed:
// FixedTime, LeastRecentlyUsed or IdleHistogram.
type Policy interface{ isPolicy() }

// FixedTime keeps every model for the same time after its last use.
type FixedTime struct {
	Keep time.Duration
}

// LeastRecentlyUsed keeps every model until its memory is needed.
type LeastRecentlyUsed struct{}

// IdleHistogram keeps a model as long as its own past idle times suggest. If
// short idle times are rare, the model is released at once and prewarmed
// before the earliest expected return.
type IdleHistogram struct {
	// Head and Tail are percentiles of the idle times, in 0 to 1: the model
	// is away until Head and kept until Tail.
	Head float64
	Tail float64
	// Margin widens the window on both sides, as a part of its ends.
	Margin float64
	// MinSamples is the number of idle times below which Fallback applies.
	MinSamples int
	// Fallback is the keep time for models with too few samples.
	Fallback time.Duration
	// Grace is the least keep time: releasing earlier saves little.
	Grace time.Duration
}

func (FixedTime) isPolicy()         {}
func (LeastRecentlyUsed) isPolicy() {}
func (IdleHistogram) isPolicy()     {}

// Advice is what a policy says of one idle model.
type Advice struct {
	// Keep says that a loaded model stays loaded.
	Keep bool
	// Prewarm says that an unloaded model is worth loading now.
	Prewarm bool
}

// Advise returns a policy's advice on a model that is idle now. load is the
// expected time of loading it.
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

// Rank orders models for eviction: the lowest goes first.
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

// recency ranks models by their last use.
func recency(activity *Activity, now time.Time) float64 {
	return -now.Sub(activity.LastUse).Seconds()
}
