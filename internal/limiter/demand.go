package limiter

import (
	"math"
	"time"
)

// Demand is a moving average of the tokens that requests asked for.
type Demand struct {
	Tokens   float64
	Requests float64
	At       time.Time
}

const (
	// demandTime is the time constant of the average.
	demandTimeConstant = time.Second
	// minRequests is the number of requests in a demandTime from which on
	// the next one is likely soon enough to keep tokens for it.
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

// within is the demand to expect within a time.
func (d *Demand) expected(now time.Time, period time.Duration) float64 {
	d.decay(now)
	if d.Requests < minDemandRequests {
		return 0
	}
	return d.Tokens * period.Seconds() / demandTimeConstant.Seconds()
}
