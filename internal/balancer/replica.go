package balancer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// failureHalfLife halves the weight of failures: a replica that recovered
	// gets requests again after a few seconds.
	failureHalfLife = 2 * time.Second
	// suspectFailures is the weight of failures from which on a replica is
	// used only if there is no other.
	suspectThreshold = 1.5
	// suspectSpan is how long the word of the other nodes holds.
	peerSuspicionTTL = 600 * time.Millisecond
	// successFactor lowers the weight of failures with each answer.
	successDecay = 0.6
	// latencyShare is the weight of a new measurement in the moving average.
	latencySmoothing = 0.15
	// pendingSlack is added to the time left of a load.
	loadEndMargin = 3 * time.Millisecond
)

// Replica is what this node knows of a replica.
type Replica struct {
	Description surveyor.Replica
	// ReadyAt holds the ends of loads by model and adapter, the zero time for
	// a load whose end is not known.
	LoadEndsAt map[modelKey]time.Time
	// MissingUntil holds what the replica said that it does not have.
	MissingUntil map[modelKey]time.Time
	// Running counts this node's requests by model, and Others those of the
	// other nodes.
	Running          map[string]int
	RunningElsewhere int
	// Failures is the weight of recent failures as of FailedAt.
	Failures float64
	FailedAt time.Time
	// SuspectedUntil is set while other nodes' requests fail.
	SuspectedUntil time.Time
	// Noted says that the log tells that the replica is suspected.
	SuspicionLogged bool
	// RefusedUntil is set when the replica was full.
	RefusedUntil time.Time
	// Latency is the moving average of the time to the first byte.
	Latency time.Duration
}

// item is a model, with an adapter or without.
type modelKey struct{ model, adapter string }

// own returns the number of requests that this node runs at the replica.
func (r *Replica) running() int {
	total := 0
	for _, count := range r.Running {
		total += count
	}
	return total
}

// active returns the number of requests that all nodes run at the replica.
func (r *Replica) active() int { return r.running() + r.RunningElsewhere }

// isFull says whether a replica of an engine has no place for another request.
func (r *Replica) isFull() bool { return r.active() >= int(maxEngineLoad*float64(r.Description.Slots)) }

// load returns the share of the replica's slots that is taken.
func (r *Replica) load() float64 {
	return float64(r.active()) / float64(max(1, r.Description.Slots))
}

// failures returns the weight of recent failures.
func (r *Replica) failures(now time.Time) float64 {
	if r.Failures == 0 {
		return 0
	}
	age := now.Sub(r.FailedAt)
	weight := r.Failures
	for ; age >= failureHalfLife && weight > 0.01; age -= failureHalfLife {
		weight /= 2
	}
	return weight * (1 - float64(age)/float64(2*failureHalfLife))
}

// suspect says whether requests fail at the replica, as this node or another
// one saw.
func (r *Replica) isSuspect(now time.Time) bool {
	return r.failures(now) >= suspectThreshold || now.Before(r.SuspectedUntil) && r.failures(now) > 0
}

func (r *Replica) addFailure(now time.Time, weight float64) {
	r.Failures = r.failures(now) + weight
	r.FailedAt = now
}

// has says whether requests for an item may be sent.
func (r *Replica) canServe(now time.Time, key modelKey) bool {
	if key.model == "" {
		return true
	}
	if until, ok := r.MissingUntil[key]; ok && now.Before(until) {
		return false
	}
	if r.Description.Has(key.model, key.adapter) {
		return true
	}
	loadEndsAt, ok := r.LoadEndsAt[key]
	return ok && !loadEndsAt.IsZero() && !now.Before(loadEndsAt)
}

// readyAt returns when a load of the item ends, and false if none is known.
func (r *Replica) loadEndsAt(key modelKey) (time.Time, bool) {
	at, ok := r.LoadEndsAt[key]
	return at, ok
}

// tell takes over a new description of the replica.
func (r *Replica) update(now time.Time, description surveyor.Replica) {
	loadEndsAt := map[modelKey]time.Time{}
	for _, pending := range description.Pending {
		key := modelKey{pending.Model, pending.Adapter}
		endsAt := now.Add(pending.Remaining + loadEndMargin)
		if !pending.EndKnown {
			loadEndsAt[key] = time.Time{}
			continue
		}
		if known, ok := r.LoadEndsAt[key]; ok && slices.ContainsFunc(r.Description.Pending, func(p surveyor.PendingLoad) bool {
			return p.Model == pending.Model && p.Adapter == pending.Adapter
		}) {
			endsAt = known
		}
		loadEndsAt[key] = endsAt
	}
	r.LoadEndsAt, r.Description = loadEndsAt, description
}

// settle records the result of an attempt.
func (r *Replica) recordResult(now time.Time, need Need, message AttemptEnded) {
	if r.Running[need.Model] > 1 {
		r.Running[need.Model]--
	} else {
		delete(r.Running, need.Model)
	}
	if message.FirstByte > 0 {
		if r.Latency == 0 {
			r.Latency = message.FirstByte
		}
		r.Latency += time.Duration(latencySmoothing * float64(message.FirstByte-r.Latency))
	}
	switch message.Result {
	case Answered:
		r.Failures = r.failures(now) * successDecay
		r.FailedAt = now
	case Failed:
		r.addFailure(now, 1)
	case TimedOut:
		r.addFailure(now, timeoutWeight)
	case ServerError:
		r.addFailure(now, serverErrorWeight)
	case ModelMissing:
		r.MissingUntil[modelKey{need.Model, need.Adapter}] = now.Add(missingBackoff)
	case Refused:
		r.RefusedUntil = now.Add(refusedBackoff)
		r.addFailure(now, refusedWeight)
	}
}

const (
	// silentWeight makes a silent replica suspect for two seconds: the list
	// shows that it is gone about that much later.
	timeoutWeight = 3
	// erredWeight counts a server error as less than a broken answer: some
	// requests fail on every replica.
	serverErrorWeight = 0.4
	// refusedWeight counts a refusal: a replica that refuses while it has
	// free slots is not healthy.
	refusedWeight = 0.4
	// refusedPause keeps requests away from a replica that was full.
	refusedBackoff = 30 * time.Millisecond
	// missingPause is how long a replica that did not have a model is left
	// out for it: about one exchange with the holder.
	missingBackoff = 60 * time.Millisecond
)
