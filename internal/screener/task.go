package screener

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is large enough for the breaks of all requests of a node at once.
const inboxSize = 4096

// Settings configures a node's screener.
type Settings struct {
	// Node is the name of this node.
	Node  string
	Clock clockwork.Clock
	// Log receives the Note effects, and LogError errors of the inbox. They must not
	// block.
	Log      func(Note)
	LogError func(error)
}

// Task keeps what a node knows about requests that crash replicas.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
	view     atomic.Pointer[View]
	// answers counts the answers that have begun, by service.
	answers sync.Map
	// restored is closed when the records of the store are known or no longer waited for.
	restored      chan struct{}
	closeRestored sync.Once
	// probedAt holds the time at which the request with a held trait was last sent.
	probedAt sync.Map
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings, restored: make(chan struct{})}
	t.view.Store(&View{})
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "screener",
		Clock:      settings.Clock,
		Controller: NewController(settings.Node),
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

// Await waits until the quarantines are known that were in force before the node started, or no
// longer waited for. It returns the cause if ctx ends first.
func (t *Task) Await(ctx context.Context) error {
	select {
	case <-t.restored:
		return nil
	default:
	}
	select {
	case <-t.restored:
		return nil
	case <-ctx.Done():
		return merry.Wrap(context.Cause(ctx))
	}
}

// Quarantined returns the first trait of the request for which it is refused and the
// remaining time, or "".
func (t *Task) Quarantined(subject Subject) (Trait, time.Duration) {
	trait, remaining, mayProbe := t.view.Load().quarantined(t.settings.Clock.Now(), subject)
	if mayProbe {
		return "", 0
	}
	return trait, remaining
}

// Admit is called before each attempt. It returns "" if the request may be sent, and
// otherwise what Quarantined returns. A held request is sent once in probeInterval.
func (t *Task) Admit(subject Subject) (Trait, time.Duration) {
	now := t.settings.Clock.Now()
	trait, remaining, mayProbe := t.view.Load().quarantined(now, subject)
	if !mayProbe {
		return trait, remaining
	}
	last, probed := t.probedAt.LoadOrStore(trait, now)
	switch {
	case !probed:
		return "", 0
	case now.Sub(last.(time.Time)) >= probeInterval && t.probedAt.CompareAndSwap(trait, last, now):
		return "", 0
	}
	return trait, probeInterval
}

// probeInterval is the time between two attempts of a held request. It covers the time
// until the result of the first one is known everywhere.
const probeInterval = 2 * time.Second

// IsSuspect reports whether the whole request may crash replicas, as far as the holder
// knows.
func (t *Task) IsSuspect(subject Subject) bool { return t.view.Load().isSuspect(subject) }

// RecordBreak records an attempt that broke off before the first event of its answer.
func (t *Task) RecordBreak(broken AttemptBroke) { t.post(broken) }

// RecordBegun records that a replica has begun to answer an attempt that was sent at the
// given time.
func (t *Task) RecordBegun(subject Subject, replica Process, sentAt time.Time) {
	t.countAnswer(subject.Service)
	view := t.view.Load()
	var traits []Trait
	if len(view.Suspects) > 0 {
		traits = view.traits(subject)
	}
	if view.Broken[replica] || view.hasSuspect(traits) {
		t.post(AnswerBegun{traits, replica, sentAt})
	}
}

func (t *Task) countAnswer(service string) {
	count, ok := t.answers.Load(service)
	if !ok {
		count, _ = t.answers.LoadOrStore(service, new(atomic.Uint64))
	}
	count.(*atomic.Uint64).Add(1)
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
	answer.Report.AnswersByService = map[string]uint64{}
	t.answers.Range(func(service, count any) bool {
		answer.Report.AnswersByService[service.(string)] = count.(*atomic.Uint64).Load()
		return true
	})
	return answer.Report, err
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Publish:
		t.view.Store(effect.View)
	case Restored:
		t.closeRestored.Do(func() { close(t.restored) })
	case AnswerCollect:
		handle.Reply(effect.Call, effect)
	case Note:
		t.settings.Log(effect)
	}
}
