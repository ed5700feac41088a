package estimator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// longWindow is the time constant of the mean that is published, and recentWindow
	// that of the mean which replaces it when a replica has become slow or has recovered.
	longWindow   = 10 * time.Second
	recentWindow = 500 * time.Millisecond
	// minRecentWeight is the weight of the recent measurements that replace the mean: two
	// first events or one answer of a stream. They replace it if they differ from it by
	// minRecentChange and by significantDeviations of their standard deviation.
	minRecentWeight       = 2
	minRecentChange       = 0.2
	significantDeviations = 3
	// maxWeight bounds the weight of the past, so that a mean of busy replicas follows.
	maxWeight = 100
	// valueStep is the precision of published logarithms, about 2%. minChangeSteps is
	// the change from which a value is published again, about 10%.
	valueStep      = 0.02
	minChangeSteps = 5
)

// PublishedSpeed is the speed of one start of a replica as all nodes have measured it. Value
// is the logarithm of the factor by which its times are longer, in units of valueStep.
type PublishedSpeed struct {
	Replica   string
	StartedMS int64
	Value     int
}

func (p PublishedSpeed) value() float64 { return logOf(p.Value) }

// PublishedPace is the pace of a model as all nodes have measured it, relative to the
// defaults, in units of valueStep.
type PublishedPace struct {
	Service              string
	Whole                bool   `json:",omitempty"`
	Model                string `json:",omitempty"`
	FirstEvent, Interval int
	// IntervalKnown is set if answers with several events were observed.
	IntervalKnown bool `json:",omitempty"`
}

func logOf(steps int) float64 { return float64(steps) * valueStep }

func stepsOf(value float64) int { return int(math.Round(value / valueStep)) }

// Pool adds up what the nodes have measured. It belongs to the holder, and its zero value is
// empty.
type Pool struct {
	Speeds map[string]*PooledSpeed
	Paces  map[PaceKey]*PooledPace
	// changed holds whether anything changed since the last Publish.
	changed bool
}

// PaceKey identifies a model of a service.
type PaceKey struct {
	ServiceKey
	Model string
}

// PooledSpeed is the speed of one start of a replica.
type PooledSpeed struct {
	StartedMS    int64
	Long, Recent Sum
	UpdatedAt    time.Time
	// Published is the value that was published at Version. Version is 0 before.
	Published int
	Version   uint64
	pending   bool
}

// PooledPace is the pace of a model.
type PooledPace struct {
	FirstEvent, Interval Sum
	UpdatedAt            time.Time
	Published            PublishedPace
	Version              uint64
	pending              bool
}

// Record adds the measurements of a node's report.
func (p *Pool) Record(now time.Time, speeds []SpeedSum, paces []PaceSum) {
	if p.Speeds == nil {
		p.Speeds, p.Paces = map[string]*PooledSpeed{}, map[PaceKey]*PooledPace{}
	}
	for _, reported := range speeds {
		speed := p.Speeds[reported.Replica]
		if speed == nil || speed.StartedMS < reported.StartedMS {
			speed = &PooledSpeed{StartedMS: reported.StartedMS, UpdatedAt: now}
			p.Speeds[reported.Replica] = speed
		}
		if speed.StartedMS == reported.StartedMS && isValid(reported.Sum) {
			speed.record(now, reported.Sum)
			p.changed = p.changed || speed.pending
		}
	}
	for _, reported := range paces {
		key := PaceKey{ServiceKey{reported.Service, reported.Whole}, reported.Model}
		pace := p.Paces[key]
		if pace == nil {
			pace = &PooledPace{UpdatedAt: now, Published: PublishedPace{Service: key.Service, Whole: key.Whole, Model: key.Model}}
			p.Paces[key] = pace
		}
		if isValid(reported.FirstEvent) && isValid(reported.Interval) {
			pace.record(now, reported)
			p.changed = p.changed || pace.pending
		}
	}
}

