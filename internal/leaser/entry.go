package leaser

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Entry is what a node knows of one lease.
type Entry struct {
	Name   string
	Timing Timing
	// Candidate says that this node is one of the first by rank.
	Candidate bool

	// Version and Lease are the object as last read or written, with version
	// 0 if it does not exist. SeenAt is when this node first saw the version.
	Version uint64
	Lease   Lease
	SeenAt  time.Time
	// PublishedHolder is the holder that was published last.
	PublishedHolder string
	// Epoch is the highest epoch seen.
	Epoch uint64

	// InFlight says that a call is under way. There is never more than one, so
	// that a version above the known one with this node's run must stem from
	// the latest unsettled write.
	InFlight bool
	// SentAt is when the latest call was sent.
	SentAt time.Time
	// LastWrite is the write that is under way or was last.
	LastWrite Write
	// UncertainSince is when the earliest write on the known version with an
	// uncertain outcome was sent, or zero. An earlier copy may take effect
	// while a later one is refused, so validity counts from the earliest.
	UncertainSince time.Time
	// MustRead says that the object must be read before it is written.
	MustRead bool
	// DueAt is when the next read or renewal is due.
	DueAt time.Time

	// Tenure is set while this node holds the lease.
	Tenure *Tenure
	// Release is set from when this node was asked to release the lease.
	Release *ReleaseState
}

// Tenure is a time during which this node holds a lease.
type Tenure struct {
	Epoch uint64
	Until time.Time
	// InheritedData is what the lease held when the tenure began.
	InheritedData []byte
	// DesiredData is what it shall hold, and Stored says that it does.
	DesiredData []byte
	DataStored  bool
}

// ReleaseState is a release that is under way or done.
type ReleaseState struct {
	Call  runner.Call
	Epoch uint64
	Data  []byte
	// Deadline is when the release counts as failed. The lease has expired
	// by then.
	Deadline time.Time
	Done     bool
}

// observe records a version of the object. It returns false if the version was
// known.
func (e *Entry) observe(now time.Time, version uint64, lease Lease) bool {
	if !e.SeenAt.IsZero() && version == e.Version {
		return false
	}
	e.Version, e.Lease, e.SeenAt = version, lease, now
	e.Epoch = max(e.Epoch, lease.Epoch)
	return true
}

// belongsTo says whether the object records a tenure of the given run.
func (e *Entry) belongsTo(run string) bool { return e.Version != 0 && e.Lease.Run == run }

// takeoverAt returns when a candidate may take the lease. A run may take its own
// lease at once, because it knows that it does not act on it any more.
func (e *Entry) takeoverAt(run string) time.Time {
	if e.Version == 0 || e.Lease.Holder == "" || e.Lease.Run == run {
		return e.SeenAt
	}
	return e.SeenAt.Add(e.Lease.TakeoverDelay())
}

// heldEvent returns the event for the present tenure.
func (e *Entry) heldEvent() Effect {
	return Held{Name: e.Name, Epoch: e.Tenure.Epoch, Until: e.Tenure.Until, Data: e.Tenure.InheritedData}
}

// endTenure ends the tenure.
func (e *Entry) endTenure() Effect {
	e.Tenure = nil
	return Lost{e.Name}
}

// expire ends what is over at the given time.
func (e *Entry) expire(now time.Time) []Effect {
	if e.Tenure != nil && !now.Before(e.Tenure.Until) {
		return []Effect{e.endTenure()}
	}
	if e.Release != nil && !e.Release.Done && !now.Before(e.Release.Deadline) {
		return e.finishRelease(false)
	}
	return nil
}

// wake returns when the entry next needs a tick.
func (e *Entry) wake(run string) time.Time {
	var wake time.Time
	if e.Tenure != nil {
		wake = e.Tenure.Until
	}
	if e.Release != nil && !e.Release.Done {
		wake = earlier(wake, e.Release.Deadline)
	}
	switch {
	case e.InFlight || !e.isActive():
		return wake
	case e.Release == nil && e.Tenure == nil && !e.MustRead:
		wake = earlier(wake, e.takeoverAt(run))
	}
	return earlier(wake, e.DueAt)
}

// isActive says whether this node has anything to do for the lease.
func (e *Entry) isActive() bool {
	if e.Release != nil {
		return !e.Release.Done
	}
	return e.Tenure != nil || e.Candidate
}
