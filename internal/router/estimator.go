package router

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
)

// Defaults used until a speed has been measured.
const (
	defaultTokensPerSecond = 30
	// prefillSpeedup is how much faster an engine processes prompt tokens than
	// it generates output tokens. Published figures for batching engines are
	// between 10 and 100.
	prefillSpeedup      = 20
	defaultSlotDuration = 2 * time.Second
	// adapterLoadTime is the upper end of the 5 to 10 ms that loading an
	// adapter takes.
	adapterLoadTime = 10 * time.Millisecond
	// cachedPrefixSaving is the part of the prompt's computation that a cached
	// prefix saves.
	cachedPrefixSaving = 0.75
)

// Assumed network round-trip times.
const (
	sameDataCentreDelay = time.Millisecond / 2
	sameRegionDelay     = 2 * time.Millisecond
	otherRegionDelay    = 60 * time.Millisecond
)

// Location is where a node or an endpoint runs.
type Location struct {
	Region     string
	DataCentre string
}

// NetworkDelay returns the assumed network round-trip time.
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

// Candidate is the state of an endpoint that is estimated for one request.
type Candidate struct {
	Slots int
	// OwnRequests and OtherRequests are the requests of this node and of other
	// nodes that are at the endpoint or on the way to it.
	OwnRequests   int
	OtherRequests float64
	Speed         Speed
	// TokensPerSecond is the reported generation speed of one request, or 0 if
	// unknown.
	TokensPerSecond float64
	// PrefixHitProbability is the probability that the prompt's prefix is
	// cached.
	PrefixHitProbability float64
	// AdapterMissing is whether the endpoint has to load the adapter first.
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
	// FirstToken includes Wait and the network delay.
	FirstToken time.Duration
}

// EstimateGeneration estimates the time to the first token at an engine.
func EstimateGeneration(candidate Candidate) Estimate {
	formula := candidate.formula()
	formula.Running += candidate.OtherRequests
	formula.PerPromptToken = perPromptToken(candidate)
	formula.PromptTokens = PromptWork(candidate.PromptTokens, candidate.PrefixHitProbability)
	formula.OverheadTokens = promptOverhead
	if candidate.AdapterMissing {
		formula.Extra += adapterLoadTime
	}
	wait, first := formula.FirstEvent()
	return Estimate{Wait: wait, FirstToken: first}
}

// EstimateCall estimates the time until a plain service has answered.
func EstimateCall(candidate Candidate) Estimate {
	wait, first := candidate.formula().Call()
	return Estimate{Wait: wait, FirstToken: first}
}

// formula returns what estimates of both kinds have in common.
func (c Candidate) formula() estimator.Formula {
	return estimator.Formula{
		Running:      float64(c.OwnRequests),
		Slots:        c.Slots,
		SlotDuration: slotDuration(c),
		Extra:        c.NetworkDelay,
		Failures:     c.Failures,
	}
}

// PromptWork returns the expected number of prompt tokens to compute.
func PromptWork(tokens int, hitProbability float64) float64 {
	return float64(tokens) * (1 - cachedPrefixSaving*hitProbability)
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
	return estimator.Scale(time.Second, 1/(speed*prefillSpeedup))
}
