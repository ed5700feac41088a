package dispatcher

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// ErrReadTimeout reports that an endpoint said nothing for too long.
var ErrReadTimeout = merry.Sentinel("the endpoint fell silent")

// watchdog ends a context with ErrReadTimeout when a read takes too long. It runs
// only during reads, so that a slow caller does not count as a silent
// endpoint.
type watchdog struct {
	timer clockwork.Timer
}

// watch returns a context that the watchdog can end, and starts it.
func startWatchdog(ctx context.Context, clock clockwork.Clock, timeout time.Duration) (context.Context, *watchdog, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	readTimer := &watchdog{timer: clock.AfterFunc(timeout, func() { cancel(ErrReadTimeout) })}
	return ctx, readTimer, func() {
		readTimer.timer.Stop()
		cancel(context.Canceled)
	}
}

func (w *watchdog) reset(timeout time.Duration) { w.timer.Reset(timeout) }
func (w *watchdog) stop()                       { w.timer.Stop() }
