package tracker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const inboxSize = 1024

// Task runs a Tracker.
type Task = runner.Task[Message, Effect]

// Lister reads the platform's instance list.
type Lister interface {
	// Instances waits up to wait for a list with a version above after. A
	// list with version after means that it did not change within wait.
	Instances(ctx context.Context, after uint64, wait time.Duration) (InstanceList, error)
}

// TaskSettings are the dependencies of a tracker's task.
type TaskSettings struct {
	Clock      clockwork.Clock
	Controller *Tracker
	Lister     Lister
	// PollReport requests an endpoint's load report.
	PollReport func(ctx context.Context, endpoint, address string) (Report, error)
	// PollEvents requests an endpoint's prefix-cache events with sequence numbers
	// above after.
	PollEvents func(ctx context.Context, endpoint, address string, after uint64) (CacheEvents, error)
	// PushList, PushReport and PushEvents send their argument to other nodes.
	PushList   func(InstanceList)
	PushReport func(Report)
	PushEvents func(CacheEvents)
	// PublishFleet and PublishPeers are called with each new view.
	PublishFleet func(*Fleet)
	PublishPeers func(Peers)
}

// NewTask returns a task that runs settings.Controller.
func NewTask(settings TaskSettings) *Task {
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "tracker",
		Clock:      settings.Clock,
		Controller: settings.Controller,
		Tick:       Tick{},
		Perform:    settings.perform,
		InboxSize:  inboxSize,
	})
}

func (s TaskSettings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case WatchList:
		handle.Start(func(ctx context.Context) Message {
			list, err := s.Lister.Instances(ctx, effect.After, ListWait)
			if err != nil {
				return ListFailed{}
			}
			return ListRead{list}
		})
	case PollReport:
		handle.Start(func(ctx context.Context) Message {
			report, err := s.PollReport(ctx, effect.Endpoint, effect.Address)
			if err != nil {
				return ReportFailed{effect.Endpoint}
			}
			return ReportRead{report}
		})
	case PollEvents:
		handle.Start(func(ctx context.Context) Message {
			events, err := s.PollEvents(ctx, effect.Endpoint, effect.Address, effect.After)
			if err != nil {
				return EventsFailed{effect.Endpoint}
			}
			return EventsRead{events}
		})
	case PushEvents:
		s.PushEvents(effect.Events)
	case PushList:
		s.PushList(effect.List)
	case PushReport:
		s.PushReport(effect.Report)
	case PublishFleet:
		s.PublishFleet(effect.Fleet)
	case PublishPeers:
		s.PublishPeers(effect.Peers)
	}
}
