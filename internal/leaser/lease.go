package leaser

import "time"

// Timing says how long a lease lasts and how often it is written and read.
type Timing struct {
	// Duration is how long a lease lasts without a renewal. It bounds the
	// time without a holder after a crash, and it must leave room for a
	// second renewal after one that timed out.
	Duration time.Duration
	// RenewInterval is the time from one renewal to the next.
	RenewInterval time.Duration
	// PollInterval is the time from one read of a candidate to the next.
	PollInterval time.Duration
}

// DefaultTiming is for an object API that answers within a second. The read
// and the takeover that follow a handover fit in the rest of the second that
// it may take; with a poll of 1 s a single candidate took longer.
var DefaultTiming = Timing{Duration: 3 * time.Second, RenewInterval: time.Second, PollInterval: 900 * time.Millisecond}

const (
	// retryDelay is the pause of a holder after a call that had no effect.
	retryDelay = 250 * time.Millisecond
	// driftDivisor makes the margin for clock drift: 1/10 of the duration on
	// either side is safe if every clock's rate is within 10% of real time.
	driftDivisor = 10
	// candidateCount is the number of nodes that read a lease. Two may fail
	// at the same time as the holder.
	candidateCount = 3
)

// Lease is the content of a lease object.
type Lease struct {
	// Holder is the node that holds the lease, empty if it was released.
	Holder string
	// Run identifies one run of the holder's process, so that a restarted
	// node does not take its former lease for valid.
	Run string
	// Epoch grows with every tenure.
	Epoch    uint64
	Duration time.Duration
	// Data is what the holders keep in the lease. A new holder takes over
	// what the previous one stored last.
	Data []byte
}

// Validity is how long a holder may rely on a lease, from before it sent the
// write that made or renewed it.
func (l Lease) Validity() time.Duration { return l.Duration - l.Duration/driftDivisor }

// TakeoverDelay is how long a candidate must have seen one version of the lease
// before it takes it.
func (l Lease) TakeoverDelay() time.Duration { return l.Duration + l.Duration/driftDivisor }

// Overlap is the least time from the end of a lease at its holder to the
// moment at which another node takes it.
func (t Timing) MinTakeoverDelay() time.Duration {
	lease := Lease{Duration: t.Duration}
	return lease.TakeoverDelay() - lease.Validity()
}

// Event tells other controllers about a lease: Held, Lost or Stored.
type Event interface{ isEvent() }

// Held says that this node holds a lease. It is published at the start of a
// tenure and after every renewal.
type Held struct {
	Name string
	// Epoch is the tenure's epoch, the base of fencing tokens.
	Epoch uint64
	// Until is when the tenure ends if no renewal follows, on this node's
	// clock. Whoever acts on the lease compares it with the clock at that
	// moment, because Lost may come late.
	Until time.Time
	// Data is what the lease held when this tenure began.
	Data []byte
}

// Valid says whether the lease is held at the given time.
func (h Held) Valid(now time.Time) bool { return now.Before(h.Until) }

// Lost says that this node no longer holds a lease. The next tenure has
// another epoch.
type Lost struct{ Name string }

// Stored says that the lease holds data that this node asked to keep in it.
type Stored struct {
	Name  string
	Epoch uint64
	Data  []byte
}

// Observed says which node another one has written into a lease, empty if it
// was released. Only candidates read leases, so that nodes that look for the
// holder can ask any of them.
type Observed struct{ Name, Holder string }

func (Held) isEvent()     {}
func (Lost) isEvent()     {}
func (Stored) isEvent()   {}
func (Observed) isEvent() {}
