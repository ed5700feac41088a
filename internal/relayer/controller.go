package relayer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evidenceReplicas is the number of replicas that must be reached through peers and not
	// directly for the node to be partitioned, and directly for it to be so no more.
	evidenceReplicas = 2
	// evidenceLifetime is how long a replica that was not reached directly counts.
	evidenceLifetime = 5 * time.Second
	// probeInterval is the time between two direct probes of replicas that are reached
	// through peers, and confirmInterval that after a probe that succeeded.
	probeInterval   = time.Second
	confirmInterval = 100 * time.Millisecond
	// checkInterval is the least time between two checks of suspected replicas.
	checkInterval = 400 * time.Millisecond
	// quietTime is how long no replica has sent anything before silence alone is a reason
	// for a check.
	quietTime = 300 * time.Millisecond
	// unreachableTime is how long peers are not asked again for a replica that they do not
	// reach.
	unreachableTime = time.Second
)

// Controller decides whether the replicas are reached directly or through peers.
type Controller struct {
	// Replicas are the listed replicas by address.
	Replicas map[string]*ReplicaState
	Peers    []Peer
	// PeerStates holds what is known of peers by address.
	PeerStates map[string]PeerState
	// Partitioned is set while no replica is reached directly, since PartitionedAt.
	Partitioned   bool
	PartitionedAt time.Time
	// ReachedAt is when a replica was last reached directly.
	ReachedAt time.Time
	// ProbesAt is when replicas are next probed, zero if none is reached through peers.
	ProbesAt time.Time
	// Checks counts the checks in progress, and CheckedAt is when the last ones began.
	Checks    int
	CheckedAt time.Time
	Random    *rand.Rand
}

// ReplicaState is what is known of the ways to a replica.
type ReplicaState struct {
	Replica
	// RelayedAt is when the replica was last reached through a peer and not directly, zero
	// if it was reached directly since.
	RelayedAt time.Time
	// ReachedAt is when the replica was last reached directly, zero if a connect has failed
	// since.
	ReachedAt time.Time
	// UnreachableUntil is the time until which peers are not asked for the replica.
	UnreachableUntil time.Time
}

// NewController returns a controller whose choices of peers are derived from seed.
func NewController(seed uint64) *Controller {
	return &Controller{
		Replicas:   map[string]*ReplicaState{},
		PeerStates: map[string]PeerState{},
		Random:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Wake implements runner.Controller.
func (c *Controller) Wake() time.Time { return c.ProbesAt }

// Step implements runner.Controller.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case SetReplicas:
		return c.setReplicas(message)
	case SetPeers:
		c.setPeers(message)
	case Reached:
		return c.recordReached(now, message)
	case Relayed:
		return c.recordRelayed(now, message)
	case Unreachable:
		if replica := c.Replicas[message.Address]; replica != nil {
			replica.UnreachableUntil = now.Add(unreachableTime)
		}
	case PeerFailed:
		c.recordPeer(message.Peer, PeerState{AvoidUntil: now.Add(peerAvoidance)})
	case Suspected:
		return c.check(now, message)
	case CheckDone:
		c.Checks--
	case ProbeDone:
		return c.recordProbe(now, message)
	case Choose:
		return []Effect{AnswerChoose{message.Call, c.choose(now, message.Address)}}
	case Tick:
		return c.probe(now)
	}
	return nil
}

// setReplicas adopts the list. A replica with a new ID at a known address is another process,
// but reached by the same way.
func (c *Controller) setReplicas(message SetReplicas) []Effect {
	listed := make(map[string]*ReplicaState, len(message.Replicas))
	relayedGone := false
	for _, replica := range message.Replicas {
		state := c.Replicas[replica.Address]
		if state == nil {
			state = &ReplicaState{}
		}
		state.Replica = replica
		listed[replica.Address] = state
	}
	for address, state := range c.Replicas {
		relayedGone = relayedGone || listed[address] == nil && !state.RelayedAt.IsZero()
	}
	c.Replicas = listed
	if relayedGone {
		return []Effect{c.routes()}
	}
	return nil
}

func (c *Controller) recordReached(now time.Time, message Reached) []Effect {
	c.ReachedAt = now
	replica := c.Replicas[message.Address]
	if replica == nil {
		return nil
	}
	replica.ReachedAt, replica.UnreachableUntil = now, time.Time{}
	if c.Partitioned {
		return c.endPartition(now)
	}
	if replica.RelayedAt.IsZero() {
		return nil
	}
	replica.RelayedAt = time.Time{}
	return []Effect{c.routes(), CloseIdle{}}
}

