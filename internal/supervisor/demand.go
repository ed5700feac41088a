package supervisor

import (
	"cmp"
	"context"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/scheduler"
)

// Demands is the controller that sends this node's wishes for models to the
// holder of the region's placement lease. Wishes are joined per model while a
// message is under way; the scheduler repeats those that matter.
type Demands struct {
	Self    string
	Node    string
	Address string
	Epoch   uint64
	// Waiting holds the newest wish for each model and adapter.
	Waiting map[placer.Key]placer.Demand
	Busy    bool
	// RetryAt is when a failed message is sent again.
	RetryAt time.Time
}

// demandRetry is the delay after a message that was not answered.
const demandRetry = 200 * time.Millisecond

type demandMessage interface{ isDemandMessage() }

type placerChanged struct {
	Node    string
	Address string
	Epoch   uint64
}

type demandWanted struct{ Demand placer.Demand }

type demandSent struct {
	Demands []placer.Demand
	Failed  bool
}

type demandTick struct{}

func (placerChanged) isDemandMessage() {}
func (demandWanted) isDemandMessage()  {}
func (demandSent) isDemandMessage()    {}
func (demandTick) isDemandMessage()    {}

type demandEffect interface{ isDemandEffect() }

type sendDemand struct {
	Address string
	Demands []placer.Demand
}

type decideDemand struct{ Demands []placer.Demand }

func (sendDemand) isDemandEffect()   {}
func (decideDemand) isDemandEffect() {}

// Wake implements runner.Controller.
func (d *Demands) Wake() time.Time {
	if d.Busy || len(d.Waiting) == 0 {
		return time.Time{}
	}
	return d.RetryAt
}

// Step implements runner.Controller.
func (d *Demands) Step(now time.Time, message demandMessage) []demandEffect {
	switch message := message.(type) {
	case placerChanged:
		if message.Epoch >= d.Epoch {
			d.Node, d.Address, d.Epoch = message.Node, message.Address, message.Epoch
		}
	case demandWanted:
		d.Waiting[placer.Key{Model: message.Demand.Model, Adapter: message.Demand.Adapter}] = message.Demand
	case demandSent:
		d.Busy = false
		if message.Failed {
			d.putBack(message.Demands)
			d.RetryAt = now.Add(demandRetry)
		}
	case demandTick:
	}
	return d.send(now)
}

// putBack keeps demands that were not sent, unless newer ones came since.
func (d *Demands) putBack(demands []placer.Demand) {
	for _, demand := range demands {
		key := placer.Key{Model: demand.Model, Adapter: demand.Adapter}
		if _, ok := d.Waiting[key]; !ok {
			d.Waiting[key] = demand
		}
	}
}

func (d *Demands) send(now time.Time) []demandEffect {
	if d.Busy || len(d.Waiting) == 0 || d.Node == "" || now.Before(d.RetryAt) {
		return nil
	}
	demands := make([]placer.Demand, 0, len(d.Waiting))
	for _, demand := range d.Waiting {
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b placer.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(d.Waiting)
	if d.Node == d.Self {
		return []demandEffect{decideDemand{demands}}
	}
	d.Busy = true
	return []demandEffect{sendDemand{d.Address, demands}}
}

const demandInbox = 1024

func (n *Node) newDemandTask() *runner.Task[demandMessage, demandEffect] {
	return runner.New(runner.Settings[demandMessage, demandEffect]{
		Name:       "demands",
		Clock:      n.clock,
		Controller: &Demands{Self: n.settings.Name, Waiting: map[placer.Key]placer.Demand{}},
		Tick:       demandTick{},
		Perform:    n.performDemand,
		Inbox:      demandInbox,
	})
}

func (n *Node) performDemand(handle runner.Handle[demandMessage], effect demandEffect) {
	switch effect := effect.(type) {
	case decideDemand:
		for _, demand := range effect.Demands {
			n.post("placer", n.placer.Post(demand))
		}
	case sendDemand:
		handle.Start(func(ctx context.Context) demandMessage {
			err := messenger.SendDemand(ctx, n.messenger, effect.Address, n.settings.Name, effect.Demands)
			return demandSent{Demands: effect.Demands, Failed: err != nil}
		})
	}
}

// want runs on the scheduler's task.
func (n *Node) want(wanted scheduler.ReportDemand) {
	n.post("demands", n.demands.Post(demandWanted{placer.Demand{
		Node:             n.settings.Name,
		Model:            wanted.Model,
		Adapter:          wanted.Adapter,
		Class:            wanted.Class,
		Waiting:          wanted.Waiting,
		EarliestDeadline: wanted.EarliestDeadline,
	}}))
}
