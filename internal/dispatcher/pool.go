package dispatcher

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// PoolMessage is an input of a Pool.
type PoolMessage interface{ isPoolMessage() }

// Open requests the connections to an address. It is answered by Ready.
type Open struct {
	Call    runner.Call
	Address string
}

// Renew reports that a connection of a generation stopped responding. It is
// answered by Ready when no new attempt will use that generation.
type Renew struct {
	Call       runner.Call
	Address    string
	Generation uint64
}

// Abandon requests the cancellation of an attempt at its endpoint.
type Abandon struct {
	Address string
	Attempt string
}

// Cancelled reports the end of a cancellation, whatever its result.
type Cancelled struct{ Attempt string }

// Unused reports addresses that had no attempt since the last sweep.
type Unused struct{ Addresses []string }

// Tick reports that the wake time has come.
type Tick struct{}

func (Open) isPoolMessage()      {}
func (Renew) isPoolMessage()     {}
func (Abandon) isPoolMessage()   {}
func (Cancelled) isPoolMessage() {}
func (Unused) isPoolMessage()    {}
func (Tick) isPoolMessage()      {}

// PoolEffect is an output of a Pool.
type PoolEffect interface{ isPoolEffect() }

// Create creates a new set of connections to an address. It replaces the
// previous set, which closes as soon as its attempts have ended.
type Create struct {
	Address    string
	Generation uint64
}

// Retire removes a set of connections, which closes as soon as its attempts
// have ended.
type Retire struct {
	Address    string
	Generation uint64
}

// Ready answers Open and Renew.
type Ready struct {
	Call    runner.Call
	Address string
}

// Cancel cancels an attempt at its endpoint.
type Cancel struct {
	Address string
	Attempt string
}

// Sweep collects the addresses without attempts since the last sweep. It is
// answered by Unused.
type Sweep struct{}

func (Create) isPoolEffect() {}
func (Retire) isPoolEffect() {}
func (Ready) isPoolEffect()  {}
func (Cancel) isPoolEffect() {}
func (Sweep) isPoolEffect()  {}

const (
	// sweepInterval is how long an address may be unused before its
	// connections are retired.
	sweepInterval = time.Minute
	// maxActiveCancels bounds the concurrent cancellations.
	maxActiveCancels = 32
	// maxQueuedCancels bounds the queued cancellations. An attempt that is not
	// cancelled ends when its endpoint detects the closed connection.
	maxQueuedCancels = 1024
)

// Pool decides which sets of connections exist and which cancellations run.
type Pool struct {
	// Generations maps an address to the generation of its connections.
	Generations map[string]uint64
	// LastGeneration is the newest generation of any address. It is shared by
	// all addresses so that an address that was retired and opened again does
	// not get an old generation.
	LastGeneration uint64
	// SweepAt is the time of the next sweep; zero if there are no addresses.
	SweepAt time.Time
	// ActiveCancels counts the cancellations in progress.
	ActiveCancels int
	QueuedCancels []Abandon
	// DroppedCancels counts the cancellations dropped because the queue was
	// full.
	DroppedCancels uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{Generations: map[string]uint64{}}
}

// Wake implements runner.Controller.
func (p *Pool) Wake() time.Time { return p.SweepAt }

// Step implements runner.Controller.
func (p *Pool) Step(now time.Time, message PoolMessage) []PoolEffect {
	switch message := message.(type) {
	case Open:
		return append(p.open(now, message.Address), Ready(message))
	case Renew:
		return append(p.renew(message), Ready{Call: message.Call, Address: message.Address})
	case Abandon:
		return p.abandon(message)
	case Cancelled:
		p.ActiveCancels--
		return p.startCancels()
	case Unused:
		return p.retireUnused(message.Addresses)
	case Tick:
		return p.sweep(now)
	default:
		return nil
	}
}

func (p *Pool) open(now time.Time, address string) []PoolEffect {
	if _, ok := p.Generations[address]; ok {
		return nil
	}
	if p.SweepAt.IsZero() {
		p.SweepAt = now.Add(sweepInterval)
	}
	return []PoolEffect{p.create(address)}
}

func (p *Pool) create(address string) Create {
	p.LastGeneration++
	p.Generations[address] = p.LastGeneration
	return Create{Address: address, Generation: p.LastGeneration}
}

// renew replaces the connections to an address, unless they were already
// replaced because of another attempt.
func (p *Pool) renew(message Renew) []PoolEffect {
	generation, ok := p.Generations[message.Address]
	if !ok || generation != message.Generation {
		return nil
	}
	return []PoolEffect{p.create(message.Address)}
}

func (p *Pool) abandon(message Abandon) []PoolEffect {
	if len(p.QueuedCancels) >= maxQueuedCancels {
		p.DroppedCancels++
		return nil
	}
	p.QueuedCancels = append(p.QueuedCancels, message)
	return p.startCancels()
}

func (p *Pool) startCancels() []PoolEffect {
	var effects []PoolEffect
	for len(p.QueuedCancels) > 0 && p.ActiveCancels < maxActiveCancels {
		effects = append(effects, Cancel(p.QueuedCancels[0]))
		p.QueuedCancels = slices.Delete(p.QueuedCancels, 0, 1)
		p.ActiveCancels++
	}
	return effects
}

func (p *Pool) sweep(now time.Time) []PoolEffect {
	if now.Before(p.SweepAt) {
		return nil
	}
	p.SweepAt = now.Add(sweepInterval)
	return []PoolEffect{Sweep{}}
}

// retireUnused retires the connections to the unused addresses. An attempt that
// looked up such a set before is not affected, since retired connections stay
// open until their attempts have ended.
func (p *Pool) retireUnused(addresses []string) []PoolEffect {
	var effects []PoolEffect
	for _, address := range addresses {
		generation, ok := p.Generations[address]
		if !ok {
			continue
		}
		delete(p.Generations, address)
		effects = append(effects, Retire{Address: address, Generation: generation})
	}
	if len(p.Generations) == 0 {
		p.SweepAt = time.Time{}
	}
	return effects
}