func (c *Controller) recordRelayed(now time.Time, message Relayed) []Effect {
	c.recordPeer(message.Peer, PeerState{Relays: true})
	replica := c.Replicas[message.Address]
	if replica == nil {
		return nil
	}
	replica.UnreachableUntil = time.Time{}
	if !message.DirectFailed || message.StartedAt.Before(replica.ReachedAt) {
		return nil
	}
	known := !replica.RelayedAt.IsZero()
	replica.RelayedAt, replica.ReachedAt = now, time.Time{}
	if c.ProbesAt.IsZero() {
		c.ProbesAt = now.Add(probeInterval)
	}
	if evidence := c.evidence(now); !c.Partitioned && len(evidence) >= c.needed() {
		c.Partitioned, c.PartitionedAt = true, now
		c.ProbesAt = now.Add(probeInterval)
		return []Effect{c.routes(), CloseIdle{}, Note{Text: "partitioned from the replicas", Replicas: evidence}}
	}
	if known {
		return nil
	}
	return []Effect{c.routes()}
}

// evidence returns the replicas that were reached through peers and not directly, as long as
// no other replica was reached directly.
func (c *Controller) evidence(now time.Time) []string {
	var addresses []string
	for _, address := range c.sortedAddresses() {
		replica := c.Replicas[address]
		if replica.RelayedAt.After(c.ReachedAt) && now.Sub(replica.RelayedAt) < evidenceLifetime {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// needed returns the number of replicas that are evidence enough.
func (c *Controller) needed() int { return max(1, min(evidenceReplicas, len(c.Replicas))) }

// endPartition returns to direct connections once enough replicas were reached.
func (c *Controller) endPartition(now time.Time) []Effect {
	var reached []string
	for _, address := range c.sortedAddresses() {
		if at := c.Replicas[address].ReachedAt; !at.IsZero() && !at.Before(c.PartitionedAt) && now.Sub(at) < evidenceLifetime {
			reached = append(reached, address)
		}
	}
	if len(reached) < c.needed() {
		c.ProbesAt = earlier(c.ProbesAt, now.Add(confirmInterval))
		return nil
	}
	c.Partitioned, c.ProbesAt = false, time.Time{}
	for _, replica := range c.Replicas {
		replica.RelayedAt = time.Time{}
	}
	return []Effect{c.routes(), CloseIdle{}, Note{Text: "replicas reached again", Replicas: reached, Lasted: now.Sub(c.PartitionedAt)}}
}

func (c *Controller) recordProbe(now time.Time, message ProbeDone) []Effect {
	if message.Reached {
		return c.recordReached(now, Reached{message.Address, message.StartedAt})
	}
	if replica := c.Replicas[message.Address]; replica != nil {
		replica.ReachedAt = time.Time{}
	}
	return nil
}

// probe tries the direct way to some of the replicas that are reached through peers. Those
// that a probe has reached come last.
func (c *Controller) probe(now time.Time) []Effect {
	if c.ProbesAt.IsZero() || now.Before(c.ProbesAt) {
		return nil
	}
	var candidates, confirmed []string
	for _, address := range c.sortedAddresses() {
		replica := c.Replicas[address]
		switch {
		case !c.Partitioned && replica.RelayedAt.IsZero():
		case replica.ReachedAt.IsZero():
			candidates = append(candidates, address)
		default:
			confirmed = append(confirmed, address)
		}
	}
	c.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = append(candidates, confirmed...)
	if len(candidates) == 0 && !c.Partitioned {
		c.ProbesAt = time.Time{}
		return nil
	}
	c.ProbesAt = now.Add(probeInterval)
	var effects []Effect
	for _, address := range candidates[:min(evidenceReplicas, len(candidates))] {
		effects = append(effects, Probe{address})
	}
	return effects
}

// check connects to a suspected replica and to another one. A replica that only works slowly
// costs a connect in checkInterval.
func (c *Controller) check(now time.Time, message Suspected) []Effect {
	if c.Partitioned || c.Checks > 0 || now.Sub(c.CheckedAt) < checkInterval || !message.Failed && message.QuietFor < quietTime {
		return nil
	}
	suspect := c.Replicas[message.Address]
	if suspect == nil || !suspect.RelayedAt.IsZero() {
		return nil
	}
	effects := []Effect{Check{suspect.Replica}}
	addresses := slices.DeleteFunc(c.sortedAddresses(), func(address string) bool { return address == message.Address })
	if len(addresses) > 0 {
		effects = append(effects, Check{c.Replicas[addresses[c.Random.IntN(len(addresses))]].Replica})
	}
	c.Checks, c.CheckedAt = len(effects), now
	return effects
}

// routes returns the routes to publish.
func (c *Controller) routes() Effect {
	relayed := map[string]bool{}
	for address, replica := range c.Replicas {
		if !replica.RelayedAt.IsZero() {
			relayed[address] = true
		}
	}
	return PublishRoutes{Routes{Partitioned: c.Partitioned, Relayed: relayed}}
}

func (c *Controller) sortedAddresses() []string { return slices.Sorted(maps.Keys(c.Replicas)) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
