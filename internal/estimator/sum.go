package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Sum is a sum of measured logarithms, weighted by their precision, that can be added to
// those of other nodes.
type Sum struct{ Weight, Total float64 }

// add adds a measurement with a variance.
func (s *Sum) add(value, variance float64) {
	weight := firstEventNoise / variance
	s.Weight += weight
	s.Total += weight * value
}

// mean returns the mean of the measurements, 0 without any.
func (s Sum) mean() float64 {
	if s.Weight == 0 {
		return 0
	}
	return s.Total / s.Weight
}

// plus returns the sum of two sums.
func (s Sum) plus(other Sum) Sum { return Sum{s.Weight + other.Weight, s.Total + other.Total} }

// times returns the sum with its weight changed by a factor.
func (s Sum) times(factor float64) Sum { return Sum{s.Weight * factor, s.Total * factor} }

// rounded returns the sum with three decimals, which keeps reports short.
func (s Sum) rounded() Sum {
	return Sum{math.Round(s.Weight*1000) / 1000, math.Round(s.Total*1000) / 1000}
}

// SpeedSum is what a node has measured of one start of a replica since its last report.
type SpeedSum struct {
	Replica   string
	StartedMS int64
	Sum
}

// PaceSum is what a node knows of a model, if it has measured it since its last report: the
// times to the first event and the intervals between events, relative to the defaults.
type PaceSum struct {
	Service              string
	Whole                bool   `json:",omitempty"`
	Model                string `json:",omitempty"`
	FirstEvent, Interval Sum
}

// Bounds of a report. The largest weights come first, and the others grow until they are
// reported.
const (
	maxReportedSpeeds = 64
	maxReportedPaces  = 64
	// minReportedWeight is the weight up to which a sum waits for more measurements.
	minReportedWeight = 0.05
)

// Collect returns what was measured since the last call.
func (e *Estimator) Collect() (speeds []SpeedSum, paces []PaceSum) {
	for id, speed := range e.Replicas {
		if speed.sum.Weight >= minReportedWeight {
			speeds = append(speeds, SpeedSum{id, speed.StartedMS, speed.sum.rounded()})
		}
	}
	slices.SortFunc(speeds, func(a, b SpeedSum) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Replica, b.Replica))
	})
	speeds = speeds[:min(len(speeds), maxReportedSpeeds)]
	for _, reported := range speeds {
		e.Replicas[reported.Replica].sum = Sum{}
	}
	for key, service := range e.Services {
		for model, pace := range service.Models {
			if pace.firstEventSum.Weight >= minReportedWeight {
				paces = append(paces, PaceSum{key.Service, key.Whole, model, pace.firstEventSum.rounded(), pace.intervalSum.rounded()})
			}
		}
	}
	slices.SortFunc(paces, func(a, b PaceSum) int {
		return cmp.Or(cmp.Compare(b.FirstEvent.Weight, a.FirstEvent.Weight), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), compareBool(a.Whole, b.Whole))
	})
	paces = paces[:min(len(paces), maxReportedPaces)]
	for _, reported := range paces {
		pace := e.Services[ServiceKey{reported.Service, reported.Whole}].Models[reported.Model]
		pace.firstEventSum, pace.intervalSum = Sum{}, Sum{}
	}
	return speeds, paces
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ownMeasurementTime is the age up to which what this node has measured of a replica is as
// new as what the holder publishes.
const ownMeasurementTime = time.Second

// Adopt takes over what the holder has published since the last call.
func (e *Estimator) Adopt(now time.Time, speeds []PublishedSpeed, paces []PublishedPace) {
	e.PublishedAt = now
	for _, published := range speeds {
		speed := e.Replicas[published.Replica]
		if speed == nil || speed.StartedMS < published.StartedMS {
			// The list of replicas may show this start later.
			speed = e.Replica(published.Replica, published.StartedMS)
		}
		if speed.StartedMS != published.StartedMS {
			continue
		}
		speed.adopt(now, published.value(), now.Sub(speed.ObservedAt) < ownMeasurementTime, speedUncertainty)
		speed.Published = true
		speed.setFactor()
	}
	for _, published := range paces {
		service := e.service(ServiceKey{published.Service, published.Whole})
		pace := service.pace(published.Model)
		pace.FirstEvent.adopt(now, logOf(published.FirstEvent), pace.FirstEvent.isKnown(), service.paceUncertainty())
		service.known = true
		if published.IntervalKnown {
			pace.Interval.adopt(now, logOf(published.Interval), pace.Interval.isKnown(), service.intervalUncertainty())
			service.intervalKnown = true
		}
	}
}

// ReportAgain makes the next calls of Collect return what this node knows from its own recent
// measurements, because a new holder has no sums yet.
func (e *Estimator) ReportAgain(now time.Time) {
	for _, speed := range e.Replicas {
		if speed.sum.Weight == 0 && now.Sub(speed.ObservedAt) <= maxKnownAge {
			speed.sum.add(speed.Mean, firstEventNoise)
		}
	}
	for _, service := range e.Services {
		for _, pace := range service.Models {
			if pace.firstEventSum.Weight == 0 && pace.FirstEvent.isKnown() {
				pace.firstEventSum.add(pace.FirstEvent.Mean, firstEventNoise)
			}
			if pace.intervalSum.Weight == 0 && pace.Interval.isKnown() {
				pace.intervalSum.add(pace.Interval.Mean, firstEventNoise)
			}
		}
	}
}
