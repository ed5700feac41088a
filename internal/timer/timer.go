// Package timer provides a clock that counts the time for which the machine
// stands still.
//
// Go's monotonic time is the system's steady clock, which stops while a
// machine is suspended, and the time of day may jump. Whatever ends by itself,
// such as a lease or the currency of keys, is judged by the time since boot.
package timer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock whose Now is the time since boot. Its timers run
// on the steady clock and may be late by the time of a suspension.
type Clock struct{ clockwork.Clock }

// New returns a clock.
func New() Clock { return Clock{clockwork.NewRealClock()} }

// epoch is an arbitrary origin, so that no time is the zero time.
var origin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Now implements clockwork.Clock. The result can be compared only with other
// results of the same machine.
func (c Clock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call cannot fail with these arguments; the steady clock is the
		// next best.
		return origin.Add(time.Since(startedAt))
	}
	return origin.Add(time.Duration(now.Nano()))
}

// started is the origin of the steady clock.
var startedAt = time.Now()

// Since implements clockwork.Clock.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
