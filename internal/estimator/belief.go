package estimator

import "time"

// Belief is the natural logarithm of a factor of an estimate, with the variance that
// expresses how uncertain it is. Without observations the mean is 0, a factor of 1.
type Belief struct {
	Mean, Variance float64
	// UpdatedAt is when the belief was last updated, zero before.
	UpdatedAt time.Time
}

// uncertainty describes how uncertain beliefs of one kind are.
type uncertainty struct {
	// initial is the variance without observations, and drift what is added in a second.
	initial, drift float64
}

// Uncertainties of the logarithms of factors.
var (
	// The pace of the first model of a service is unknown: its first answers determine it.
	firstPaceUncertainty = uncertainty{initial: 4, drift: 0.0005}
	// Models of a service differ by about a factor of 1.6.
	paceUncertainty = uncertainty{initial: 0.25, drift: 0.0005}
	// Replicas of a service differ by about a factor of 1.6, and each may change.
	speedUncertainty = uncertainty{initial: 0.25, drift: 0.004}
)

// Variances of the logarithms of single measurements.
const (
	// firstEventNoise is that of a time to the first event, which also depends on the
	// requests that arrive at the same time.
	firstEventNoise = 0.09
	// intervalNoise is that of an interval between events, the mean of a whole answer.
	intervalNoise = 0.02
	// publishedNoise is that of what the holder publishes, the mean over many answers.
	publishedNoise = 0.02
)

// minAdoptingGain is the part of the way that a belief moves at least to a published value.
// Values are published only when they change, so that a belief must follow at once.
const minAdoptingGain = 0.75

// maxResidual bounds the effect of a single measurement, a factor of 10.
const maxResidual = 2.3

// age raises the variance of the belief by the time since its last update.
func (b *Belief) age(now time.Time, u uncertainty) {
	if b.UpdatedAt.IsZero() {
		b.Variance = u.initial
	} else {
		b.Variance = min(u.initial, b.Variance+u.drift*now.Sub(b.UpdatedAt).Seconds())
	}
	b.UpdatedAt = now
}

// isKnown reports whether the belief is based on any observation.
func (b *Belief) isKnown() bool { return !b.UpdatedAt.IsZero() }

// update corrects two beliefs whose factors were multiplied by the difference between the
// logarithms of the measurement and of the estimate. Each one takes a part of the difference
// in proportion to its variance.
func update(difference, noise float64, pace, speed *Belief) {
	total := noise + pace.Variance + speed.Variance
	for _, belief := range [...]*Belief{pace, speed} {
		gain := belief.Variance / total
		belief.Mean += gain * difference
		belief.Variance *= 1 - gain
	}
}

// adopt moves the belief to a published value, entirely if this node has not measured it
// recently.
func (b *Belief) adopt(now time.Time, value float64, measured bool, u uncertainty) {
	b.age(now, u)
	gain := 1.0
	if measured {
		gain = adoptingGain(b.Variance)
	}
	b.Mean += gain * (value - b.Mean)
	b.Variance *= publishedNoise / (b.Variance + publishedNoise)
}

// adoptingGain returns the part of the way that a belief with a variance moves to a
// published value.
func adoptingGain(variance float64) float64 {
	return max(minAdoptingGain, variance/(variance+publishedNoise))
}