// isValid reports whether a sum has a mean in the range of logarithms of factors.
func isValid(s Sum) bool {
	return s.Weight >= 0 && !math.IsInf(s.Weight, 0) && math.Abs(s.mean()) < maxLog
}

// maxLog bounds the logarithms of factors that are taken from reports, a factor of 160,000.
const maxLog = 12

func (s *PooledSpeed) record(now time.Time, sum Sum) {
	elapsed := now.Sub(s.UpdatedAt)
	s.UpdatedAt = now
	before := s.Long
	s.Long = s.Long.times(decay(elapsed, longWindow)).plus(sum)
	s.Recent = s.Recent.times(decay(elapsed, recentWindow)).plus(sum)
	threshold := max(minRecentChange, significantDeviations*math.Sqrt(firstEventNoise/s.Recent.Weight))
	if before.Weight > 0 && s.Recent.Weight >= minRecentWeight && math.Abs(s.Recent.mean()-before.mean()) >= threshold {
		// Measurements before the newest may be from before the change.
		s.Long, s.Recent = sum, sum
	}
	s.Long = s.Long.bounded()
	change := stepsOf(s.Long.mean()) - s.Published
	s.pending = s.Version == 0 || max(change, -change) >= minChangeSteps
}

func (p *PooledPace) record(now time.Time, reported PaceSum) {
	factor := decay(now.Sub(p.UpdatedAt), longWindow)
	p.UpdatedAt = now
	p.FirstEvent = p.FirstEvent.times(factor).plus(reported.FirstEvent).bounded()
	p.Interval = p.Interval.times(factor).plus(reported.Interval).bounded()
	first := stepsOf(p.FirstEvent.mean()) - p.Published.FirstEvent
	interval := stepsOf(p.Interval.mean()) - p.Published.Interval
	learnt := p.Interval.Weight > 0 && !p.Published.IntervalKnown
	p.pending = p.Version == 0 || learnt || max(first, -first, interval, -interval) >= minChangeSteps
}

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / window.Seconds())
}

func (s Sum) bounded() Sum {
	if s.Weight > maxWeight {
		return s.times(maxWeight / s.Weight)
	}
	return s
}

// Publish adopts the changed values with a version, and reports whether there are any.
func (p *Pool) Publish(version uint64) bool {
	if !p.changed {
		return false
	}
	p.changed = false
	for _, speed := range p.Speeds {
		if speed.pending {
			speed.Published, speed.Version, speed.pending = stepsOf(speed.Long.mean()), version, false
		}
	}
	for _, pace := range p.Paces {
		if pace.pending {
			pace.Published.FirstEvent, pace.Published.Interval = stepsOf(pace.FirstEvent.mean()), stepsOf(pace.Interval.mean())
			pace.Published.IntervalKnown = pace.Interval.Weight > 0
			pace.Version, pace.pending = version, false
		}
	}
	return true
}

// Since returns the values that were published after a version, sorted.
func (p *Pool) Since(version uint64) (speeds []PublishedSpeed, paces []PublishedPace) {
	for id, speed := range p.Speeds {
		if speed.Version > version {
			speeds = append(speeds, PublishedSpeed{id, speed.StartedMS, speed.Published})
		}
	}
	for _, pace := range p.Paces {
		if pace.Version > version {
			paces = append(paces, pace.Published)
		}
	}
	slices.SortFunc(speeds, func(a, b PublishedSpeed) int { return cmp.Compare(a.Replica, b.Replica) })
	slices.SortFunc(paces, func(a, b PublishedPace) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), compareBool(a.Whole, b.Whole))
	})
	return speeds, paces
}

// Retain forgets the replicas that are not listed, and the models that have not been observed
// for paceLifetime.
func (p *Pool) Retain(now time.Time, isListed func(replica string) bool) {
	maps.DeleteFunc(p.Speeds, func(id string, _ *PooledSpeed) bool { return !isListed(id) })
	maps.DeleteFunc(p.Paces, func(_ PaceKey, pace *PooledPace) bool { return now.Sub(pace.UpdatedAt) > paceLifetime })
}
