package leaser

import "time"

// Timing configures how long a lease lasts and how often it is renewed and
// polled.
type Timing struct {
	// Duration is how long a lease lasts without a renewal. It bounds the time
	// without a holder after a crash, and must leave room for a second renewal
	// after one that timed out.
	Duration time.Duration
	// RenewInterval is the time between renewals by the holder.
	RenewInterval time.Duration
	// PollInterval is the time between reads by a candidate.
	PollInterval time.Duration
}

// DefaultTiming suits an object API that responds within a second. A handover
// may take one second, and the poll, the read and the takeover have to fit into
// it: with a poll interval of 1 s a single candidate took longer.
var DefaultTiming = Timing{Duration: 3 * time.Second, RenewInterval: time.Second, PollInterval: 900 * time.Millisecond}

const (
	// retryDelay is how long a holder waits after a call that had no effect.
	retryDelay = 250 * time.Millisecond
	// driftDivisor sets the margin for clock drift: a margin of 1/10 of the
	// duration on either side is safe if the rate of every clock is within 10%
	// of real time.
	driftDivisor = 10
	// candidateCount is the number of nodes that poll a lease. Two of them may
	// fail at the same time as the holder.
	candidateCount = 3
)

// Lease is the content of a lease object.
type Lease struct {
	// Holder is the name of the node that holds the lease, or empty after a
	// release.
	Holder string
	// Run identifies one run of the holder's process, so that a restarted node
	// does not consider a lease of its earlier run valid.
	Run string
	// Epoch increases with every tenure.
	Epoch    uint64
	Duration time.Duration
	// Data is stored by the holders in the lease. A new holder inherits what
	// the previous one stored last.
	Data []byte
}

// Validity is how long a holder may rely on a lease, counted from before it
// sent the write that acquired or renewed it.
func (l Lease) Validity() time.Duration { return l.Duration - l.Duration/driftDivisor }

// TakeoverDelay is how long a candidate must have seen the same version of the
// lease before it takes the lease.
func (l Lease) TakeoverDelay() time.Duration { return l.Duration + l.Duration/driftDivisor }

// MinTakeoverDelay is the minimum time from the end of a lease on its holder's
// clock to its takeover by another node.
func (t Timing) MinTakeoverDelay() time.Duration {
	lease := Lease{Duration: t.Duration}
	return lease.TakeoverDelay() - lease.Validity()
}

// Event notifies other components of a change of a lease: Held, Lost, Stored or
// Observed.
type Event interface{ isEvent() }

// Held reports that this node holds a lease. It is published at the start of a
// tenure and after every renewal.
type Held struct {
	Name string
	// Epoch is the epoch of the tenure, on which fencing tokens are based. First is set
	// if no node can have held the lease before.
	Epoch uint64
	First bool `json:",omitempty"`
	// Until is when the tenure ends without a further renewal, on this node's
	// clock. Users of the lease must compare it with the clock whenever they
	// act, because Lost may be delivered late.
	Until time.Time
	// Era is the era of the object API in which the lease is held, 0 if it names none.
	Era uint64 `json:",omitempty"`
	// Data is the data in the lease when this tenure began.
	Data []byte
}

// Valid reports whether the lease is held at the given time.
func (h Held) Valid(now time.Time) bool { return now.Before(h.Until) }

// Lost reports that this node no longer holds a lease. Its next tenure has
// another epoch.
type Lost struct{ Name string }

// Stored reports that the lease contains the data of a SetData request.
type Stored struct {
	Name  string
	Epoch uint64
	Data  []byte
}

// Observed reports that a read found another holder in the lease than the read
// before. Holder is empty if the lease was released. Only candidates read
// leases, so a node that looks for the holder can query any of them.
type Observed struct {
	Name, Holder string
	// Era is the era of the object API in which the lease was read, 0 if it names none.
	Era uint64 `json:",omitempty"`
	// Data is the data in the lease.
	Data []byte `json:",omitempty"`
}

func (Held) isEvent()     {}
func (Lost) isEvent()     {}
func (Stored) isEvent()   {}
func (Observed) isEvent() {}
