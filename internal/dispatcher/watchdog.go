package dispatcher

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// ErrReadTimeout reports that an endpoint sent no data within the time allowed.
var ErrReadTimeout = merry.Sentinel("the endpoint sent no data within the time allowed")

// watchdog cancels a context with the cause ErrReadTimeout when a read takes too
// long. It runs only during reads, so that a slow caller does not count as an
// endpoint that stopped responding.
type watchdog struct {
	timer clockwork.Timer
}

// startWatchdog starts a watchdog. It returns the context that the watchdog
// cancels, the watchdog, and a function that stops it and cancels the context.
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
