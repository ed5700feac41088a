package router

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
)

// smoothingFactor is the weight of one observation in a moving average: about
// the last ten observations count.
const smoothingFactor = 0.2

// promptOverhead is the part of the time to the first token that does not
// depend on the prompt, expressed in prompt tokens.
const promptOverhead = 64

// Speed is the speed of an endpoint as measured by a node on its own requests.
// Fields are zero until they are measured.
type Speed struct {
	// PerPromptToken is the time to the first token, without the wait in the
	// queue, per prompt token.
	PerPromptToken time.Duration
	// PerToken is the time between two generated tokens.
	PerToken time.Duration
	// SlotDuration is how long a request holds a slot.
	SlotDuration time.Duration
}

// Observation is the measured result of one request at an endpoint.
type Observation struct {
	// PromptTokens is the expected number of prompt tokens that had to be
	// computed.
	PromptTokens float64
	Tokens       int
	FirstToken   time.Duration
	Duration     time.Duration
	// ExpectedWait is the part of FirstToken that was estimated to be spent in
	// the endpoint's queue.
	ExpectedWait time.Duration
}

// Observe returns the speed updated with one more observation.
func (s Speed) Observe(observation Observation) Speed {
	if observation.FirstToken > 0 {
		work := max(observation.FirstToken-observation.ExpectedWait, observation.FirstToken/4)
		s.PerPromptToken = estimator.MovingAverage(s.PerPromptToken, estimator.Scale(work, 1/(observation.PromptTokens+promptOverhead)))
	}
	if observation.Tokens > 1 && observation.Duration > observation.FirstToken {
		s.PerToken = estimator.MovingAverage(s.PerToken, (observation.Duration-observation.FirstToken)/time.Duration(observation.Tokens-1))
	}
	if observation.Duration > 0 {
		s.SlotDuration = estimator.MovingAverage(s.SlotDuration, observation.Duration)
	}
	return s
}
