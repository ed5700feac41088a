package benchmarker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
)

// limitsLease is the lease object.
type limitsLease struct {
	// holder is the index of the node that took the lease last, and run its
	// run then: a later run of the same node does not hold the lease.
	holder  int
	run     *LimitsNode
	epoch   uint64
	renewed time.Duration
	data    limiter.LeaseData
	wanted  limiter.LeaseData
}

const (
	limitsLeaseDuration = 3 * time.Second
	limitsLeaseValid    = limitsLeaseDuration * 9 / 10
	limitsLeaseTakeover = limitsLeaseDuration * 11 / 10
	limitsLeaseRenewal  = time.Second
	limitsExchangeLimit = time.Second
)

// owner steps a node's owner and notes what it wants in the lease object.
func (f *LimitsFleet) owner(node *LimitsNode, message limiter.OwnerMessage) []limiter.OwnerEffect {
	effects := node.Owner.Step(f.Clock(node), message)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.StoreLeaseData:
			f.lease.wanted = effect.Data
		case limiter.HandedOver:
			if effect.Data.HandedOver {
				f.lease.data = effect.Data
				f.lease.renewed = f.now - limitsLeaseTakeover
			}
		}
	}
	return effects
}

// renew runs the lease: its holder renews it every second, and the next node
// that is alive takes it when it has run out.
func (f *LimitsFleet) renew() {
	f.After(limitsLeaseRenewal, f.renew)
	if f.APIDown {
		return
	}
	f.list()
	node := f.lease.run
	switch {
	case f.now-f.lease.renewed >= limitsLeaseTakeover:
		f.takeOver()
	case !node.Dead && f.now >= node.PausedUntil:
		f.lease.renewed = f.now
		f.lease.data = f.lease.wanted
		until := f.Clock(node).Add(limitsLeaseValid)
		f.owner(node, limiter.LeaseHeld{Epoch: f.lease.epoch, Until: until})
		f.owner(node, limiter.LeaseDataStored{Epoch: f.lease.epoch, Revision: f.lease.data.Revision})
	}
}

// list gives every node the platform's list of instances.
func (f *LimitsFleet) list() {
	var names []string
	for _, node := range f.Nodes {
		if !node.Dead {
			names = append(names, node.name)
		}
	}
	for _, node := range f.Nodes {
		f.deliver(node, func() { f.owner(node, limiter.InstancesListed{Names: names}) })
	}
}

func (f *LimitsFleet) takeOver() {
	for step := range len(f.Nodes) {
		index := (f.lease.holder + 1 + step) % len(f.Nodes)
		node := f.Nodes[index]
		if node.Dead || f.now < node.PausedUntil {
			continue
		}
		f.lease.holder, f.lease.run, f.lease.renewed = index, node, f.now
		f.lease.epoch++
		until := f.Clock(node).Add(limitsLeaseValid)
		f.owner(node, limiter.LeaseHeld{Epoch: f.lease.epoch, Until: until, Data: f.lease.data})
		for _, other := range f.Nodes {
			f.announce(other)
		}
		return
	}
}

// announce tells a node who holds the lease.
func (f *LimitsFleet) announce(node *LimitsNode) {
	owner := f.lease.run
	message := limiter.OwnerChanged{Node: owner.name, Address: owner.name, Epoch: f.lease.epoch}
	f.After(time.Millisecond, func() {
		f.deliver(node, func() { f.holder(node, message) })
	})
}
