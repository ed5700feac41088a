package estimator

import (
	"math"
	"time"
)

// Speed is what is known of one start of a replica.
type Speed struct {
	StartedMS int64
	// Belief is the logarithm of Factor, by which times at the replica are longer than
	// at a normal one of its service.
	Belief
	Factor float64
	// Overdue is the factor that requests without a first event show: it is at least
	// that. It is 0 if there are none.
	Overdue float64
	// ObservedAt is when an answer of the replica was last observed at any node.
	ObservedAt time.Time
	// Deviations counts the consecutive measurements that deviate by more than
	// changeThreshold, negative if they were shorter than estimated.
	Deviations int
	// Published is set if the holder has published the speed.
	Published bool
	// Slow is set while the replica is much slower than the mean of its service.
	Slow bool
	// sum holds what was not reported yet.
	sum Sum
	// unlistedAt is when the replica was first missing from the list, zero while it is
	// listed.
	unlistedAt time.Time
}

const (
	// changeThreshold is the logarithm of the factor by which measurements of a replica
	// deviate whose speed has changed, and changeCount the number of such measurements
	// after which what was known of its speed is forgotten. A replica at half of its
	// speed deviates by 0.69.
	changeThreshold = 0.4
	changeCount     = 2
	// maxUncertain is the variance of the rest of the estimate up to which measurements
	// show that the speed has changed.
	maxUncertain = 0.12
	// minShapeObservations is the number of observations of a service before the effects
	// of the batch and of the prompt's length are learnt.
	minShapeObservations = 30
	// shapeGain is the weight of a measurement for these effects.
	shapeGain = 0.05
)

// Replica returns the speed of one start of a replica. An earlier start is forgotten.
func (e *Estimator) Replica(id string, startedMS int64) *Speed {
	speed := e.Replicas[id]
	if speed == nil || speed.StartedMS != startedMS {
		speed = &Speed{StartedMS: startedMS, Factor: 1}
		e.Replicas[id] = speed
	}
	return speed
}

// Observe learns from an answer. It ignores observations of an earlier start of a replica.
func (e *Estimator) Observe(now time.Time, o Observation) {
	speed := e.Replicas[o.Replica]
	if speed == nil || speed.StartedMS != o.StartedMS {
		return
	}
	work := o.Work
	service := e.service(ServiceKey{work.Service, work.Whole})
	pace := service.pace(work.Model)
	if o.FirstEvent > 0 && !o.FirstEventObserved {
		e.observeFirstEvent(now, o, service, pace, speed)
	}
	if o.Duration > 0 && !o.Unfinished {
		service.SlotDuration = MovingAverage(service.SlotDuration, Scale(o.Duration, 1/speed.Factor))
	}
	if o.Events > 1 && o.FirstEvent > 0 && o.Duration > o.FirstEvent {
		observeInterval(now, o, service, pace, speed)
	}
	speed.setFactor()
}

func (e *Estimator) observeFirstEvent(now time.Time, o Observation, service *Service, pace *Pace, speed *Speed) {
	reference := e.Reference(o.Work)
	pace.inherit(reference.firstEventLog, reference.eventLog)
	estimate := reference.At(now, &Speed{Factor: speed.Factor, ObservedAt: now}, o.Load)
	difference := clip(math.Log(float64(o.FirstEvent) / float64(max(estimate.FirstEvent, 1))))
	pace.FirstEvent.age(now, service.paceUncertainty())
	service.known = true
	speed.learn(now, difference, firstEventNoise, &pace.FirstEvent, &pace.firstEventSum)
	if service.Observed++; service.Observed > minShapeObservations {
		service.learnShape(difference, o.Load, reference)
	}
}

// paceUncertainty returns how uncertain the time to the first event of a model is that was not
// observed yet, and intervalUncertainty the same of the interval between events.
func (s *Service) paceUncertainty() uncertainty {
	if !s.known {
		return firstPaceUncertainty
	}
	return paceUncertainty
}

func (s *Service) intervalUncertainty() uncertainty {
	if !s.intervalKnown {
		return firstPaceUncertainty
	}
	return paceUncertainty
}

// inherit sets the factors of a model that was not observed yet to those that were assumed
// for it.
func (p *Pace) inherit(firstEvent, interval float64) {
	if !p.FirstEvent.isKnown() {
		p.FirstEvent.Mean = firstEvent
	}
	if !p.Interval.isKnown() {
		p.Interval.Mean = interval
	}
}

