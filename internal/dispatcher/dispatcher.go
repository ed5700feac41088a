package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Dispatcher implements filter.Dispatcher. A task owns the sets of
// connections; attempts look them up without a lock.
type Dispatcher struct {
	settings Settings
	task     *runner.Task[PoolMessage, PoolEffect]
	// endpoints maps addresses to *endpoint. Only the task writes it.
	endpoints sync.Map
	// once serves the calls that must not be sent twice, and cancellations.
	once *http.Transport
}

var _ filter.Dispatcher = (*Dispatcher)(nil)

// endpoint is one generation of the connections to an address.
type endpoint struct {
	address    string
	generation uint64
	transport  *http.Transport
	// used is set by attempts and cleared by sweeps.
	used atomic.Bool
}

// poolInbox bounds the messages that wait for the pool. Attempts send one only
// when they meet a new address or a fault.
const poolInbox = 4096

// New returns a running dispatcher and a function that stops it and closes its
// connections.
func New(settings Settings) (*Dispatcher, func()) {
	settings = settings.withDefaults()
	dispatcher := &Dispatcher{settings: settings, once: newOnceTransport(settings)}
	dispatcher.task = runner.New(runner.Settings[PoolMessage, PoolEffect]{
		Name:       "dispatcher",
		Clock:      settings.Clock,
		Controller: NewPool(),
		Tick:       Tick{},
		Perform:    dispatcher.perform,
		InboxSize:  poolInbox,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = dispatcher.task.Run(ctx)
	}()
	return dispatcher, func() {
		cancel()
		<-ended
		dispatcher.closeAll()
	}
}

func (d *Dispatcher) closeAll() {
	d.once.CloseIdleConnections()
	d.endpoints.Range(func(_, value any) bool {
		value.(*endpoint).transport.CloseIdleConnections()
		return true
	})
}

// perform carries out the pool's effects on the task's goroutine.
func (d *Dispatcher) perform(handle runner.Handle[PoolMessage], effect PoolEffect) {
	switch effect := effect.(type) {
	case Create:
		// A new endpoint counts as used, since an attempt asked for it.
		created := &endpoint{address: effect.Address, generation: effect.Generation, transport: newTransport(d.settings)}
		created.used.Store(true)
		replaced, loaded := d.endpoints.Swap(effect.Address, created)
		if loaded {
			replaced.(*endpoint).transport.CloseIdleConnections()
		}
	case Retire:
		d.retire(effect)
	case Ready:
		found, _ := d.endpoints.Load(effect.Address)
		handle.Reply(effect.Call, found)
	case Cancel:
		handle.Start(func(ctx context.Context) PoolMessage {
			d.cancel(ctx, effect)
			return Cancelled{Attempt: effect.Attempt}
		})
	case Sweep:
		unused := d.unused()
		handle.Start(func(context.Context) PoolMessage { return Unused{Addresses: unused} })
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// retire removes the connections of a generation. Its idle ones close now and
// those of attempts in progress when they end.
func (d *Dispatcher) retire(effect Retire) {
	found, ok := d.endpoints.Load(effect.Address)
	if !ok || found.(*endpoint).generation != effect.Generation {
		return
	}
	d.endpoints.Delete(effect.Address)
	found.(*endpoint).transport.CloseIdleConnections()
}

func (d *Dispatcher) unused() []string {
	var addresses []string
	d.endpoints.Range(func(_, value any) bool {
		if endpoint := value.(*endpoint); !endpoint.used.Swap(false) {
			addresses = append(addresses, endpoint.address)
		}
		return true
	})
	return addresses
}

// endpoint returns the connections to an address.
func (d *Dispatcher) endpoint(ctx context.Context, address string) (*endpoint, error) {
	if found, ok := d.endpoints.Load(address); ok {
		used := found.(*endpoint)
		if !used.used.Load() {
			used.used.Store(true)
		}
		return used, nil
	}
	found, err := runner.Ask[*endpoint](ctx, d.task,
		func(call runner.Call) PoolMessage { return Open{Call: call, Address: address} }, nil)
	if err != nil {
		return nil, merry.Wrap(err, merry.PrependMessagef("connections to %s", address))
	}
	return found, nil
}

// renew makes sure that no further attempt uses a set of connections of which
// one fell silent. It does not depend on the attempt's own context, which has
// ended.
func (d *Dispatcher) renew(silent *endpoint) {
	_, _ = runner.Ask[*endpoint](context.Background(), d.task, func(call runner.Call) PoolMessage {
		return Renew{Call: call, Address: silent.address, Generation: silent.generation}
	}, nil)
}

// abandon asks for the cancellation of an attempt. If there is no room for it,
// the closed connection tells the endpoint.
func (d *Dispatcher) abandon(address, attempt string) {
	_ = d.task.Post(Abandon{Address: address, Attempt: attempt})
}
