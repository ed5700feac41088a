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

// DefaultInboxSize is the number of messages that may wait for the task. A step
// takes some microseconds, so that a full inbox means an overloaded node.
const DefaultInboxSize = 4096

// Settings describes the scheduler of a node.
type Settings struct {
	Clock clockwork.Clock
	// Controller is owned by the task from now on.
	Controller *Controller
	// InboxSize is the number of messages that may wait; 0 means DefaultInbox.
	InboxSize int
	// ReportDemand and Publish pass effects on. They must not block.
	ReportDemand func(ReportDemand)
	PublishLoad  func(PublishLoad)
}

// Scheduler lets request goroutines use the scheduler's task. It implements
// filter.Scheduler.
type Scheduler struct {
	task  *runner.Task[Message, Effect]
	clock clockwork.Clock
}

// New returns the task of a scheduler behind its front. Run runs it.
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
			Inbox:      inboxSize,
		}),
	}
}

// NewAtLocation returns the task of a scheduler with a fresh controller.
func NewAtLocation(location router.Location, seed uint64, settings Settings) *Scheduler {
	settings.Controller = NewController(location, seed)
	return New(settings)
}

func (s Settings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Grant:
		handle.Answer(effect.Call, effect)
	case RefuseCall:
		handle.Answer(effect.Call, effect)
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

// Post gives the scheduler a message that needs no answer. A message that
// replaces earlier ones may be dropped by the sender when the inbox is full.
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

// notRun is a refusal of the front. The asker never got a slot, so that
// nothing was sent.
func notRun(reason filter.Reason, detail string) filter.Refusal {
	return filter.Refusal{Reason: reason, Detail: detail, Run: filter.NotRun, RetryAfter: retryAfterHint}
}

// releaseRetryDelay is the time between two tries to give a slot back.
const releaseRetryDelay = 10 * time.Millisecond

// Release implements filter.Scheduler. When the inbox is full it tries again
// in the background until the task takes the message or ends: a lost release
// would hold the slot for ever. The goroutines are bounded by the slots.
func (s *Scheduler) Release(slot filter.Slot, result filter.SlotResult) {
	message := Release{SlotID: slot.ID, Result: result}
	if err := s.task.Post(message); !errors.Is(err, runner.ErrFull) {
		return
	}
	go func() {
		for errors.Is(s.task.Post(message), runner.ErrFull) {
			<-s.clock.After(releaseRetryDelay)
		}
	}()
}
