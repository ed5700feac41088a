package supervisor

import (
	"maps"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// limitsLease is the name of the lease whose holder owns the token limits.
const limitsLease = "Limits"

func (n *Node) placementLease() string { return "Placement/" + n.settings.Region }

func (n *Node) fleetChanged(fleet *tracker.Fleet) {
	n.fleet.Store(fleet)
	n.logPostError("scheduler", n.scheduler.Post(scheduler.FleetChanged{Fleet: *fleet}))
	n.logPostError("placer", n.placer.Post(placer.FleetChanged{Fleet: *fleet}))
	n.limits.fleetChanged(fleet)
}

func (n *Node) peersChanged(peers tracker.Peers) {
	n.peers.Store(&peers)
	n.logPostError("configurer", n.configurer.Post(configurer.PeersChanged{
		Relay:       peers.Relay,
		Parent:      peers.Parent,
		Local:       peers.Local,
		Relays:      peers.Relays,
		DataCentres: peers.DataCentres,
	}))
	n.logPostError("spreader", n.spreader.Post(spreader.PeersChanged{Self: peers.Self, Peers: peers.Alive}))
	names := []string{peers.Self.Name}
	for _, peer := range peers.Alive {
		names = append(names, peer.Name)
	}
	n.logPostError("leaser", n.leaser.SetNodes(names))
}

func (n *Node) peerAnswered(peer string, answered bool) {
	n.logPostError("tracker", n.tracker.Post(tracker.ExchangeEnded{Node: peer, Answered: answered}))
}

func (n *Node) endpointAnswered(endpoint string, answered bool) {
	n.logPostError("tracker", n.tracker.Post(tracker.AttemptEnded{Endpoint: endpoint, Answered: answered}))
}

func (n *Node) placementChanged(view placer.View) {
	n.placement.Store(&view)
	n.pushPlacement(view)
}

// leaseChanged handles an event of the leaser. It runs on the leaser's task.
func (n *Node) leaseChanged(event leaser.Event) {
	held := maps.Clone(*n.heldLeases.Load())
	switch event := event.(type) {
	case leaser.Held:
		if previous, ok := held[event.Name]; !ok || previous.Epoch != event.Epoch {
			n.logger.WithField("Lease", event.Name).WithField("Epoch", event.Epoch).Info("lease acquired")
		}
		held[event.Name] = event
		n.leaseHeld(event)
	case leaser.Stored:
		n.limits.leaseStored(event)
	case leaser.Lost:
		n.logger.WithField("Lease", event.Name).Warn("lease lost")
		delete(held, event.Name)
		n.leaseLost(event.Name)
	}
	n.heldLeases.Store(&held)
}

func (n *Node) leaseHeld(held leaser.Held) {
	if held.Name == limitsLease {
		n.limits.leaseHeld(held)
	} else {
		n.logPostError("placer", n.placer.Post(placer.LeaseHeld{Epoch: held.Epoch, Until: held.Until}))
	}
	// Every renewal is published, so that nodes that start later or missed an
	// announcement still find the holder.
	holder := leaseholderItem{Node: n.settings.Name, Address: n.settings.PeerAddress, Epoch: held.Epoch}
	n.holderChanged(held.Name, holder)
	scope := spreader.Region
	if held.Name == limitsLease {
		scope = spreader.Everywhere
	}
	n.publishItem(spreader.Leaseholder, held.Name, n.renewalVersion(held.Epoch), scope, encoder.Encode(holder))
}

// renewalVersion orders the announcements of a lease: by epoch, then by time.
// The low 19 bits hold the seconds of about six days; if an epoch lasts
// longer, they wrap around and other nodes ignore some announcements.
func (n *Node) renewalVersion(epoch uint64) uint64 {
	const renewalBits = 19
	return epoch<<renewalBits | uint64(n.clock.Now().Unix())&(1<<renewalBits-1)
}

func (n *Node) leaseLost(name string) {
	if name == limitsLease {
		n.limits.leaseLost()
		return
	}
	n.logPostError("placer", n.placer.Post(placer.LeaseLost{}))
}

// holderChanged informs the tasks that send messages to a leaseholder.
func (n *Node) holderChanged(lease string, holder leaseholderItem) {
	switch lease {
	case limitsLease:
		n.limits.ownerChanged(holder)
	case n.placementLease():
		n.logPostError("demands", n.demands.Post(leaseholderChanged(holder)))
	}
}

// validLeases returns the names of the leases that this node holds at present.
func (n *Node) validLeases() []string {
	now := n.clock.Now()
	names := []string{}
	for name, held := range *n.heldLeases.Load() {
		if held.Valid(now) {
			names = append(names, name)
		}
	}
	return names
}
