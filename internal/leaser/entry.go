package leaser

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Entry is a node's state for one lease.
type Entry struct {
	Name   string
	Timing Timing
	// Candidate reports that this node is one of the first candidateCount by
	// rank.
	Candidate bool

	// Version and Lease are the object as last read or written, with version 0
	// if it does not exist. SeenAt is when this node first saw that version.
	Version uint64
	Lease   Lease
	SeenAt  time.Time
	// Era is the latest era of the object API that this node knows of, and NotBefore
	// the time before which this node must not take the lease, because a holder of an
	// earlier era may still rely on it.
	Era       uint64
	NotBefore time.Time
	// Restored is set if this node has observed a restoration, and MayHaveHadHolder if a
	// lease that does not exist may have been lost in one.
	Restored, MayHaveHadHolder bool
	// PublishedHolder is the holder in the latest Observed event.
	PublishedHolder string
	// Epoch is the highest epoch seen so far.
	Epoch uint64

	// InFlight reports that a call is in progress. There is at most one at a
	// time, so a version above the known one with this node's run must come
	// from the latest write whose outcome is uncertain.
	InFlight bool
	// SentAt is when the latest call was sent.
	SentAt time.Time
	// LastWrite is the latest write, completed or in progress.
	LastWrite Write
	// UncertainSince is when the earliest write with an uncertain outcome on
	// the known version was sent, or zero if there is none. An earlier copy may
	// take effect while a later one is rejected, so validity counts from the
	// earliest.
	UncertainSince time.Time
	// MustRead reports that the object must be read before the next write.
	MustRead bool
	// DueAt is when the next read or renewal is due.
	DueAt time.Time

	// Tenure is set while this node holds the lease.
	Tenure *Tenure
	// Release is set once this node has been asked to release the lease.
	Release *ReleaseState
}

// Tenure is a period in which this node holds a lease.
type Tenure struct {
	Epoch uint64
	// First is set if no node can have held the lease before.
	First bool
	Until time.Time
	// InheritedData is the data in the lease when the tenure began.
	InheritedData []byte
	// DesiredData is the data to store in the lease. DataStored reports that it
	// is stored.
	DesiredData []byte
	DataStored  bool
}

// ReleaseState is a release that is in progress or done.
type ReleaseState struct {
	Call  runner.Call
	Epoch uint64
	Data  []byte
	// Deadline is when the release is considered failed. The lease has expired
	// by then.
	Deadline time.Time
	Done     bool
	// Resume is set if this node becomes a candidate again when the release is done.
	Resume bool
}

// observe records a version of the object. It returns false if the version was
// already known.
func (e *Entry) observe(now time.Time, version uint64, lease Lease) bool {
	if !e.SeenAt.IsZero() && version == e.Version {
		return false
	}
	e.Version, e.Lease, e.SeenAt = version, lease, now
	e.Epoch = max(e.Epoch, lease.Epoch)
	return true
}

// belongsTo reports whether the object was written for a tenure of the given
// run.
func (e *Entry) belongsTo(run string) bool { return e.Version != 0 && e.Lease.Run == run }

// takeoverAt returns when a candidate may take the lease. A run may take its
// own lease immediately, because it has itself stopped acting on it.
func (e *Entry) takeoverAt(run string) time.Time {
	at := e.SeenAt
	if e.Version != 0 && e.Lease.Holder != "" && e.Lease.Run != run {
		at = e.SeenAt.Add(e.Lease.TakeoverDelay())
	}
	if at.Before(e.NotBefore) {
		return e.NotBefore
	}
	return at
}

// heldEvent returns the Held event for the current tenure.
func (e *Entry) heldEvent() Effect {
	return Held{Name: e.Name, Epoch: e.Tenure.Epoch, First: e.Tenure.First, Until: e.Tenure.Until, Era: e.Era, Data: e.Tenure.InheritedData}
}

// endTenure ends the tenure and returns the Lost event.
func (e *Entry) endTenure() Effect {
	e.Tenure = nil
	return Lost{e.Name}
}

// expire ends a tenure or a release whose time is over.
func (e *Entry) expire(now time.Time) []Effect {
	if e.Tenure != nil && !now.Before(e.Tenure.Until) {
		return []Effect{e.endTenure()}
	}
	if e.Release != nil && !e.Release.Done && !now.Before(e.Release.Deadline) {
		return e.finishRelease(now, false)
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

// isActive reports whether this node has to read or write the lease: it holds
// it, is a candidate, or has a release in progress.
func (e *Entry) isActive() bool {
	if e.Release != nil {
		return !e.Release.Done
	}
	return e.Tenure != nil || e.Candidate
}
