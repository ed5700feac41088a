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
func startWatchdog(ctx context.Context, clock clockwork.Clock, bound time.Duration) (context.Context, *watchdog, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{timer: clock.AfterFunc(bound, func() { cancel(ErrReadTimeout) })}
	return ctx, dog, func() {
		dog.timer.Stop()
		cancel(context.Canceled)
	}
}

func (w *watchdog) start(bound time.Duration) { w.timer.Reset(bound) }
func (w *watchdog) stop()                     { w.timer.Stop() }
