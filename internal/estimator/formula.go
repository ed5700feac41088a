package estimator

import "time"

// Formula holds what determines the time to the first event at an endpoint.
type Formula struct {
	// Running counts the requests at the endpoint, and Slots those that it runs at a time.
	Running float64
	Slots   int
	// SlotDuration is how long a request holds a slot.
	SlotDuration time.Duration
	// PerPromptToken is the time to read a token of the prompt, and PromptTokens the
	// number of tokens to read. OverheadTokens expresses what does not depend on the
	// prompt as a number of tokens.
	PerPromptToken               time.Duration
	PromptTokens, OverheadTokens float64
	// Extra is added to the time: network delay and loading.
	Extra time.Duration
	// Failures counts recent failures, at most maxCountedFailures of which raise the
	// estimate.
	Failures int
}

// maxCountedFailures bounds the factor by which failures raise an estimate.
const maxCountedFailures = 4

// FirstEvent returns the time in the endpoint's queue and the time to the first event, which
// includes it.
func (f Formula) FirstEvent() (wait, first time.Duration) {
	wait = f.QueueWait()
	return wait, f.raise(wait + Scale(f.PerPromptToken, f.PromptTokens+f.OverheadTokens) + f.Extra)
}

// Call returns the same for a plain service, which answers when the request has had its
// slot, and whose running requests share the slots evenly.
func (f Formula) Call() (wait, first time.Duration) {
	wait = Scale(f.SlotDuration, f.Running/float64(max(1, f.Slots)))
	return wait, f.raise(wait + f.SlotDuration + f.Extra)
}

// QueueWait returns the time until a request beyond the endpoint's slots starts. On
// average one slot becomes free every SlotDuration/Slots.
func (f Formula) QueueWait() time.Duration {
	slots := float64(max(1, f.Slots))
	excess := f.Running - slots + 1
	if excess <= 0 {
		return 0
	}
	return Scale(f.SlotDuration, excess/slots)
}

// raise raises the estimate for an endpoint that failed recently, so that it gets requests
// again only gradually.
func (f Formula) raise(estimate time.Duration) time.Duration {
	return estimate * time.Duration(1+min(f.Failures, maxCountedFailures))
}

// smoothingFactor is the weight of one observation in a moving average: about the last ten
// observations count.
const smoothingFactor = 0.2

// MovingAverage returns the moving average of durations updated with one more value. An
// average of zero has no values yet.
func MovingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + Scale(value-average, smoothingFactor)
}

// Scale returns a duration times a factor.
func Scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