func observeInterval(now time.Time, o Observation, service *Service, pace *Pace, speed *Speed) {
	expected := float64(defaultInterval) * math.Exp(pace.Interval.Mean+speed.Mean) * (1 + fullBatchIntervalShare*o.Load.share())
	measured := float64(o.Duration-o.FirstEvent) / float64(o.Events-1)
	difference := clip(math.Log(measured / expected))
	pace.Interval.age(now, service.intervalUncertainty())
	service.intervalKnown = true
	speed.learn(now, difference, intervalNoise, &pace.Interval, &pace.intervalSum)
	if o.Work.OutputTokens > 0 && !o.Unfinished {
		service.EventTokens += smoothingFactor * (float64(o.Work.OutputTokens)/float64(o.Events) - service.EventTokens)
	}
}

// learn corrects the speed and the pace of a model, which was aged, by the difference between the
// logarithms of a measurement and of its estimate, and adds both to what is reported. noise is
// the variance of the measurement.
func (s *Speed) learn(now time.Time, difference, noise float64, pace *Belief, paceSum *Sum) {
	uncertain := pace.Variance
	s.prepare(now, difference, uncertain)
	before, variance := s.Mean, s.Variance
	update(difference, noise, pace, &s.Belief)
	s.sum.add(before+difference, noise+uncertain)
	paceSum.add(pace.Mean, noise+variance)
	s.ObservedAt = now
}

// prepare ages what is known of the speed, and forgets it if measurements show that the
// replica has become slow or has recovered. uncertain is the variance of the rest of the
// estimate.
func (s *Speed) prepare(now time.Time, difference, uncertain float64) {
	known := s.isKnown()
	s.age(now, speedUncertainty)
	switch {
	case !known || uncertain > maxUncertain || math.Abs(difference) < changeThreshold:
		s.Deviations = 0
		return
	case difference > 0:
		s.Deviations = max(0, s.Deviations) + 1
	default:
		s.Deviations = min(0, s.Deviations) - 1
	}
	if s.Deviations >= changeCount || s.Deviations <= -changeCount {
		s.Variance = 4 * speedUncertainty.initial
	}
}

// Bounds of the factor at which a replica becomes slow and is no longer slow.
const (
	slowFactor   = 1.8
	normalFactor = 1.4
)

func (s *Speed) setFactor() {
	s.Factor = math.Exp(s.Mean)
	s.Slow = s.Factor >= slowFactor || s.Slow && s.Factor > normalFactor
}

// clip bounds a difference of logarithms.
func clip(difference float64) float64 {
	return math.Max(-maxResidual, math.Min(maxResidual, difference))
}

// overdueMargin is the factor beyond the estimate after which a request without a first
// event shows that its replica is slow. Single measurements vary by about as much.
const overdueMargin = 1.3

// ClearOverdue forgets what requests without a first event show. It precedes
// ObserveOverdue for all such requests.
func (e *Estimator) ClearOverdue() {
	for _, speed := range e.overdue {
		speed.Overdue = 0
	}
	e.overdue = e.overdue[:0]
}

// ObserveOverdue learns from a request that has had no first event for a time: it takes at
// least that long.
func (e *Estimator) ObserveOverdue(now time.Time, o Observation, elapsed time.Duration) {
	speed := e.Replicas[o.Replica]
	reference := e.Reference(o.Work)
	if speed == nil || speed.StartedMS != o.StartedMS || !reference.learnt {
		return
	}
	normal := reference.At(now, nil, o.Load).FirstEvent
	if factor := float64(elapsed) / float64(normal); factor > overdueMargin*speed.Factor {
		if speed.Overdue == 0 {
			e.overdue = append(e.overdue, speed)
		}
		speed.Overdue = max(speed.Overdue, factor)
	}
}

// learnShape corrects the effects of the batch and of the prompt's length. The paces of models
// and the speeds of replicas take the part of the difference that depends on neither.
func (s *Service) learnShape(difference float64, load Load, reference Reference) {
	prompt := reference.tokenCost * reference.promptTokens
	tokens := prompt + reference.overhead
	s.BatchTokens += shapeGain * difference * (load.share() - averageShare) * tokens
	s.BatchTokens = min(maxBatchTokens, max(0, s.BatchTokens))
	s.TokenCost *= math.Exp(shapeGain * difference * (prompt/tokens - averageShare))
	s.TokenCost = min(maxTokenCost, max(minTokenCost, s.TokenCost))
}

// averageShare is the part of the slots in use and of the prompt in the time to the first
// event at which a difference shows nothing about their effects.
const averageShare = 0.5
