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

// DefaultInbox is the number of messages that may wait for the task. A step
// takes some microseconds, so that a full inbox means an overloaded node.
const DefaultInbox = 4096

// Settings describes the scheduler of a node.
type Settings struct {
	Clock clockwork.Clock
	// Controller is owned by the task from now on.
	Controller *Controller
	// Inbox is the number of messages that may wait; 0 means DefaultInbox.
	Inbox int
	// Want and Publish pass effects on. They must not block.
	Want    func(WantModel)
	Publish func(Publish)
}

// Front lets request goroutines use the scheduler's task. It implements
// filter.Scheduler.
type Front struct {
	task  *runner.Task[Message, Effect]
	clock clockwork.Clock
}

// New returns the task of a scheduler behind its front. Run runs it.
func New(settings Settings) *Front {
	inbox := settings.Inbox
	if inbox == 0 {
		inbox = DefaultInbox
	}
	return &Front{
		clock: settings.Clock,
		task: runner.New(runner.Settings[Message, Effect]{
			Name:       "scheduler",
			Clock:      settings.Clock,
			Controller: settings.Controller,
			Tick:       Tick{},
			Perform:    settings.perform,
			InboxSize:  inbox,
		}),
	}
}

// NewAt returns the task of a scheduler with a fresh controller.
func NewAt(self router.Place, seed uint64, settings Settings) *Front {
	settings.Controller = NewController(self, seed)
	return New(settings)
}

func (s Settings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Grant:
		handle.Reply(effect.Call, effect)
	case RefuseCall:
		handle.Reply(effect.Call, effect)
	case WantModel:
		if s.Want != nil {
			s.Want(effect)
		}
	case Publish:
		if s.Publish != nil {
			s.Publish(effect)
		}
	}
}

// Run implements runner.Runnable.
func (f *Front) Run(ctx context.Context) error { return f.task.Run(ctx) }

// Post gives the scheduler a message that needs no answer. A message that
// replaces earlier ones may be dropped by the sender when the inbox is full.
func (f *Front) Post(message Message) error { return f.task.Post(message) }

// Admit implements filter.Scheduler.
func (f *Front) Admit(ctx context.Context, admission filter.Admission) (filter.Slot, error) {
	answer, err := runner.Ask[Effect](ctx, f.task,
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
	return filter.Refusal{Reason: reason, Detail: detail, Run: filter.NotRun, RetryAfter: retryAfter}
}

// releaseRetry is the time between two tries to give a slot back.
const releaseRetry = 10 * time.Millisecond

// Release implements filter.Scheduler. When the inbox is full it tries again
// in the background until the task takes the message or ends: a lost release
// would hold the slot for ever. The goroutines are bounded by the slots.
func (f *Front) Release(slot filter.Slot, result filter.SlotResult) {
	message := Release{SlotID: slot.ID, Result: result}
	if err := f.task.Post(message); !errors.Is(err, runner.ErrFull) {
		return
	}
	go func() {
		for errors.Is(f.task.Post(message), runner.ErrFull) {
			<-f.clock.After(releaseRetry)
		}
	}()
}
