package estimator

import (
	"cmp"
	"maps"
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

// Bounds of a report. What exceeds them is reported next time.
const (
	maxReportedSpeeds = 64
	maxReportedPaces  = 64
)

// Collect returns what was measured since the last call, sorted.
func (e *Estimator) Collect() (speeds []SpeedSum, paces []PaceSum) {
	for _, id := range slices.Sorted(maps.Keys(e.Replicas)) {
		speed := e.Replicas[id]
		if speed.sum.Weight > 0 && len(speeds) < maxReportedSpeeds {
			speeds = append(speeds, SpeedSum{id, speed.StartedMS, speed.sum})
			speed.sum = Sum{}
		}
	}
	for key, service := range e.Services {
		for model, pace := range service.Models {
			if pace.firstEventSum.Weight > 0 {
				paces = append(paces, PaceSum{key.Service, key.Whole, model, pace.firstEventSum, pace.intervalSum})
			}
		}
	}
	slices.SortFunc(paces, func(a, b PaceSum) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), compareBool(a.Whole, b.Whole))
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
		if speed == nil || speed.StartedMS != published.StartedMS {
			continue
		}
		speed.adopt(now, published.value(), now.Sub(speed.ObservedAt) < ownMeasurementTime, speedUncertainty)
		speed.Published = true
		speed.setFactor()
	}
	for _, published := range paces {
		service := e.service(ServiceKey{published.Service, published.Whole})
		pace := service.pace(published.Model)
		adoptSum(now, logOf(published.FirstEvent), &service.FirstEvent, &pace.FirstEvent)
		if published.IntervalKnown {
			adoptSum(now, logOf(published.Interval), &service.Interval, &pace.Interval)
		}
	}
}
