package runner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// fakeController replies to requests at once or, if Hold is set, after a
// release message.
type fakeController struct {
	Held          []runner.Call
	Hold          bool
	Cancellations int
	Ticks         []time.Time
	WakeAt        time.Time
}

type request struct{ Call runner.Call }

type cancellation struct{ Call runner.Call }

type release struct{}

type tick struct{}

type reply struct{ Call runner.Call }

func (c *fakeController) Wake() time.Time { return c.WakeAt }

func (c *fakeController) Step(now time.Time, message any) []reply {
	switch message := message.(type) {
	case request:
		if c.Hold {
			c.Held = append(c.Held, message.Call)
			return nil
		}
		return []reply{{message.Call}}
	case cancellation:
		c.Cancellations++
	case tick:
		c.Ticks = append(c.Ticks, now)
		c.WakeAt = time.Time{}
	case release:
		var replies []reply
		for _, call := range c.Held {
			replies = append(replies, reply{call})
		}
		c.Held = nil
		return replies
	}
	return nil
}

func start(t *testing.T, controller *fakeController, inbox int) *runner.Task[any, reply] {
	t.Helper()
	task := runner.New(runner.Settings[any, reply]{
		Name:       "counter",
		Clock:      clockwork.NewRealClock(),
		Controller: controller,
		Tick:       tick{},
		Perform: func(handle runner.Handle[any], effect reply) {
			handle.Reply(effect.Call, "answered")
		},
		InboxSize: inbox,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- task.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return task
}

func ask(ctx context.Context, task *runner.Task[any, reply]) (string, error) {
	return runner.Ask[string](ctx, task,
		func(call runner.Call) any { return request{call} },
		func(call runner.Call) any { return cancellation{call} })
}

// Guards against replies that are lost or delivered to another call.
func TestAskReturnsReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		task := start(t, &fakeController{}, 4)
		got, err := ask(t.Context(), task)
		if err != nil || got != "answered" {
			t.Fatalf("ask: %q, %v; want %q", got, err, "answered")
		}
	})
}

// Guards against a resource that stays allocated because the caller cancelled
// before or after the reply was sent.
func TestCancelledAskDeliversOneCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := &fakeController{Hold: true}
		task := start(t, controller, 4)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := ask(ctx, task); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("ask: %v; want %v", err, context.DeadlineExceeded)
		}
		synctest.Wait()
		if err := task.Post(release{}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if controller.Cancellations != 1 {
			t.Errorf("controller received %d cancellations; want 1", controller.Cancellations)
		}
	})
}

// Guards against an inbox that drops messages without an error or grows
// without bound.
func TestFullInboxIsAnError(t *testing.T) {
	task := runner.New(runner.Settings[any, reply]{Name: "idle", Clock: clockwork.NewRealClock(), InboxSize: 1})
	if err := task.Post(release{}); err != nil {
		t.Fatalf("first post: %v", err)
	}
	if err := task.Post(release{}); !errors.Is(err, runner.ErrFull) {
		t.Fatalf("second post: %v; want %v", err, runner.ErrFull)
	}
}

// Guards against a missed tick and against ticks that the controller did not
// request.
func TestTickAtWakeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wake := time.Now().Add(3 * time.Second)
		controller := &fakeController{WakeAt: wake}
		start(t, controller, 1)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if len(controller.Ticks) != 1 || !controller.Ticks[0].Equal(wake) {
			t.Errorf("ticks at %v; want one at %v", controller.Ticks, wake)
		}
	})
}

// panics is a message at which panicController panics.
type panics struct{}

// work is a message that starts work which panics.
type work struct{}

type panicController struct{}

func (panicController) Wake() time.Time { return time.Time{} }

func (panicController) Step(_ time.Time, message any) []any {
	switch message.(type) {
	case panics:
		panic("fault in a controller")
	case work:
		return []any{message}
	}
	return nil
}

// TestPanicEndsTask guards against a panic of one task that ends the process, and against
// callers that wait for a task which has panicked.
func TestPanicEndsTask(t *testing.T) {
	for name, message := range map[string]any{"controller": panics{}, "work": work{}} {
		t.Run(name, func(t *testing.T) {
			task := runner.New(runner.Settings[any, any]{
				Name: "failing", Clock: clockwork.NewRealClock(), Controller: panicController{}, Tick: tick{}, InboxSize: 1,
				Perform: func(handle runner.Handle[any], _ any) {
					handle.Start(func(context.Context) any { panic("fault in work") })
				},
			})
			done := make(chan error, 1)
			go func() { done <- task.Run(context.Background()) }()
			_, err := runner.Ask[string](t.Context(), task, func(runner.Call) any { return message }, nil)
			if !errors.Is(err, runner.ErrStopped) {
				t.Errorf("ask: %v, want %v", err, runner.ErrStopped)
			}
			err = <-done
			var panicked *runner.Panic
			if !errors.Is(err, runner.ErrPanicked) || !errors.As(err, &panicked) || panicked.Source != "failing" || panicked.Stack == "" {
				t.Errorf("run: %v, want %v of the task with its stack", err, runner.ErrPanicked)
			}
		})
	}
}
