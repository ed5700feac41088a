package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// Errors that callers of a task can test for with errors.Is.
var (
	// ErrFull reports that the task's inbox had no room. The message was not
	// accepted and has no effect.
	ErrFull = merry.Sentinel("inbox is full")
	// ErrStopped reports that the task has ended. A message that was accepted
	// before may or may not have had an effect.
	ErrStopped = merry.Sentinel("task has stopped")
)

// Controller is the decision logic of one task. Implementations open no
// sockets, start no goroutines and read no clock.
type Controller[M, E any] interface {
	// Step handles one message at the given time and returns the effects to
	// carry out, in order.
	Step(now time.Time, message M) []E
	// Wake returns the time at which the controller next needs a tick, or the
	// zero time if it needs none.
	Wake() time.Time
}

// Call identifies a request that waits for a reply. The zero Call belongs to
// no request.
type Call uint64

// Settings describes a task.
type Settings[M, E any] struct {
	// Name appears in errors and logs.
	Name string
	// Clock drives the task's wake-ups.
	Clock clockwork.Clock
	// Controller must not be used by anything but the task once the task
	// exists.
	Controller Controller[M, E]
	// Tick is the message that the task delivers at the controller's wake
	// time.
	Tick M
	// Perform performs one effect. It runs on the task's goroutine and must
	// not block; an effect that uses the network goes through Handle.Start.
	Perform func(handle Handle[M], effect E)
	// InboxSize is the number of messages that may be queued; values below 1
	// mean 1.
	InboxSize int
}

// Handle gives a Perform function access to its task.
type Handle[M any] struct {
	// Context is cancelled when the task stops.
	Context context.Context
	// Reply sends the reply to a call. It ignores a call that is unknown or
	// already answered. It never blocks.
	Reply func(call Call, reply any)
	// Start runs work in a goroutine and delivers the message that it returns
	// to the controller. The result is never rejected for lack of room in the
	// inbox, so a controller always receives the outcome of an effect.
	Start func(work func(ctx context.Context) M)
}

// Task owns a controller and passes it messages until its context ends.
type Task[M, E any] struct {
	settings Settings[M, E]
	inbox    chan envelope[M]
	results  chan envelope[M]
	failures chan error
	done     chan struct{}
	nextCall atomic.Uint64
	workers  sync.WaitGroup
}

// envelope carries a message and, for a request, the channel of its reply.
type envelope[M any] struct {
	message   M
	call      Call
	reply     chan any // buffered for one value, so that sending never blocks
	state     *callState
	cancelled bool // the caller of Ask no longer waits
	noMessage bool // there is no message for the controller
}

// callState is shared by the envelopes of one call. Only the task's goroutine
// reads and writes its fields. The inbox and the results channel are not
// ordered relative to each other, so the cancellation of a request can arrive
// before the request.
type callState struct {
	delivered bool
	cancelled bool
}

// New returns a task that does nothing until Run is called.
func New[M, E any](settings Settings[M, E]) *Task[M, E] {
	return &Task[M, E]{
		settings: settings,
		inbox:    make(chan envelope[M], max(1, settings.InboxSize)),
		results:  make(chan envelope[M]),
		failures: make(chan error),
		done:     make(chan struct{}),
	}
}

// Post queues a message without waiting for its effects. It returns ErrFull or
// ErrStopped if the message was not accepted.
func (t *Task[M, E]) Post(message M) error {
	return t.enqueue(envelope[M]{message: message})
}

func (t *Task[M, E]) enqueue(e envelope[M]) error {
	select {
	case <-t.done:
		return merry.Wrap(ErrStopped, merry.AppendMessage(t.settings.Name))
	default:
	}
	select {
	case t.inbox <- e:
		return nil
	default:
		return merry.Wrap(ErrFull, merry.AppendMessage(t.settings.Name))
	}
}

// Ask delivers the message that newMessage creates for a new call and waits
// for the reply. If ctx ends first, Ask returns the cause and, if
// newCancellation is not nil and the controller has received the request,
// delivers the message that newCancellation creates. The controller may have
// replied by then: it must treat the cancellation of an answered call as the
// release of what the reply granted. A reply of another type than A is an
// error.
func Ask[A, M, E any](ctx context.Context, t *Task[M, E], newMessage, newCancellation func(Call) M) (A, error) {
	var zero A
	call := Call(t.nextCall.Add(1))
	reply := make(chan any, 1)
	state := &callState{}
	if err := t.enqueue(envelope[M]{message: newMessage(call), call: call, reply: reply, state: state}); err != nil {
		return zero, err
	}
	select {
	case value := <-reply:
		return convertReply[A](t.settings.Name, value)
	case <-t.done:
		return zero, merry.Wrap(ErrStopped, merry.AppendMessage(t.settings.Name))
	case <-ctx.Done():
	}
	t.cancelCall(state, call, newCancellation)
	return zero, merry.Wrap(context.Cause(ctx))
}

