package limiter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize bounds the messages that wait for a task. It is about a second's
// worth at several thousand requests per second and node.
const inboxSize = 4096

// unlimitedWait is the MaxWait of all requests. It leaves the bound of the wait to
// the deadline, which the caller sets by the class of the request.
const unlimitedWait = time.Hour

// settleRetryInterval is longer than a task needs to process a full inbox.
const settleRetryInterval = 10 * time.Millisecond

// Send sends an exchange to the owner at an address and returns the answer. It
// must return within the exchange timeout.
type Send func(ctx context.Context, address string, exchange Exchange) (Answer, error)

// Limits reserves tokens for the requests of one node. It runs a Holder and
// implements filter.Limits.
type Limits struct {
	task  *runner.Task[HolderMessage, HolderEffect]
	clock clockwork.Clock
	send  Send
	// onAttained receives the numbers of tokens that the workspaces used
	// recently in the whole fleet.
	onAttained func(tokens map[string]float64)
}

var _ filter.Limits = (*Limits)(nil)

// New returns the limits of a node, to be run as a task. The session of the
// holder is its start time in nanoseconds, so that a later run of the node has a
// larger one. The function onAttained receives the numbers of tokens that the
// workspaces used recently in the whole fleet, once a second while there are any;
// it must not block.
func New(node string, slotCount int, clock clockwork.Clock, send Send, onAttained func(tokens map[string]float64)) *Limits {
	l := &Limits{clock: clock, send: send, onAttained: onAttained}
	l.task = runner.New(runner.Settings[HolderMessage, HolderEffect]{
		Name:       "limits",
		Clock:      clock,
		Controller: NewHolder(node, uint64(clock.Now().UnixNano()), slotCount),
		Tick:       HolderTick{},
		Perform:    l.perform,
		InboxSize:  inboxSize,
	})
	return l
}

// Run implements runner.Runnable.
func (l *Limits) Run(ctx context.Context) error { return l.task.Run(ctx) }

// Post delivers OwnerChanged and WorkspacesChanged.
func (l *Limits) Post(message HolderMessage) error { return l.task.Post(message) }

func (l *Limits) perform(handle runner.Handle[HolderMessage], effect HolderEffect) {
	switch effect := effect.(type) {
	case Reserved:
		handle.Reply(effect.Call, effect)
	case Refused:
		handle.Reply(effect.Call, effect)
	case PublishAttained:
		l.onAttained(effect.Tokens)
	case SendExchange:
		handle.Start(func(ctx context.Context) HolderMessage {
			answer, err := l.send(ctx, effect.Address, effect.Exchange)
			if err != nil {
				return ExchangeFailed{Sequence: effect.Exchange.Sequence}
			}
			return ExchangeCompleted{Sequence: effect.Exchange.Sequence, Answer: answer}
		})
	}
}

// Reserve implements filter.Limits.
func (l *Limits) Reserve(ctx context.Context, workspace string, tokens int, deadline time.Time) (filter.Reservation, error) {
	id, err := l.request(ctx, workspace, func(call runner.Call) HolderMessage {
		return ReserveRequested{Call: call, Workspace: workspace, Tokens: float64(tokens), Deadline: deadline, MaxWait: unlimitedWait}
	})
	if err != nil {
		return filter.Reservation{}, err
	}
	return filter.Reservation{ID: id, Workspace: workspace, Tokens: tokens}, nil
}

// Confirm implements filter.Limits.
func (l *Limits) Confirm(ctx context.Context, reservation filter.Reservation, deadline time.Time) (filter.Reservation, error) {
	_, err := l.request(ctx, reservation.Workspace, func(call runner.Call) HolderMessage {
		return ConfirmRequested{Call: call, ID: reservation.ID, Deadline: deadline, MaxWait: unlimitedWait}
	})
	if err != nil {
		// The message may not have reached the holder.
		l.Settle(reservation, 0)
		return filter.Reservation{}, err
	}
	return reservation, nil
}

// Settle implements filter.Limits. If the inbox is full, it retries in the
// background until the task accepts the message or ends: a reservation that is
// not settled would never be removed. The number of goroutines is bounded by the
// number of requests.
func (l *Limits) Settle(reservation filter.Reservation, used int) {
	if reservation.ID == 0 {
		return
	}
	message := Settled{ID: reservation.ID, Used: float64(used)}
	if err := l.task.Post(message); !errors.Is(err, runner.ErrFull) {
		return
	}
	go func() {
		for errors.Is(l.task.Post(message), runner.ErrFull) {
			<-l.clock.After(settleRetryInterval)
		}
	}()
}

// request sends a message that is answered with Reserved or Refused, and returns
// the ID of the reservation or the refusal as an error.
func (l *Limits) request(ctx context.Context, workspace string, build func(runner.Call) HolderMessage) (uint64, error) {
	cancel := func(call runner.Call) HolderMessage { return Cancelled{Call: call} }
	effect, err := runner.Ask[HolderEffect](ctx, l.task, build, cancel)
	if err != nil {
		return 0, err
	}
	switch effect := effect.(type) {
	case Reserved:
		return effect.ID, nil
	case Refused:
		return 0, refusal(workspace, effect)
	default:
		panic(fmt.Sprintf("unknown answer %T", effect))
	}
}

func refusal(workspace string, refused Refused) filter.Refusal {
	r := filter.Refusal{Reason: filter.RateLimited, Run: filter.NotRun, RetryAfter: refused.RetryAfter}
	switch refused.Reason {
	case TooLarge:
		r.Reason = filter.TooLarge
		r.Detail = fmt.Sprintf("a request of workspace %q may take at most %d tokens here, prompt and answer together", workspace, int(refused.Largest))
	case QueueFull:
		r.Detail = fmt.Sprintf("too many requests of workspace %q wait for tokens", workspace)
	case NoWorkspace:
		r.Detail = fmt.Sprintf("the limits of workspace %q are not known here", workspace)
	case NoReservation:
		r.Detail = "the reservation has ended"
	default:
		r.Detail = fmt.Sprintf("workspace %q is above its rate and burst", workspace)
	}
	return r
}
