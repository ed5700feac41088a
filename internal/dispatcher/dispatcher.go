package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/validator"
)

// Dispatcher implements filter.Dispatcher. A task owns the connection sets;
// attempts look them up without a lock.
type Dispatcher struct {
	settings Settings
	task     *runner.Task[PoolMessage, PoolEffect]
	// connectionSets maps addresses to *connectionSet. Only the task writes it.
	connectionSets sync.Map
	// unpooled carries the calls that must not be sent twice, and cancellations.
	unpooled validator.Transport
}

var _ filter.Dispatcher = (*Dispatcher)(nil)

// connectionSet is one generation of the connections to an address.
type connectionSet struct {
	address    string
	generation uint64
	transport  validator.Transport
	// recentlyUsed is set by attempts and cleared by sweeps.
	recentlyUsed atomic.Bool
}

// poolInboxSize bounds the messages queued for the pool. Attempts send one only
// for a new address or a fault.
const poolInboxSize = 4096

// New returns a running dispatcher and a function that stops it and closes its
// connections.
func New(settings Settings) (*Dispatcher, func()) {
	settings = settings.withDefaults()
	dispatcher := &Dispatcher{settings: settings, unpooled: newUnpooledTransport(settings)}
	dispatcher.task = runner.New(runner.Settings[PoolMessage, PoolEffect]{
		Name:       "dispatcher",
		Clock:      settings.Clock,
		Controller: NewPool(),
		Tick:       Tick{},
		Perform:    dispatcher.perform,
		InboxSize:  poolInboxSize,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = dispatcher.task.Run(ctx)
	}()
	return dispatcher, func() {
		cancel()
		<-stopped
		dispatcher.closeAll()
	}
}

func (d *Dispatcher) closeAll() {
	d.unpooled.CloseIdleConnections()
	d.connectionSets.Range(func(_, value any) bool {
		value.(*connectionSet).transport.CloseIdleConnections()
		return true
	})
}

// perform carries out the pool's effects on the task's goroutine.
func (d *Dispatcher) perform(handle runner.Handle[PoolMessage], effect PoolEffect) {
	switch effect := effect.(type) {
	case Create:
		// A new set counts as used, since an attempt requested it.
		created := &connectionSet{address: effect.Address, generation: effect.Generation, transport: newTransport(d.settings)}
		created.recentlyUsed.Store(true)
		previous, replaced := d.connectionSets.Swap(effect.Address, created)
		if replaced {
			previous.(*connectionSet).transport.CloseIdleConnections()
		}
	case Retire:
		d.retire(effect)
	case Ready:
		set, _ := d.connectionSets.Load(effect.Address)
		handle.Reply(effect.Call, set)
	case Cancel:
		handle.Start(func(ctx context.Context) PoolMessage {
			d.cancel(ctx, effect)
			return Cancelled{Attempt: effect.Attempt}
		})
	case Sweep:
		unused := d.takeUnused()
		handle.Start(func(context.Context) PoolMessage { return Unused{Addresses: unused} })
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// retire removes the connections of a generation. Idle connections are closed
// now, those of attempts in progress when the attempts end.
func (d *Dispatcher) retire(effect Retire) {
	current, ok := d.connectionSets.Load(effect.Address)
	if !ok || current.(*connectionSet).generation != effect.Generation {
		return
	}
	d.connectionSets.Delete(effect.Address)
	current.(*connectionSet).transport.CloseIdleConnections()
}

// takeUnused returns the addresses without an attempt since the last call, and
// clears the marks of the others.
func (d *Dispatcher) takeUnused() []string {
	var addresses []string
	d.connectionSets.Range(func(_, value any) bool {
		if set := value.(*connectionSet); !set.recentlyUsed.Swap(false) {
			addresses = append(addresses, set.address)
		}
		return true
	})
	return addresses
}

// connectionSet returns the connections to an address. A new address is added
// by the task.
func (d *Dispatcher) connectionSet(ctx context.Context, address string) (*connectionSet, error) {
	if existing, ok := d.connectionSets.Load(address); ok {
		set := existing.(*connectionSet)
		if !set.recentlyUsed.Load() {
			set.recentlyUsed.Store(true)
		}
		return set, nil
	}
	existing, err := runner.Ask[*connectionSet](ctx, d.task,
		func(call runner.Call) PoolMessage { return Open{Call: call, Address: address} }, nil)
	if err != nil {
		return nil, merry.Wrap(err, merry.PrependMessagef("get connections to %s", address))
	}
	return existing, nil
}

// renew replaces a connection set of which one connection stopped responding,
// and returns when no new attempt can use the old set. It does not use the
// attempt's context, which has ended.
func (d *Dispatcher) renew(set *connectionSet) {
	_, _ = runner.Ask[*connectionSet](context.Background(), d.task, func(call runner.Call) PoolMessage {
		return Renew{Call: call, Address: set.address, Generation: set.generation}
	}, nil)
}

// abandon requests the cancellation of an attempt at its endpoint. If the inbox
// is full, the request is dropped and the endpoint has to detect the closed
// connection.
func (d *Dispatcher) abandon(address, attempt string) {
	_ = d.task.Post(Abandon{Address: address, Attempt: attempt})
}
