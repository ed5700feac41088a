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
	suspectFailures = 1.5
	// suspectSpan is how long the word of the other nodes holds.
	suspectSpan = 600 * time.Millisecond
	// successFactor lowers the weight of failures with each answer.
	successFactor = 0.6
	// latencyShare is the weight of a new measurement in the moving average.
	latencyShare = 0.15
	// pendingSlack is added to the time left of a load.
	pendingSlack = 3 * time.Millisecond
)

// Replica is what this node knows of a replica.
type Replica struct {
	Told surveyor.Replica
	// ReadyAt holds the ends of loads by model and adapter, the zero time for
	// a load whose end is not known.
	ReadyAt map[item]time.Time
	// MissingUntil holds what the replica said that it does not have.
	MissingUntil map[item]time.Time
	// Running counts this node's requests by model, and Others those of the
	// other nodes.
	Running map[string]int
	Others  int
	// Failures is the weight of recent failures as of FailedAt.
	Failures float64
	FailedAt time.Time
	// SuspectedUntil is set while other nodes' requests fail.
	SuspectedUntil time.Time
	// Noted says that the log tells that the replica is suspected.
	Noted bool
	// RefusedUntil is set when the replica was full.
	RefusedUntil time.Time
	// Latency is the moving average of the time to the first byte.
	Latency time.Duration
}

// item is a model, with an adapter or without.
type item struct{ model, adapter string }

// own returns the number of requests that this node runs at the replica.
func (r *Replica) own() int {
	total := 0
	for _, count := range r.Running {
		total += count
	}
	return total
}

// active returns the number of requests that all nodes run at the replica.
func (r *Replica) active() int { return r.own() + r.Others }

// isFull says whether a replica of an engine has no place for another request.
func (r *Replica) isFull() bool { return r.active() >= int(fullEngine*float64(r.Told.Slots)) }

// load returns the share of the replica's slots that is taken.
func (r *Replica) load() float64 {
	return float64(r.active()) / float64(max(1, r.Told.Slots))
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
func (r *Replica) suspect(now time.Time) bool {
	return r.failures(now) >= suspectFailures || now.Before(r.SuspectedUntil) && r.failures(now) > 0
}

func (r *Replica) fail(now time.Time, weight float64) {
	r.Failures = r.failures(now) + weight
	r.FailedAt = now
}

// has says whether requests for an item may be sent.
func (r *Replica) has(now time.Time, wanted item) bool {
	if wanted.model == "" {
		return true
	}
	if until, ok := r.MissingUntil[wanted]; ok && now.Before(until) {
		return false
	}
	if r.Told.Has(wanted.model, wanted.adapter) {
		return true
	}
	readyAt, ok := r.ReadyAt[wanted]
	return ok && !readyAt.IsZero() && !now.Before(readyAt)
}

// readyAt returns when a load of the item ends, and false if none is known.
func (r *Replica) readyAt(wanted item) (time.Time, bool) {
	at, ok := r.ReadyAt[wanted]
	return at, ok
}

// tell takes over a new description of the replica.
func (r *Replica) tell(now time.Time, told surveyor.Replica) {
	ready := map[item]time.Time{}
	for _, pending := range told.Pending {
		wanted := item{pending.Model, pending.Adapter}
		at := now.Add(pending.Left + pendingSlack)
		if !pending.Sure {
			ready[wanted] = time.Time{}
			continue
		}
		if known, ok := r.ReadyAt[wanted]; ok && slices.ContainsFunc(r.Told.Pending, func(p surveyor.Pending) bool {
			return p.Model == pending.Model && p.Adapter == pending.Adapter
		}) {
			at = known
		}
		ready[wanted] = at
	}
	r.ReadyAt, r.Told = ready, told
}

// settle records the result of an attempt.
func (r *Replica) settle(now time.Time, need Need, message Ended) {
	if r.Running[need.Model] > 1 {
		r.Running[need.Model]--
	} else {
		delete(r.Running, need.Model)
	}
	if message.FirstByte > 0 {
		if r.Latency == 0 {
			r.Latency = message.FirstByte
		}
		r.Latency += time.Duration(latencyShare * float64(message.FirstByte-r.Latency))
	}
	switch message.Result {
	case Answered:
		r.Failures = r.failures(now) * successFactor
		r.FailedAt = now
	case Failed:
		r.fail(now, 1)
	case Silent:
		r.fail(now, silentWeight)
	case Erred:
		r.fail(now, erredWeight)
	case Missing:
		r.MissingUntil[item{need.Model, need.Adapter}] = now.Add(missingPause)
	case Refused:
		r.RefusedUntil = now.Add(refusedPause)
		r.fail(now, refusedWeight)
	}
}

const (
	// silentWeight makes a silent replica suspect for two seconds: the list
	// shows that it is gone about that much later.
	silentWeight = 3
	// erredWeight counts a server error as less than a broken answer: some
	// requests fail on every replica.
	erredWeight = 0.4
	// refusedWeight counts a refusal: a replica that refuses while it has
	// free slots is not healthy.
	refusedWeight = 0.4
	// refusedPause keeps requests away from a replica that was full.
	refusedPause = 30 * time.Millisecond
	// missingPause is how long a replica that did not have a model is left
	// out for it: about one exchange with the holder.
	missingPause = 60 * time.Millisecond
)