// cancelCall notifies the task that the caller no longer waits. It bypasses
// the inbox, which may be full: a lost cancellation would leave the request in
// the controller forever.
func (t *Task[M, E]) cancelCall(state *callState, call Call, newCancellation func(Call) M) {
	e := envelope[M]{call: call, state: state, cancelled: true, noMessage: newCancellation == nil}
	if newCancellation != nil {
		e.message = newCancellation(call)
	}
	go t.deliver(e)
}

// deliver passes an envelope to the task, or drops it if the task has ended.
func (t *Task[M, E]) deliver(e envelope[M]) {
	select {
	case t.results <- e:
	case <-t.done:
	}
}

func convertReply[A any](name string, value any) (A, error) {
	reply, ok := value.(A)
	if !ok {
		return reply, merry.Errorf("task %s answered with %T, want %T", name, value, reply)
	}
	return reply, nil
}

// Run passes messages to the controller until ctx ends. It then waits for the
// goroutines that effects started, and returns nil. If the controller, an effect or such
// a goroutine panics, Run ends and returns ErrPanicked: the state of the controller may be
// inconsistent.
func (t *Task[M, E]) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	loop := loop[M, E]{task: t, pending: map[Call]chan any{}}
	loop.handle = Handle[M]{
		Context: ctx,
		Reply:   loop.reply,
		Start:   func(work func(context.Context) M) { t.start(ctx, work) },
	}
	err := loop.run(ctx)
	close(t.done)
	stop()
	t.workers.Wait()
	return err
}

// start runs work and delivers its result on the unbuffered results channel.
// The sending goroutine holds the result until the task receives it, so no
// buffer is needed.
func (t *Task[M, E]) start(ctx context.Context, work func(context.Context) M) {
	t.workers.Go(func() {
		message, err := callWork(ctx, t.settings.Name, work)
		if err != nil {
			t.fail(err)
			return
		}
		t.deliver(envelope[M]{message: message})
	})
}

func callWork[M any](ctx context.Context, task string, work func(context.Context) M) (message M, err error) {
	defer RecoverPanic(task, &err)
	return work(ctx), nil
}

// fail ends the task with an error, unless it has ended already.
func (t *Task[M, E]) fail(err error) {
	select {
	case t.failures <- err:
	case <-t.done:
	}
}

// loop is the state of a running task. Only the task's goroutine uses it.
type loop[M, E any] struct {
	task    *Task[M, E]
	handle  Handle[M]
	pending map[Call]chan any
}

func (l *loop[M, E]) run(ctx context.Context) (err error) {
	defer RecoverPanic(l.task.settings.Name, &err)
	clock := l.task.settings.Clock
	timer := clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wake := l.task.settings.Controller.Wake()
		var tick <-chan time.Time
		if !wake.IsZero() {
			timer.Reset(wake.Sub(clock.Now()))
			tick = timer.Chan()
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-l.task.failures:
			return err
		case e := <-l.task.inbox:
			l.handleEnvelope(e)
		case e := <-l.task.results:
			l.handleEnvelope(e)
		case <-tick:
			l.step(l.task.settings.Tick)
		}
	}
}

func (l *loop[M, E]) handleEnvelope(e envelope[M]) {
	switch {
	case e.cancelled && !e.state.delivered:
		e.state.cancelled = true
		return
	case e.cancelled:
		delete(l.pending, e.call)
	case e.reply != nil && e.state.cancelled:
		return
	case e.reply != nil:
		e.state.delivered = true
		l.pending[e.call] = e.reply
	}
	if !e.noMessage {
		l.step(e.message)
	}
}

func (l *loop[M, E]) step(message M) {
	now := l.task.settings.Clock.Now()
	for _, effect := range l.task.settings.Controller.Step(now, message) {
		l.task.settings.Perform(l.handle, effect)
	}
}

func (l *loop[M, E]) reply(call Call, value any) {
	reply, ok := l.pending[call]
	if !ok {
		return
	}
	delete(l.pending, call)
	reply <- value
}
