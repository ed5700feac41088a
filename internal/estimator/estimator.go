package estimator

import (
	"maps"
	"math"
	"time"
)

// Work is a request as far as its duration depends on it.
type Work struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model, Adapter string `json:",omitempty"`
	// Whole is set if the answer comes as a whole, not as a stream of events.
	Whole bool `json:",omitempty"`
	// CachedTokens is the part of PromptTokens that the replica need not read.
	// OutputTokens is the expected length of the answer.
	PromptTokens, CachedTokens, OutputTokens int `json:",omitempty"`
}

// Load is what a replica does before or beside a request.
type Load struct {
	Running, Slots int
	// TokensAhead counts the prompt tokens of requests whose answers have not begun.
	TokensAhead int
}

// share returns the part of the slots that is in use.
func (l Load) share() float64 { return min(1, float64(l.Running)/float64(max(1, l.Slots))) }

// Estimate is the expected times from sending a request.
type Estimate struct {
	// Wait is the part of FirstEvent that the request spends in the replica's queue.
	Wait, FirstEvent, End time.Duration
	// Known is set if the replica's speed is known as of at most maxKnownAge ago.
	// Otherwise no request may be refused because of the estimate.
	Known bool
	// Learnt is set if answers of the service were observed. Otherwise the estimate is a
	// default.
	Learnt bool
}

// Scale returns the estimate with its times multiplied by a factor.
func (e Estimate) Scale(factor float64) Estimate {
	e.Wait, e.FirstEvent, e.End = Scale(e.Wait, factor), Scale(e.FirstEvent, factor), Scale(e.End, factor)
	return e
}

// Observation is what the answer to a request has shown.
type Observation struct {
	Replica   string
	StartedMS int64
	Work      Work
	// Load is that at the time of sending.
	Load Load
	// FirstEvent is the time from sending to the first event or to the first byte of a
	// whole answer, 0 if it is not known. FirstEventObserved is set if an earlier
	// observation of the same answer had it.
	FirstEvent         time.Duration
	FirstEventObserved bool
	// Duration is the time from sending to the end, 0 before the end, and Events the
	// number of events.
	Duration time.Duration
	Events   int
	// Unfinished is set if Duration is the time to the last of Events, after which more
	// follow.
	Unfinished bool
}

const (
	// maxKnownAge is the age of the last observation up to which a replica counts as
	// known.
	maxKnownAge = 10 * time.Second
	// defaultPerPromptToken is the time in which an engine reads a token of the prompt:
	// engines read 38 tokens in a millisecond.
	defaultPerPromptToken = time.Millisecond / 38
	// overheadTokens is the part of the time to the first event that does not depend on
	// the prompt: a step of 5.3 ms and the delays of the network and the processes.
	overheadTokens = 300
	// fullBatchTokens is added for a full batch, before any observation.
	fullBatchTokens = 150
	// maxBatchTokens, minTokenCost and maxTokenCost bound what is learnt.
	maxBatchTokens             = 3000
	minTokenCost, maxTokenCost = 0.1, 10
	// defaultInterval is the time between events, and defaultEventTokens the tokens of
	// an event. Events hold 4 to 12 tokens.
	defaultInterval    = 43 * time.Millisecond
	defaultEventTokens = 8
	// fullBatchIntervalShare is by how much a full batch lengthens the interval between
	// events: a step takes 5.2 to 5.5 ms.
	fullBatchIntervalShare = 0.06
	// defaultCallDuration is that of a call to a plain service that was never observed.
	defaultCallDuration = 40 * time.Millisecond
	// similarSizeFactor is the factor up to which the sizes of two models are similar.
	similarSizeFactor = 1.5
)

// Estimator holds what is known of the replicas and models of all services.
type Estimator struct {
	Services map[ServiceKey]*Service
	Replicas map[string]*Speed
	// Sizes holds the sizes of models in MB, by service.
	Sizes map[string]map[string]float64
	// PublishedAt is when this node last got an answer of the holder, which publishes the
	// speeds that have changed.
	PublishedAt time.Time
	// overdue holds the speeds whose Overdue is not 0.
	overdue []*Speed
}

