// Package timer provides a clock that includes the time for which the machine
// is suspended.
//
// Go's monotonic time is the system's steady clock, which stops while a machine
// is suspended, and the wall clock may jump. Everything that expires, such as a
// lease or the validity of cached keys, is therefore measured by the time since
// boot.
package timer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock whose Now is the time since boot. Its timers run
// on the steady clock and may fire late by the duration of a suspension.
type Clock struct{ clockwork.Clock }

// New returns a clock that counts from boot.
func New() Clock { return Clock{clockwork.NewRealClock()} }

// origin is an arbitrary point in time at which the machine is taken to have
// booted, so that no result is the zero time.
var origin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Now implements clockwork.Clock. The result is comparable only with other
// results from the same machine.
func (c Clock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call cannot fail with these arguments. The steady clock is the
		// closest fallback.
		return origin.Add(time.Since(startedAt))
	}
	return origin.Add(time.Duration(now.Nano()))
}

// startedAt is the reference point for the fallback to the steady clock.
var startedAt = time.Now()

// Since implements clockwork.Clock.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
