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
	// Told is the holder that was published last.
	Told string
	// Epoch is the highest epoch seen.
	Epoch uint64

	// Busy says that a call is under way. There is never more than one, so
	// that a version above the known one with this node's run must stem from
	// the latest unsettled write.
	Busy bool
	// SentAt is when the latest call was sent.
	SentAt time.Time
	// Writing is the write that is under way or was last.
	Writing Write
	// Unsettled is when the earliest write on the known version with an
	// uncertain outcome was sent, or zero. An earlier copy may take effect
	// while a later one is refused, so validity counts from the earliest.
	Unsettled time.Time
	// MustRead says that the object must be read before it is written.
	MustRead bool
	// DueAt is when the next read or renewal is due.
	DueAt time.Time

	// Tenure is set while this node holds the lease.
	Tenure *Tenure
	// Leave is set from when this node was asked to release the lease.
	Leave *Leave
}

// Tenure is a time during which this node holds a lease.
type Tenure struct {
	Epoch uint64
	Until time.Time
	// Inherited is what the lease held when the tenure began.
	Inherited []byte
	// Keep is what it shall hold, and Stored says that it does.
	Keep   []byte
	Stored bool
}

// Leave is a release that is under way or done.
type Leave struct {
	Call  runner.Call
	Epoch uint64
	Data  []byte
	// GiveUpAt is when the release counts as failed. The lease has expired
	// by then.
	GiveUpAt time.Time
	Over     bool
}

// see records a version of the object. It returns false if the version was
// known.
func (e *Entry) see(now time.Time, version uint64, lease Lease) bool {
	if !e.SeenAt.IsZero() && version == e.Version {
		return false
	}
	e.Version, e.Lease, e.SeenAt = version, lease, now
	e.Epoch = max(e.Epoch, lease.Epoch)
	return true
}

// isOf says whether the object records a tenure of the given run.
func (e *Entry) isOf(run string) bool { return e.Version != 0 && e.Lease.Run == run }

// takeAt returns when a candidate may take the lease. A run may take its own
// lease at once, because it knows that it does not act on it any more.
func (e *Entry) takeAt(run string) time.Time {
	if e.Version == 0 || e.Lease.Holder == "" || e.Lease.Run == run {
		return e.SeenAt
	}
	return e.SeenAt.Add(e.Lease.Patience())
}

// held returns the event for the present tenure.
func (e *Entry) held() Effect {
	return Held{Name: e.Name, Epoch: e.Tenure.Epoch, Until: e.Tenure.Until, Data: e.Tenure.Inherited}
}

// lose ends the tenure.
func (e *Entry) lose() Effect {
	e.Tenure = nil
	return Lost{e.Name}
}

// expire ends what is over at the given time.
func (e *Entry) expire(now time.Time) []Effect {
	if e.Tenure != nil && !now.Before(e.Tenure.Until) {
		return []Effect{e.lose()}
	}
	if e.Leave != nil && !e.Leave.Over && !now.Before(e.Leave.GiveUpAt) {
		return e.finishLeave(false)
	}
	return nil
}

// wake returns when the entry next needs a tick.
func (e *Entry) wake(run string) time.Time {
	var wake time.Time
	if e.Tenure != nil {
		wake = e.Tenure.Until
	}
	if e.Leave != nil && !e.Leave.Over {
		wake = earlier(wake, e.Leave.GiveUpAt)
	}
	switch {
	case e.Busy || !e.isActive():
		return wake
	case e.Leave == nil && e.Tenure == nil && !e.MustRead:
		wake = earlier(wake, e.takeAt(run))
	}
	return earlier(wake, e.DueAt)
}

// isActive says whether this node has anything to do for the lease.
func (e *Entry) isActive() bool {
	if e.Leave != nil {
		return !e.Leave.Over
	}
	return e.Tenure != nil || e.Candidate
}
