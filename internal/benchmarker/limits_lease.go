package benchmarker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
)

// limitsLease is the stored lease object.
type limitsLease struct {
	// holderIndex is the index of the node that acquired the lease last, and
	// holder is that run of the node: a later run of the same node does not
	// hold the lease.
	holderIndex int
	holder      *LimitsNode
	epoch       uint64
	renewedAt   time.Duration
	data        limiter.LeaseData
	pendingData limiter.LeaseData
}

const (
	limitsLeaseDuration   = 3 * time.Second
	limitsLeaseValidity   = limitsLeaseDuration * 9 / 10
	limitsLeaseTakeover   = limitsLeaseDuration * 11 / 10
	limitsLeaseRenewal    = time.Second
	limitsExchangeTimeout = time.Second
)

// stepOwner passes a message to a node's owner and keeps the data that the
// owner wants to store in the lease object.
func (f *LimitsFleet) stepOwner(node *LimitsNode, message limiter.OwnerMessage) []limiter.OwnerEffect {
	effects := node.Owner.Step(f.NodeTime(node), message)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.StoreLeaseData:
			f.lease.pendingData = effect.Data
		case limiter.HandedOver:
			if effect.Data.HandedOver {
				f.lease.data = effect.Data
				f.lease.renewedAt = f.now - limitsLeaseTakeover
			}
		}
	}
	return effects
}

// renewLease runs every second. The holder renews the lease; after it has
// expired, the next live node takes it over.
func (f *LimitsFleet) renewLease() {
	f.After(limitsLeaseRenewal, f.renewLease)
	if f.APIDown {
		return
	}
	f.listInstances()
	node := f.lease.holder
	switch {
	case f.now-f.lease.renewedAt >= limitsLeaseTakeover:
		f.takeOverLease()
	case !node.Dead && f.now >= node.PausedUntil:
		f.lease.renewedAt = f.now
		f.lease.data = f.lease.pendingData
		until := f.NodeTime(node).Add(limitsLeaseValidity)
		f.stepOwner(node, limiter.LeaseHeld{Epoch: f.lease.epoch, Until: until})
		f.stepOwner(node, limiter.LeaseDataStored{Epoch: f.lease.epoch, Revision: f.lease.data.Revision})
	}
}

// listInstances delivers the platform's instance list to every node.
func (f *LimitsFleet) listInstances() {
	var names []string
	for _, node := range f.Nodes {
		if !node.Dead {
			names = append(names, node.name)
		}
	}
	for _, node := range f.Nodes {
		f.runWhenAvailable(node, func() { f.stepOwner(node, limiter.InstancesListed{Names: names}) })
	}
}

func (f *LimitsFleet) takeOverLease() {
	for step := range len(f.Nodes) {
		index := (f.lease.holderIndex + 1 + step) % len(f.Nodes)
		node := f.Nodes[index]
		if node.Dead || f.now < node.PausedUntil {
			continue
		}
		f.lease.holderIndex, f.lease.holder, f.lease.renewedAt = index, node, f.now
		f.lease.epoch++
		until := f.NodeTime(node).Add(limitsLeaseValidity)
		f.stepOwner(node, limiter.LeaseHeld{Epoch: f.lease.epoch, Until: until, Data: f.lease.data})
		for _, other := range f.Nodes {
			f.announceOwner(other)
		}
		return
	}
}

// announceOwner notifies a node of the lease holder.
func (f *LimitsFleet) announceOwner(node *LimitsNode) {
	owner := f.lease.holder
	message := limiter.OwnerChanged{Node: owner.name, Address: owner.name, Epoch: f.lease.epoch}
	f.After(time.Millisecond, func() {
		f.runWhenAvailable(node, func() { f.stepHolder(node, message) })
	})
}