// ServiceKey identifies the answers of one kind of a service.
type ServiceKey struct {
	Service string
	Whole   bool
}

// Service is what is known of a service.
type Service struct {
	// TokenCost is the time to read a token of the prompt in relation to the rest of the
	// time to the first event, 1 with the defaults.
	TokenCost float64
	// BatchTokens is what a full batch adds to the time to the first event, expressed in
	// prompt tokens.
	BatchTokens float64
	// EventTokens is the average number of output tokens that an event stands for.
	EventTokens float64
	// SlotDuration is the moving average of the duration of a request at a replica of
	// normal speed.
	SlotDuration time.Duration
	Models       map[string]*Pace
	// known and intervalKnown are set if the time to the first event or the interval
	// between events of any model is known.
	known, intervalKnown bool
	// Observed counts the observations of first events at this node.
	Observed int
}

// Pace is what is known of a model: the factors by which the time to the first event and the
// interval between events are longer than the defaults.
type Pace struct {
	FirstEvent, Interval Belief
	// firstEventSum and intervalSum hold what was not reported yet.
	firstEventSum, intervalSum Sum
}

// New returns an estimator that has observed nothing.
func New() *Estimator {
	return &Estimator{Services: map[ServiceKey]*Service{}, Replicas: map[string]*Speed{}}
}

// Reference is the estimate of a request at a replica of normal speed, without the load.
// It saves work where a request is estimated at many replicas.
type Reference struct {
	// scale is the factor of a prompt token's time.
	scale                   float64
	promptTokens            float64
	tokenCost               float64
	overhead, batchTokens   float64
	generation              time.Duration
	slotDuration            time.Duration
	firstEventLog, eventLog float64
	learnt                  bool
	publishedAt             time.Time
}

// Estimate estimates a request at a replica with a load.
func (e *Estimator) Estimate(now time.Time, replica string, work Work, load Load) Estimate {
	reference := e.Reference(work)
	return reference.At(now, e.Replicas[replica], load)
}

// Reference returns the part of an estimate that does not depend on the replica.
func (e *Estimator) Reference(work Work) Reference {
	reference := Reference{
		promptTokens: float64(max(0, work.PromptTokens-work.CachedTokens)),
		tokenCost:    1,
		overhead:     overheadTokens,
		batchTokens:  fullBatchTokens,
		publishedAt:  e.PublishedAt,
	}
	if work.Model == "" {
		reference.overhead = float64(defaultCallDuration) / float64(defaultPerPromptToken)
	} else if work.Whole {
		reference.overhead += float64(work.OutputTokens) * float64(defaultInterval) / defaultEventTokens / float64(defaultPerPromptToken)
	}
	eventTokens := float64(defaultEventTokens)
	if service := e.Services[ServiceKey{work.Service, work.Whole}]; service != nil {
		pace := e.paceOf(service, work)
		reference.firstEventLog, reference.eventLog = pace.FirstEvent.Mean, pace.Interval.Mean
		reference.tokenCost, reference.batchTokens = service.TokenCost, service.BatchTokens
		reference.slotDuration = service.SlotDuration
		reference.learnt = service.known
		eventTokens = service.EventTokens
	}
	reference.scale = math.Exp(reference.firstEventLog)
	if !work.Whole {
		reference.generation = Scale(defaultInterval, math.Exp(reference.eventLog)*float64(work.OutputTokens)/eventTokens)
	}
	return reference
}

// At returns the estimate at a replica, of which nothing is known if speed is nil.
func (r *Reference) At(now time.Time, speed *Speed, load Load) Estimate {
	return r.AtCached(now, speed, load, 0)
}

