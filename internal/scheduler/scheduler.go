package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// DefaultInboxSize is the default number of messages that may be queued for the
// task. A step takes a few microseconds, so a full inbox means that the node is
// overloaded.
const DefaultInboxSize = 4096

// Settings configures the scheduler of a node.
type Settings struct {
	Clock clockwork.Clock
	// Controller is owned by the task once it is passed to New.
	Controller *Controller
	// InboxSize is the number of messages that may be queued; 0 means
	// DefaultInboxSize.
	InboxSize int
	// ReportDemand and PublishLoad handle the effects of the same name. They
	// must not block.
	ReportDemand func(ReportDemand)
	PublishLoad  func(PublishLoad)
}

// Scheduler gives concurrent request goroutines access to the scheduler's task.
// It implements filter.Scheduler.
type Scheduler struct {
	task  *runner.Task[Message, Effect]
	clock clockwork.Clock
}

// New returns a scheduler. Its task starts with Run.
func New(settings Settings) *Scheduler {
	inboxSize := settings.InboxSize
	if inboxSize == 0 {
		inboxSize = DefaultInboxSize
	}
	return &Scheduler{
		clock: settings.Clock,
		task: runner.New(runner.Settings[Message, Effect]{
			Name:       "scheduler",
			Clock:      settings.Clock,
			Controller: settings.Controller,
			Tick:       Tick{},
			Perform:    settings.perform,
			InboxSize:  inboxSize,
		}),
	}
}

// NewAtLocation returns a scheduler with a new controller at a location.
func NewAtLocation(location router.Location, seed uint64, settings Settings) *Scheduler {
	settings.Controller = NewController(location, seed)
	return New(settings)
}

func (s Settings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Grant:
		handle.Reply(effect.Call, effect)
	case RefuseCall:
		handle.Reply(effect.Call, effect)
	case ReportDemand:
		if s.ReportDemand != nil {
			s.ReportDemand(effect)
		}
	case PublishLoad:
		if s.PublishLoad != nil {
			s.PublishLoad(effect)
		}
	}
}

// Run implements runner.Runnable.
func (s *Scheduler) Run(ctx context.Context) error { return s.task.Run(ctx) }

// Post sends the scheduler a message that needs no answer. It returns
// runner.ErrFull if the inbox is full; the sender may then drop a message that
// only replaces an earlier one.
func (s *Scheduler) Post(message Message) error { return s.task.Post(message) }

// Admit implements filter.Scheduler.
func (s *Scheduler) Admit(ctx context.Context, admission filter.Admission) (filter.Slot, error) {
	answer, err := runner.Ask[Effect](ctx, s.task,
		func(call runner.Call) Message { return Admit{Call: call, Admission: admission} },
		func(call runner.Call) Message { return Cancel{Call: call} })
	switch {
	case errors.Is(err, runner.ErrFull):
		return filter.Slot{}, notRun(filter.Overloaded, "this node has more requests than it can queue")
	case errors.Is(err, runner.ErrStopped):
		return filter.Slot{}, notRun(filter.Draining, "this node is shutting down; ask another one")
	case err != nil:
		return filter.Slot{}, err
	}
	switch answer := answer.(type) {
	case Grant:
		return answer.Slot, nil
	case RefuseCall:
		return filter.Slot{}, answer.Refusal
	default:
		return filter.Slot{}, notRun(filter.Overloaded, "the scheduler gave no slot")
	}
}

// notRun returns a refusal for a request that was never granted a slot, so
// nothing was sent to an endpoint.
func notRun(reason filter.Reason, detail string) filter.Refusal {
	return filter.Refusal{Reason: reason, Detail: detail, Run: filter.NotRun, RetryAfter: retryAfterHint}
}

// releaseRetryInterval is the time between two attempts to release a slot.
const releaseRetryInterval = 10 * time.Millisecond

// Release implements filter.Scheduler. When the inbox is full it retries in the
// background until the task accepts the message or ends, because a lost release
// would leak the slot. The number of goroutines is limited by the number of
// slots.
func (s *Scheduler) Release(slot filter.Slot, result filter.SlotResult) {
	message := Release{SlotID: slot.ID, Result: result}
	if err := s.task.Post(message); !errors.Is(err, runner.ErrFull) {
		return
	}
	go func() {
		for errors.Is(s.task.Post(message), runner.ErrFull) {
			<-s.clock.After(releaseRetryInterval)
		}
	}()
}
