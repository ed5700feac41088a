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

// ErrNotReached reports that a fleet did not get into a state in time.
var ErrNotReached = merry.Sentinel("the fleet did not reach the state in time")

// FleetEvent is something that a node logged: a configuration that came into
// force, or a lease that it acquired.
type FleetEvent struct {
	Node string
	At   time.Time
	// Version is the configuration's version, or 0.
	Version uint64
	// Lease is the lease's name, or empty.
	Lease string
}

// eventHook turns log entries into events. The entries are written by the
// task that makes the change, right after it, so that no polling is needed.
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
		return merry.Errorf("more than %d events wait", eventBufferSize)
	}
}

// AwaitVersion returns when a version came into force at the last of count
// nodes.
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
			return time.Time{}, merry.Wrap(ErrNotReached, merry.AppendMessagef("version %d at %d of %d nodes", version, len(reached), count))
		}
	}
}

// AwaitLease returns the event by which a node other than one acquires a
// lease.
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
			return FleetEvent{}, merry.Wrap(ErrNotReached, merry.AppendMessagef("lease %s", lease))
		}
	}
}

const readyPollInterval = 20 * time.Millisecond

// AwaitReady waits until all nodes can show that they are current.
func (f *Fleet) AwaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := f.Settings.Clock.Now().Add(timeout)
	for _, node := range f.Nodes {
		for !isReady(ctx, node.PeerAddress) {
			if f.Settings.Clock.Now().After(deadline) {
				return merry.Wrap(ErrNotReached, merry.AppendMessagef("%s is not ready", node.Name))
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
