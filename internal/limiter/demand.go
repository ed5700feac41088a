package limiter

import (
	"math"
	"time"
)

// Demand is an exponentially decayed sum of the tokens and the number of recent
// requests, as of the time At.
type Demand struct {
	Tokens   float64
	Requests float64
	At       time.Time
}

const (
	// demandTimeConstant is the time constant of the decay.
	demandTimeConstant = time.Second
	// minDemandRequests is the number of requests per demandTimeConstant below
	// which no tokens are kept for the next request, because it is not likely
	// to arrive soon enough.
	minDemandRequests = 2
)

func (d *Demand) decay(now time.Time) {
	if now.After(d.At) {
		factor := math.Exp(-now.Sub(d.At).Seconds() / demandTimeConstant.Seconds())
		d.Tokens *= factor
		d.Requests *= factor
		d.At = now
	}
}

func (d *Demand) add(now time.Time, tokens float64) {
	d.decay(now)
	d.Tokens += tokens
	d.Requests++
}

// expected returns the number of tokens that requests are expected to need
// within a period.
func (d *Demand) expected(now time.Time, period time.Duration) float64 {
	d.decay(now)
	if d.Requests < minDemandRequests {
		return 0
	}
	return d.Tokens * period.Seconds() / demandTimeConstant.Seconds()
}
