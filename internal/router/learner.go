package router

import "time"

// smoothingFactor is the weight of one observation in a moving average: about
// the last ten observations count.
const smoothingFactor = 0.2

// promptOverhead is the work of a first token that does not depend on the
// prompt, expressed in prompt tokens.
const promptOverhead = 64

// Speed is what a node learnt of an endpoint from its own requests. Zero
// fields are not learnt yet.
type Speed struct {
	// PerPromptToken is the time to the first token without waiting, per
	// prompt token.
	PerPromptToken time.Duration
	// PerToken is the time between two generated tokens.
	PerToken time.Duration
	// SlotDuration is how long a request holds a slot.
	SlotDuration time.Duration
}

// Observation is how one request went at an endpoint.
type Observation struct {
	// PromptTokens is the part of the prompt that had to be computed.
	PromptTokens float64
	Tokens       int
	FirstToken   time.Duration
	Duration     time.Duration
	// ExpectedWait is the part of FirstToken that was expected to be waiting.
	ExpectedWait time.Duration
}

// Observe returns the speed with one more observation.
func (s Speed) Observe(observation Observation) Speed {
	if observation.FirstToken > 0 {
		work := max(observation.FirstToken-observation.ExpectedWait, observation.FirstToken/4)
		s.PerPromptToken = MovingAverage(s.PerPromptToken, scale(work, 1/(observation.PromptTokens+promptOverhead)))
	}
	if observation.Tokens > 1 && observation.Duration > observation.FirstToken {
		s.PerToken = MovingAverage(s.PerToken, (observation.Duration-observation.FirstToken)/time.Duration(observation.Tokens-1))
	}
	if observation.Duration > 0 {
		s.SlotDuration = MovingAverage(s.SlotDuration, observation.Duration)
	}
	return s
}

// MovingAverage returns the moving average of durations after one more value. An
// average of zero has seen no value.
func MovingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + scale(value-average, smoothingFactor)
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
