package router

import "time"

// learningRate is the weight of one observation in a moving average: about
// the last ten observations count.
const learningRate = 0.2

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
	// Held is how long a request holds a slot.
	Held time.Duration
}

// Observation is how one request went at an endpoint.
type Observation struct {
	// PromptTokens is the part of the prompt that had to be computed.
	PromptTokens float64
	Tokens       int
	FirstToken   time.Duration
	Duration     time.Duration
	// Wait is the part of FirstToken that was expected to be waiting.
	Wait time.Duration
}

// Observe returns the speed with one more observation.
func (s Speed) Observe(seen Observation) Speed {
	if seen.FirstToken > 0 {
		work := max(seen.FirstToken-seen.Wait, seen.FirstToken/4)
		s.PerPromptToken = Average(s.PerPromptToken, scale(work, 1/(seen.PromptTokens+promptOverhead)))
	}
	if seen.Tokens > 1 && seen.Duration > seen.FirstToken {
		s.PerToken = Average(s.PerToken, (seen.Duration-seen.FirstToken)/time.Duration(seen.Tokens-1))
	}
	if seen.Duration > 0 {
		s.Held = Average(s.Held, seen.Duration)
	}
	return s
}

// Average returns the moving average of durations after one more value. An
// average of zero has seen no value.
func Average(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + scale(value-average, learningRate)
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
