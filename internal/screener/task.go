package screener

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is large enough for the breaks of all requests of a node at once.
const inboxSize = 4096

// Settings configures a node's screener.
type Settings struct {
	Clock clockwork.Clock
	// Log receives the Note effects, and LogError errors of the inbox. They must not
	// block.
	Log      func(Note)
	LogError func(error)
}

// Task keeps what a node knows about prompts.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
	view     atomic.Pointer[View]
	answers  atomic.Uint64
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.view.Store(&View{})
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "screener",
		Clock:      settings.Clock,
		Controller: NewController(),
		Tick:       Tick{},
		Perform:    t.perform,
		InboxSize:  inboxSize,
	})
	return t
}

// Run runs the task until ctx is done.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers a message to the controller.
func (t *Task) Post(message Message) error { return t.task.Post(message) }

// Quarantined returns the first of the parts that is quarantined and the remaining
// time, or "".
func (t *Task) Quarantined(parts []string) (string, time.Duration) {
	return t.view.Load().Quarantined(t.settings.Clock.Now(), parts)
}

// RecordBreak records an attempt that broke off before the first event of its answer.
func (t *Task) RecordBreak(broken AttemptBroke) { t.post(broken) }

// RecordBegun records that the answer to a request with the given parts has begun.
func (t *Task) RecordBegun(parts []string) {
	t.answers.Add(1)
	if t.view.Load().hasSuspect(parts) {
		t.post(AnswerBegun{parts})
	}
}

func (t *Task) post(message Message) {
	if err := t.task.Post(message); err != nil {
		t.settings.LogError(err)
	}
}

// Collect returns the node's report to the holder.
func (t *Task) Collect(ctx context.Context) (Report, error) {
	answer, err := runner.Ask[AnswerCollect](ctx, t.task,
		func(call runner.Call) Message { return Collect{Call: call} }, nil)
	answer.Report.Answers = t.answers.Load()
	return answer.Report, err
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Publish:
		t.view.Store(effect.View)
	case AnswerCollect:
		handle.Reply(effect.Call, effect)
	case Note:
		t.settings.Log(effect)
	}
}
