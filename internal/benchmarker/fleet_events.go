package benchmarker

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// ErrNotReached reports that a fleet did not reach an expected state within the
// timeout.
var ErrNotReached = merry.Sentinel("the fleet did not reach the expected state in time")

// FleetEvent is an event in a node's log: a configuration version that came
// into force, or a lease that the node acquired.
type FleetEvent struct {
	Node string
	At   time.Time
	// Version is the version of the configuration, or 0 for a lease event.
	Version uint64
	// Lease is the name of the lease, or empty for a configuration event.
	Lease string
}

// eventHook converts log entries to events. No polling is needed, because the
// task that makes a change logs it immediately afterwards.
type eventHook struct {
	node   string
	clock  clockwork.Clock
	events chan<- FleetEvent
}

// Levels implements logrus.Hook.
func (h eventHook) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire implements logrus.Hook.
func (h eventHook) Fire(entry *logrus.Entry) error {
	event := FleetEvent{Node: h.node, At: h.clock.Now()}
	switch {
	case strings.HasPrefix(entry.Message, "configuration in force"):
		event.Version, _ = entry.Data["Version"].(uint64)
	case entry.Message == "lease acquired":
		event.Lease, _ = entry.Data["Lease"].(string)
	default:
		return nil
	}
	select {
	case h.events <- event:
		return nil
	default:
		return merry.Errorf("event buffer is full: %d events are not read", eventBufferSize)
	}
}

// AwaitVersion waits until a configuration version, or a later one, is in
// force on count nodes and returns the time at which the last of them applied
// it. It returns ErrNotReached after the timeout.
func (f *Fleet) AwaitVersion(version uint64, count int, timeout time.Duration) (time.Time, error) {
	reached := map[string]bool{}
	timer := f.Settings.Clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case event := <-f.Events:
			if event.Version < version {
				continue
			}
			reached[event.Node] = true
			if len(reached) == count {
				return event.At, nil
			}
		case <-timer.Chan():
			return time.Time{}, merry.Wrap(ErrNotReached, merry.AppendMessagef("version %d is in force on %d of %d nodes", version, len(reached), count))
		}
	}
}

// AwaitLease waits until a node other than exclude acquires a lease and returns
// that event. It returns ErrNotReached after the timeout.
func (f *Fleet) AwaitLease(lease, exclude string, timeout time.Duration) (FleetEvent, error) {
	timer := f.Settings.Clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case event := <-f.Events:
			if event.Lease == lease && event.Node != exclude {
				return event, nil
			}
		case <-timer.Chan():
			return FleetEvent{}, merry.Wrap(ErrNotReached, merry.AppendMessagef("lease %s was not acquired by a node other than %q within %v", lease, exclude, timeout))
		}
	}
}

const readyPollInterval = 20 * time.Millisecond

// AwaitReady waits until all nodes report that they are ready. It returns
// ErrNotReached after the timeout.
func (f *Fleet) AwaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := f.Settings.Clock.Now().Add(timeout)
	for _, node := range f.Nodes {
		for !isReady(ctx, node.PeerAddress) {
			if f.Settings.Clock.Now().After(deadline) {
				return merry.Wrap(ErrNotReached, merry.AppendMessagef("node %s is not ready after %v", node.Name, timeout))
			}
			<-f.Settings.Clock.After(readyPollInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