// AtCached returns the estimate at a replica that need not read cached tokens of the prompt
// beyond those of the Work.
func (r *Reference) AtCached(now time.Time, speed *Speed, load Load, cached int) Estimate {
	factor := 1.0
	known := false
	if speed != nil {
		factor = max(speed.Factor, speed.Overdue)
		known = now.Sub(speed.ObservedAt) <= maxKnownAge || speed.Published && now.Sub(r.publishedAt) <= maxKnownAge
	}
	share := load.share()
	formula := Formula{
		Running:        float64(load.Running),
		Slots:          load.Slots,
		SlotDuration:   Scale(r.slotDuration, factor),
		PerPromptToken: Scale(defaultPerPromptToken, r.scale*factor),
		PromptTokens:   r.tokenCost * (max(0, r.promptTokens-float64(cached)) + float64(load.TokensAhead)),
		OverheadTokens: r.overhead + r.batchTokens*share,
	}
	wait, first := formula.FirstEvent()
	end := first + Scale(r.generation, factor*(1+fullBatchIntervalShare*share))
	return Estimate{Wait: wait, FirstEvent: first, End: end, Known: known, Learnt: r.learnt}
}

// paceOf returns the pace of a model. For a model that was not observed it is the mean of the
// models of similar size, or else that of the service.
func (e *Estimator) paceOf(service *Service, work Work) Pace {
	if pace := service.Models[work.Model]; pace != nil && pace.FirstEvent.isKnown() {
		return *pace
	}
	sizes := e.Sizes[work.Service]
	size := sizes[work.Model]
	var similar, all meanPace
	for model, pace := range service.Models {
		if !pace.FirstEvent.isKnown() {
			continue
		}
		all.add(pace)
		if other := sizes[model]; size > 0 && other > 0 && max(size/other, other/size) <= similarSizeFactor {
			similar.add(pace)
		}
	}
	if similar.count > 0 {
		return similar.pace()
	}
	return all.pace()
}

// meanPace is the mean of several paces.
type meanPace struct {
	firstEvent, interval float64
	count, intervals     float64
}

func (m *meanPace) add(pace *Pace) {
	m.firstEvent += pace.FirstEvent.Mean
	m.count++
	if pace.Interval.isKnown() {
		m.interval += pace.Interval.Mean
		m.intervals++
	}
}

// pace returns the mean. The order of a map affects the last digits of sums. Rounding removes
// them, so that steps are deterministic.
func (m *meanPace) pace() Pace {
	return Pace{FirstEvent: Belief{Mean: round(m.firstEvent / max(1, m.count))}, Interval: Belief{Mean: round(m.interval / max(1, m.intervals))}}
}

// round rounds a logarithm to a precision of one in a million.
func round(mean float64) float64 { return math.Round(mean*1e6) / 1e6 }

// unlistedLifetime is how long the speed of a replica is kept after it has left the list. The
// list may be of an older copy of the store, or lack entries for a while.
const unlistedLifetime = time.Minute

// paceLifetime is how long the pace of a model is kept after its last observation.
const paceLifetime = time.Hour

// Retain forgets the replicas that have been missing from the list for unlistedLifetime, and
// the models that have not been observed for paceLifetime.
func (e *Estimator) Retain(now time.Time, isListed func(replica string) bool) {
	for id, speed := range e.Replicas {
		switch {
		case isListed(id):
			speed.unlistedAt = time.Time{}
		case speed.unlistedAt.IsZero():
			speed.unlistedAt = now
		case now.Sub(speed.unlistedAt) > unlistedLifetime:
			e.Forget(id)
		}
	}
	for _, service := range e.Services {
		maps.DeleteFunc(service.Models, func(_ string, pace *Pace) bool {
			return pace.FirstEvent.isKnown() && now.Sub(pace.FirstEvent.UpdatedAt) > paceLifetime
		})
	}
}

// Forget forgets a replica that has ended.
func (e *Estimator) Forget(replica string) { delete(e.Replicas, replica) }

func (e *Estimator) service(key ServiceKey) *Service {
	service := e.Services[key]
	if service == nil {
		service = &Service{TokenCost: 1, BatchTokens: fullBatchTokens, EventTokens: defaultEventTokens, Models: map[string]*Pace{}}
		e.Services[key] = service
	}
	return service
}

func (s *Service) pace(model string) *Pace {
	pace := s.Models[model]
	if pace == nil {
		pace = &Pace{}
		s.Models[model] = pace
	}
	return pace
}
