package balancer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// failureHalfLife is the half-life of the weight of failures. With it, a
	// replica that has recovered receives requests again after a few seconds.
	failureHalfLife = 2 * time.Second
	// suspectThreshold is the weight of failures at and above which a replica
	// is suspect, that is, used only if there is no other.
	suspectThreshold = 1.5
	// peerSuspicionTTL is how long a suspicion reported by other nodes is
	// valid.
	peerSuspicionTTL = 600 * time.Millisecond
	// successDecay is the factor by which each answer reduces the weight of
	// failures.
	successDecay = 0.6
	// loadEndMargin is added to the remaining time of a load.
	loadEndMargin = 3 * time.Millisecond
)

// Replica is this node's view of a replica.
type Replica struct {
	Description surveyor.Replica
	// LoadEndsAt holds the end of each load in progress. It is the zero time
	// for a load whose end is not known.
	LoadEndsAt map[modelKey]time.Time
	// MissingUntil holds the models and adapters that the replica reported as
	// not loaded, with the time until which no requests for them are sent to
	// it.
	MissingUntil map[modelKey]time.Time
	// Running counts this node's running requests by model. RunningElsewhere
	// counts those of the other nodes.
	Running          map[string]int
	RunningElsewhere int
	// RunningTotal is the sum of Running.
	RunningTotal int
	// Failures is the weight of recent failures as of FailedAt.
	Failures float64
	FailedAt time.Time
	// SuspectedUntil is the end of a suspicion reported by other nodes, whose
	// requests fail at the replica.
	SuspectedUntil time.Time
	// SuspicionLogged is set while the last log entry about the replica reports
	// that it is suspect.
	SuspicionLogged bool
	// RefusedUntil is the end of the back-off after the replica refused a
	// request because it was full or leaving.
	RefusedUntil time.Time
	// Speed is what is known of the replica's speed. SlowLogged is set while the last log
	// entry about it reports that the replica is slow.
	Speed      *estimator.Speed
	SlowLogged bool
	// TokensAhead counts the prompt tokens of this node's requests whose answers have not
	// begun.
	TokensAhead int
	// Notice is what the replica has announced.
	Notice *Notice
}

// modelKey identifies a model, with or without an adapter.
type modelKey struct{ model, adapter string }

// active returns the number of requests that all nodes run at the replica.
func (r *Replica) active() int { return r.RunningTotal + r.RunningElsewhere }

// isFull reports whether a replica of an engine has no capacity for another
// request.
func (r *Replica) isFull() bool { return r.active() >= int(maxEngineLoad*float64(r.Description.Slots)) }

// load returns the number of running requests relative to the replica's slots.
func (r *Replica) load() float64 {
	return float64(r.active()) / float64(max(1, r.Description.Slots))
}

// free returns the number of requests that the replica takes beyond those that it runs.
func (r *Replica) free() float64 {
	capacity := maxPlainLoad * float64(r.Description.Slots)
	if len(r.Description.Models) > 0 {
		capacity = maxEngineLoad * float64(r.Description.Slots)
	}
	return max(minFree, capacity-float64(r.active()))
}

// minFree is the least free capacity that is assumed of a usable replica.
const minFree = 0.1

// minFailures is the weight of failures at and below which they are forgotten at the next
// half-life.
const minFailures = 0.01

// failures returns the weight of recent failures, decayed to the present. It is never negative:
// a negative cost would exceed the bound on costs that is derived from it, so that no candidate
// would remain.
func (r *Replica) failures(now time.Time) float64 {
	if r.Failures == 0 {
		return 0
	}
	age := now.Sub(r.FailedAt)
	weight := r.Failures
	for ; age >= failureHalfLife; age -= failureHalfLife {
		if weight <= minFailures {
			return 0
		}
		weight /= 2
	}
	return weight * (1 - float64(age)/float64(2*failureHalfLife))
}

// isLeaving reports whether the replica takes no new requests until it ends.
func (r *Replica) isLeaving() bool { return r.Description.Leaving || r.Notice.Leaving }

// isSuspect reports whether requests fail at the replica. A suspicion of other
// nodes counts only if requests of this node have failed recently, too.
func (r *Replica) isSuspect(now time.Time) bool {
	return r.failures(now) >= suspectThreshold || now.Before(r.SuspectedUntil) && r.failures(now) > 0
}

func (r *Replica) addFailure(now time.Time, weight float64) {
	r.Failures = r.failures(now) + weight
	r.FailedAt = now
}

// canServe reports whether requests for the model may be sent to the replica.
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

// mayHave reports whether the replica has the model or is loading it.
func (r *Replica) mayHave(model string) bool {
	if r.Description.Has(model, "") {
		return true
	}
	for key := range r.LoadEndsAt {
		if key.model == model {
			return true
		}
	}
	return false
}

// hasOrLoads reports whether the replica has the model and adapter or is loading them.
func (r *Replica) hasOrLoads(key modelKey) bool {
	_, loading := r.loadEndsAt(key)
	return loading || r.Description.Has(key.model, key.adapter)
}

// loadEndsAt returns when a load of the model ends, and false if no load is
// known. The time is zero if the end is not known.
func (r *Replica) loadEndsAt(key modelKey) (time.Time, bool) {
	at, ok := r.LoadEndsAt[key]
	return at, ok
}

// update replaces the description of the replica. A load that was already in
// progress keeps the end that was estimated first.
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

// recordResult records the result of an attempt.
func (r *Replica) recordResult(now time.Time, need Need, message AttemptEnded) {
	r.RunningTotal--
	if r.Running[need.Model] > 1 {
		r.Running[need.Model]--
	} else {
		delete(r.Running, need.Model)
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
		if r.Notice.Brittle {
			r.RefusedUntil = now.Add(brittleRefusedBackoff)
		}
		r.addFailure(now, refusedWeight)
	}
}

const (
	// timeoutWeight makes a replica suspect for two seconds after a time-out:
	// the list shows about that much later that the replica is gone.
	timeoutWeight = 3
	// serverErrorWeight is lower than the weight of a broken answer, because
	// some requests cause a server error on every replica.
	serverErrorWeight = 0.4
	// refusedWeight is the weight of a refusal: a replica that refuses requests
	// while it has free slots is not healthy.
	refusedWeight = 0.4
	// refusedBackoff is how long no requests are sent to a replica after it
	// refused one.
	refusedBackoff = 30 * time.Millisecond
	// missingBackoff is how long a replica that did not have a model gets no
	// requests for that model: about one exchange with the holder.
	missingBackoff = 60 * time.Millisecond
)
