package router

import "time"

// Assumptions that hold until a speed is learnt.
const (
	defaultTokensPerSecond = 30
	// prefillFactor is how much faster a prompt is read than an answer is
	// generated. Published figures for batching engines lie between 10
	// and 100.
	prefillFactor = 20
	defaultHeld   = 2 * time.Second
	// adapterLoad is the upper end of the 5 to 10 ms that an adapter takes.
	adapterLoad = 10 * time.Millisecond
	// prefixSaving is the part of a prompt's work that a cached prefix saves.
	prefixSaving = 0.75
)

// Network delays there and back.
const (
	sameCentre  = time.Millisecond / 2
	sameRegion  = 2 * time.Millisecond
	otherRegion = 60 * time.Millisecond
)

// Place is where a node or an endpoint is.
type Place struct {
	Region     string
	DataCentre string
}

// Distance is the assumed network delay there and back.
func Distance(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return otherRegion
	case a.DataCentre != b.DataCentre:
		return sameRegion
	default:
		return sameCentre
	}
}

// Candidate is what is known of an endpoint for one request.
type Candidate struct {
	Slots int
	// Own and Others are the requests that are there, or on the way there.
	Own    int
	Others float64
	Speed  Speed
	// TokensPerSecond is the reported speed of one request, 0 if unknown.
	TokensPerSecond float64
	// Locality is the probability that the prompt's prefix is cached.
	Locality float64
	// AdapterMissing says that the endpoint has to load the adapter first.
	AdapterMissing bool
	Distance       time.Duration
	// Failures counts failed attempts since the last success.
	Failures     int
	PromptTokens int
}

// Estimate is the expected time to the first token.
type Estimate struct {
	// Wait is the time in the endpoint's own queue.
	Wait time.Duration
	// FirstToken includes Wait and the network.
	FirstToken time.Duration
}

// EstimateGeneration estimates the time to the first token at an engine.
func EstimateGeneration(candidate Candidate) Estimate {
	wait := queueing(candidate)
	work := scale(perPromptToken(candidate), PromptWork(candidate.PromptTokens, candidate.Locality)+promptOverhead)
	if candidate.AdapterMissing {
		work += adapterLoad
	}
	return Estimate{Wait: wait, FirstToken: doubt(candidate, wait+work+candidate.Distance)}
}

// EstimateCall estimates the time until a plain service has answered.
func EstimateCall(candidate Candidate) Estimate {
	held := held(candidate)
	wait := scale(held, float64(candidate.Own)/float64(max(1, candidate.Slots)))
	return Estimate{Wait: wait, FirstToken: doubt(candidate, wait+held+candidate.Distance)}
}

// PromptWork is the number of prompt tokens that have to be computed.
func PromptWork(tokens int, locality float64) float64 {
	return float64(tokens) * (1 - prefixSaving*locality)
}

// queueing is the time until a request beyond the endpoint's slots starts:
// one slot becomes free every held/slots on average.
func queueing(candidate Candidate) time.Duration {
	slots := float64(max(1, candidate.Slots))
	excess := float64(candidate.Own) + candidate.Others - slots + 1
	if excess <= 0 {
		return 0
	}
	return scale(held(candidate), excess/slots)
}

func held(candidate Candidate) time.Duration {
	if candidate.Speed.Held > 0 {
		return candidate.Speed.Held
	}
	return defaultHeld
}

func perPromptToken(candidate Candidate) time.Duration {
	speed := candidate.TokensPerSecond
	switch {
	case candidate.Speed.PerPromptToken > 0:
		return candidate.Speed.PerPromptToken
	case candidate.Speed.PerToken > 0:
		return candidate.Speed.PerToken / prefillFactor
	case speed <= 0:
		speed = defaultTokensPerSecond
	}
	return scale(time.Second, 1/(speed*prefillFactor))
}

// doubt makes an endpoint that failed lately look slower, so that it gets
// work again only gradually.
func doubt(candidate Candidate, estimate time.Duration) time.Duration {
	return estimate * time.Duration(1+min(candidate.Failures, 4))
}
