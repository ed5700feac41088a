package relayer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is far above the number of connections that are opened between two steps.
const inboxSize = 1024

// Settings configures a node's relayer.
type Settings struct {
	Clock clockwork.Clock
	Seed  uint64
	// Dial opens direct connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialPeer opens a connection to a replica through a peer. Its errors wrap
	// ErrReplicaUnreachable if the peer does not reach the replica, ErrPeerRefused if it does
	// not relay now, and are others if it does not answer.
	DialPeer func(ctx context.Context, peer string, replica Replica) (net.Conn, error)
	// CloseIdle closes the idle connections that are not of the current routes. It must not
	// block.
	CloseIdle func()
	// Count counts connections by what became of them, and Log writes a line to the log.
	// They must not block.
	Count func(result string)
	Log   func(Note)
	// LogError receives messages that found no room. It must not block.
	LogError func(error)
}

// Task opens connections to replicas.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
	routes   atomic.Pointer[Routes]
	// startedAt is the time from which lastRead counts, in nanoseconds, until a replica last
	// sent something on a direct connection.
	startedAt time.Time
	lastRead  atomic.Int64
}

// New returns a task that connects directly until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings, startedAt: settings.Clock.Now()}
	t.routes.Store(&Routes{})
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "relayer",
		Clock:      settings.Clock,
		Controller: NewController(settings.Seed),
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

// Partitioned reports whether the node reaches no replica directly.
func (t *Task) Partitioned() bool { return t.routes.Load().Partitioned }

// Relayed reports whether the replica at an address is reached through peers only.
func (t *Task) Relayed(address string) bool {
	routes := t.routes.Load()
	return routes.Partitioned || routes.Relayed[address]
}

// readResolution is the precision of the time of the last read. It spares the processors
// most writes to a shared variable.
const readResolution = 20 * time.Millisecond

// RecordRead records that a replica has sent something on a direct connection.
func (t *Task) RecordRead() {
	now := int64(t.settings.Clock.Since(t.startedAt))
	if now-t.lastRead.Load() > int64(readResolution) {
		t.lastRead.Store(now)
	}
}

// QuietFor returns the time since a replica sent something on a direct connection.
func (t *Task) QuietFor() time.Duration {
	return t.settings.Clock.Since(t.startedAt) - time.Duration(t.lastRead.Load())
}

// RecordSilence reports a replica that has sent nothing for a while on a direct connection.
func (t *Task) RecordSilence(address string) {
	if quiet := t.QuietFor(); quiet >= quietTime {
		t.post(Suspected{Address: address, QuietFor: quiet})
	}
}

// RecordFailure reports a replica that could not be connected directly.
func (t *Task) RecordFailure(address string) { t.post(Suspected{Address: address, Failed: true}) }

func (t *Task) post(message Message) {
	if err := t.task.Post(message); err != nil {
		t.settings.LogError(err)
	}
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case PublishRoutes:
		t.routes.Store(&effect.Routes)
	case CloseIdle:
		t.settings.CloseIdle()
	case Probe:
		handle.Start(func(ctx context.Context) Message { return t.probe(ctx, effect.Address) })
	case Check:
		handle.Start(func(ctx context.Context) Message {
			if conn, _, err := t.Connect(ctx, effect.Replica.ID, effect.Replica.Address); err == nil {
				_ = conn.Close()
			}
			return CheckDone{}
		})
	case AnswerChoose:
		handle.Reply(effect.Call, effect.Peers)
	case Note:
		t.settings.Log(effect)
	}
}

func (t *Task) probe(ctx context.Context, address string) Message {
	conn, err := t.dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return ProbeDone{Address: address, Reached: err == nil}
}
