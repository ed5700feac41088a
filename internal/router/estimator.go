package router

import "time"

// Assumptions that hold until a speed is learnt.
const (
	defaultTokensPerSecond = 30
	// prefillSpeedup is how much faster a prompt is read than an answer is
	// generated. Published figures for batching engines lie between 10
	// and 100.
	prefillSpeedup      = 20
	defaultSlotDuration = 2 * time.Second
	// adapterLoadTime is the upper end of the 5 to 10 ms that an adapter takes.
	adapterLoadTime = 10 * time.Millisecond
	// cachedPrefixSaving is the part of a prompt's work that a cached prefix saves.
	cachedPrefixSaving = 0.75
)

// Network delays there and back.
const (
	sameDataCentreDelay = time.Millisecond / 2
	sameRegionDelay     = 2 * time.Millisecond
	otherRegionDelay    = 60 * time.Millisecond
)

// Location is where a node or an endpoint is.
type Location struct {
	Region     string
	DataCentre string
}

// NetworkDelay is the assumed network delay there and back.
func NetworkDelay(a, b Location) time.Duration {
	switch {
	case a.Region != b.Region:
		return otherRegionDelay
	case a.DataCentre != b.DataCentre:
		return sameRegionDelay
	default:
		return sameDataCentreDelay
	}
}

// Candidate is what is known of an endpoint for one request.
type Candidate struct {
	Slots int
	// OwnRequests and Others are the requests that are there, or on the way there.
	OwnRequests   int
	OtherRequests float64
	Speed         Speed
	// TokensPerSecond is the reported speed of one request, 0 if unknown.
	TokensPerSecond float64
	// PrefixHitProbability is the probability that the prompt's prefix is cached.
	PrefixHitProbability float64
	// AdapterMissing says that the endpoint has to load the adapter first.
	AdapterMissing bool
	NetworkDelay   time.Duration
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
	wait := queueWait(candidate)
	work := scale(perPromptToken(candidate), PromptWork(candidate.PromptTokens, candidate.PrefixHitProbability)+promptOverhead)
	if candidate.AdapterMissing {
		work += adapterLoadTime
	}
	return Estimate{Wait: wait, FirstToken: penalizeFailures(candidate, wait+work+candidate.NetworkDelay)}
}

// EstimateCall estimates the time until a plain service has answered.
func EstimateCall(candidate Candidate) Estimate {
	serviceTime := slotDuration(candidate)
	wait := scale(serviceTime, float64(candidate.OwnRequests)/float64(max(1, candidate.Slots)))
	return Estimate{Wait: wait, FirstToken: penalizeFailures(candidate, wait+serviceTime+candidate.NetworkDelay)}
}

// PromptWork is the number of prompt tokens that have to be computed.
func PromptWork(tokens int, hitProbability float64) float64 {
	return float64(tokens) * (1 - cachedPrefixSaving*hitProbability)
}

// queueWait is the time until a request beyond the endpoint's slots starts:
// one slot becomes free every held/slots on average.
func queueWait(candidate Candidate) time.Duration {
	slots := float64(max(1, candidate.Slots))
	excess := float64(candidate.OwnRequests) + candidate.OtherRequests - slots + 1
	if excess <= 0 {
		return 0
	}
	return scale(slotDuration(candidate), excess/slots)
}

func slotDuration(candidate Candidate) time.Duration {
	if candidate.Speed.SlotDuration > 0 {
		return candidate.Speed.SlotDuration
	}
	return defaultSlotDuration
}

func perPromptToken(candidate Candidate) time.Duration {
	speed := candidate.TokensPerSecond
	switch {
	case candidate.Speed.PerPromptToken > 0:
		return candidate.Speed.PerPromptToken
	case candidate.Speed.PerToken > 0:
		return candidate.Speed.PerToken / prefillSpeedup
	case speed <= 0:
		speed = defaultTokensPerSecond
	}
	return scale(time.Second, 1/(speed*prefillSpeedup))
}

// penalizeFailures makes an endpoint that failed lately look slower, so that it gets
// work again only gradually.
func penalizeFailures(candidate Candidate, estimate time.Duration) time.Duration {
	return estimate * time.Duration(1+min(candidate.Failures, 4))
}
