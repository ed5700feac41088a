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

// DemandSender is the controller that sends this node's demand for models to
// the holder of the region's placement lease. While a message is in flight,
// demands are merged per model and adapter: the newest one replaces the older
// ones. The scheduler repeats demands that still matter.
type DemandSender struct {
	Self          string
	HolderNode    string
	HolderAddress string
	HolderEpoch   uint64
	// Pending holds the newest unsent demand for each model and adapter.
	Pending map[placer.Key]placer.Demand
	Sending bool
	// RetryAt is the earliest time of the next message after one that failed.
	RetryAt time.Time
}

// demandRetryDelay is the delay before demands are sent again after a message
// that got no answer.
const demandRetryDelay = 200 * time.Millisecond

type demandMessage interface{ isDemandMessage() }

type leaseholderChanged struct {
	Node    string
	Address string
	Epoch   uint64
}

type demandAdded struct{ Demand placer.Demand }

type demandSent struct {
	Demands []placer.Demand
	Failed  bool
}

type demandTick struct{}

func (leaseholderChanged) isDemandMessage() {}
func (demandAdded) isDemandMessage()        {}
func (demandSent) isDemandMessage()         {}
func (demandTick) isDemandMessage()         {}

type demandEffect interface{ isDemandEffect() }

type sendDemand struct {
	Address string
	Demands []placer.Demand
}

type deliverDemandLocally struct{ Demands []placer.Demand }

func (sendDemand) isDemandEffect()           {}
func (deliverDemandLocally) isDemandEffect() {}

// Wake implements runner.Controller.
func (d *DemandSender) Wake() time.Time {
	if d.Sending || len(d.Pending) == 0 {
		return time.Time{}
	}
	return d.RetryAt
}

// Step implements runner.Controller.
func (d *DemandSender) Step(now time.Time, message demandMessage) []demandEffect {
	switch message := message.(type) {
	case leaseholderChanged:
		if message.Epoch >= d.HolderEpoch {
			d.HolderNode, d.HolderAddress, d.HolderEpoch = message.Node, message.Address, message.Epoch
		}
	case demandAdded:
		d.Pending[placer.Key{Model: message.Demand.Model, Adapter: message.Demand.Adapter}] = message.Demand
	case demandSent:
		d.Sending = false
		if message.Failed {
			d.requeue(message.Demands)
			d.RetryAt = now.Add(demandRetryDelay)
		}
	case demandTick:
	}
	return d.send(now)
}

// requeue returns unsent demands to Pending, except those that newer ones have
// replaced since.
func (d *DemandSender) requeue(demands []placer.Demand) {
	for _, demand := range demands {
		key := placer.Key{Model: demand.Model, Adapter: demand.Adapter}
		if _, ok := d.Pending[key]; !ok {
			d.Pending[key] = demand
		}
	}
}

func (d *DemandSender) send(now time.Time) []demandEffect {
	if d.Sending || len(d.Pending) == 0 || d.HolderNode == "" || now.Before(d.RetryAt) {
		return nil
	}
	demands := make([]placer.Demand, 0, len(d.Pending))
	for _, demand := range d.Pending {
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b placer.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(d.Pending)
	if d.HolderNode == d.Self {
		return []demandEffect{deliverDemandLocally{demands}}
	}
	d.Sending = true
	return []demandEffect{sendDemand{d.HolderAddress, demands}}
}

const demandInboxSize = 1024

func (n *Node) newDemandTask() *runner.Task[demandMessage, demandEffect] {
	return runner.New(runner.Settings[demandMessage, demandEffect]{
		Name:       "demands",
		Clock:      n.clock,
		Controller: &DemandSender{Self: n.settings.Name, Pending: map[placer.Key]placer.Demand{}},
		Tick:       demandTick{},
		Perform:    n.performDemand,
		InboxSize:  demandInboxSize,
	})
}

func (n *Node) performDemand(handle runner.Handle[demandMessage], effect demandEffect) {
	switch effect := effect.(type) {
	case deliverDemandLocally:
		for _, demand := range effect.Demands {
			n.logPostError("placer", n.placer.Post(demand))
		}
	case sendDemand:
		handle.Start(func(ctx context.Context) demandMessage {
			err := messenger.SendDemand(ctx, n.messenger, effect.Address, n.settings.Name, effect.Demands)
			return demandSent{Demands: effect.Demands, Failed: err != nil}
		})
	}
}

// reportDemand passes the scheduler's demand for a model to the demand sender.
// It runs on the scheduler's task.
func (n *Node) reportDemand(report scheduler.ReportDemand) {
	n.logPostError("demands", n.demands.Post(demandAdded{placer.Demand{
		Node:             n.settings.Name,
		Model:            report.Model,
		Adapter:          report.Adapter,
		Class:            report.Class,
		Waiting:          report.Waiting,
		EarliestDeadline: report.EarliestDeadline,
	}}))
}
