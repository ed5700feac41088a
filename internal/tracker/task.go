package tracker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const inbox = 1024

// Task runs a Tracker.
type Task = runner.Task[Message, Effect]

// Lister reads the platform's instance list.
type Lister interface {
	// Instances waits until the list's version is above after. A list with
	// the version after means that nothing changed within wait.
	Instances(ctx context.Context, after uint64, wait time.Duration) (InstanceList, error)
}

// TaskSettings is what a tracker's task needs.
type TaskSettings struct {
	Clock      clockwork.Clock
	Controller *Tracker
	Lister     Lister
	// Poll asks an endpoint for its load.
	Poll func(ctx context.Context, endpoint, address string) (Report, error)
	// Events asks an endpoint for its prefix-cache events.
	Events func(ctx context.Context, endpoint, address string, after uint64) (CacheEvents, error)
	// PushList, PushReport and PushEvents take what goes to other nodes.
	PushList   func(InstanceList)
	PushReport func(Report)
	PushEvents func(CacheEvents)
	// PublishFleet and PublishPeers are told of new views.
	PublishFleet func(*Fleet)
	PublishPeers func(Peers)
}

// NewTask returns the task of a tracker.
func NewTask(settings TaskSettings) *Task {
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "tracker",
		Clock:      settings.Clock,
		Controller: settings.Controller,
		Tick:       Tick{},
		Perform:    settings.perform,
		InboxSize:  inbox,
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
			report, err := s.Poll(ctx, effect.Endpoint, effect.Address)
			if err != nil {
				return ReportFailed{effect.Endpoint}
			}
			return ReportRead{report}
		})
	case PollEvents:
		handle.Start(func(ctx context.Context) Message {
			events, err := s.Events(ctx, effect.Endpoint, effect.Address, effect.After)
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
