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
	checkInterval = 500 * time.Millisecond
	// quietTime is how long no replica has sent anything before silence alone is a reason
	// for a check.
	quietTime = 300 * time.Millisecond
	// maxConnectTime is above the time that a connect takes in a process that is not suspended
	// meanwhile.
	maxConnectTime = time.Second
	// unreachableTime is how long peers are not asked again for a replica that they do not
	// reach.
	unreachableTime = time.Second
)

// Controller decides whether the replicas are reached directly or through peers.
type Controller struct {
	// Replicas are the listed replicas by address, and Addresses their sorted addresses.
	Replicas  map[string]*ReplicaState
	Addresses []string
	Peers     []Peer
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
	// FailedAt is when a direct connect or probe last failed of a replica that is reached
	// through peers. It is zero if the replica was reached directly since.
	FailedAt time.Time
	// ReachedAt is when the replica was last reached directly, zero if a connect has failed
	// since, and RelayedAt when it was last reached through a peer.
	ReachedAt, RelayedAt time.Time
	// ProbedAt is when the replica was last probed.
	ProbedAt time.Time
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
			replica.UnreachableUntil, replica.RelayedAt = now.Add(unreachableTime), time.Time{}
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
		relayedGone = relayedGone || listed[address] == nil && !state.FailedAt.IsZero()
	}
	c.Replicas, c.Addresses = listed, slices.Sorted(maps.Keys(listed))
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
	direct := replica.FailedAt.IsZero()
	replica.ReachedAt, replica.FailedAt, replica.UnreachableUntil = now, time.Time{}, time.Time{}
	switch {
	case c.Partitioned:
		return c.endPartition(now)
	case direct:
		return nil
	}
	c.ProbesAt = earlier(c.ProbesAt, now.Add(confirmInterval))
	return []Effect{c.routes(), CloseIdle{}}
}

func (c *Controller) recordRelayed(now time.Time, message Relayed) []Effect {
	c.recordPeer(message.Peer, PeerState{Relays: true})
	replica := c.Replicas[message.Address]
	if replica == nil {
		return nil
	}
	replica.RelayedAt, replica.UnreachableUntil = now, time.Time{}
	direct := replica.FailedAt.IsZero()
	if message.DirectFailed && !message.StartedAt.Before(replica.ReachedAt) && now.Sub(message.StartedAt) <= maxConnectTime {
		replica.FailedAt, replica.ReachedAt = now, time.Time{}
		if c.ProbesAt.IsZero() {
			c.ProbesAt = now.Add(probeInterval)
		}
	}
	if effects := c.beginPartition(now); effects != nil {
		return effects
	}
	if direct && !replica.FailedAt.IsZero() {
		return []Effect{c.routes()}
	}
	return nil
}

// beginPartition turns to connections through peers if there is evidence enough.
func (c *Controller) beginPartition(now time.Time) []Effect {
	if c.Partitioned {
		return nil
	}
	evidence := c.evidence(now)
	if len(evidence) < c.needed() {
		return nil
	}
	c.Partitioned, c.PartitionedAt, c.ProbesAt = true, now, now.Add(probeInterval)
	return []Effect{c.routes(), CloseIdle{}, Note{Text: "partitioned from the replicas", Replicas: evidence}}
}

// evidence returns the replicas that were reached through peers and not directly, unless any
// replica was reached directly since.
func (c *Controller) evidence(now time.Time) []string {
	var addresses []string
	for _, address := range c.Addresses {
		replica := c.Replicas[address]
		if replica.FailedAt.After(c.ReachedAt) && now.Sub(replica.FailedAt) < evidenceLifetime && replica.isRelayed(now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// isRelayed reports whether the replica was reached through a peer lately.
func (r *ReplicaState) isRelayed(now time.Time) bool {
	return !r.RelayedAt.IsZero() && now.Sub(r.RelayedAt) < evidenceLifetime
}

// needed returns the number of replicas that are evidence enough.
func (c *Controller) needed() int { return max(1, min(evidenceReplicas, len(c.Replicas))) }

// endPartition returns to direct connections once enough replicas were reached. Those that
// were not reached directly before are reached through peers until a probe succeeds.
func (c *Controller) endPartition(now time.Time) []Effect {
	var reached []string
	for _, address := range c.Addresses {
		if at := c.Replicas[address].ReachedAt; !at.IsZero() && !at.Before(c.PartitionedAt) && now.Sub(at) < evidenceLifetime {
			reached = append(reached, address)
		}
	}
	if len(reached) < c.needed() {
		c.ProbesAt = earlier(c.ProbesAt, now.Add(confirmInterval))
		return nil
	}
	c.Partitioned, c.ProbesAt = false, now.Add(confirmInterval)
	return []Effect{c.routes(), CloseIdle{}, Note{Text: "replicas reached again", Replicas: reached, Lasted: now.Sub(c.PartitionedAt)}}
}

func (c *Controller) recordProbe(now time.Time, message ProbeDone) []Effect {
	if message.Reached {
		return c.recordReached(now, Reached{message.Address})
	}
	replica := c.Replicas[message.Address]
	if replica == nil {
		return nil
	}
	replica.ReachedAt = time.Time{}
	if !replica.FailedAt.IsZero() {
		replica.FailedAt = now
	}
	return c.beginPartition(now)
}

// probe tries the direct way to some of the replicas that are reached through peers. Those that
// peers have reached lately come first, since they have not crashed, and then those that were
// probed longest ago. Those that a probe has reached are tried beside them.
func (c *Controller) probe(now time.Time) []Effect {
	if c.ProbesAt.IsZero() || now.Before(c.ProbesAt) {
		return nil
	}
	var groups [3][]string
	for _, address := range c.Addresses {
		replica := c.Replicas[address]
		switch {
		case c.Partitioned && !replica.ReachedAt.Before(c.PartitionedAt):
			groups[2] = append(groups[2], address)
		case !c.Partitioned && replica.FailedAt.IsZero():
		case replica.isRelayed(now):
			groups[0] = append(groups[0], address)
		default:
			groups[1] = append(groups[1], address)
		}
	}
	for _, group := range groups {
		c.Random.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		slices.SortStableFunc(group, func(a, b string) int { return c.Replicas[a].ProbedAt.Compare(c.Replicas[b].ProbedAt) })
	}
	others := append(groups[0], groups[1]...)
	others, reached := others[:min(evidenceReplicas, len(others))], groups[2][:min(evidenceReplicas, len(groups[2]))]
	c.ProbesAt = now.Add(probeInterval)
	if len(others) == 0 && !c.Partitioned {
		c.ProbesAt = time.Time{}
	}
	var effects []Effect
	if c.Partitioned {
		// Connections become idle after the partition was found as well.
		effects = append(effects, CloseIdle{})
	}
	for _, address := range slices.Concat(others, reached) {
		c.Replicas[address].ProbedAt = now
		effects = append(effects, Probe{address})
	}
	return effects
}

// check connects to a silent replica and to another one, or to two others if a connect has
// failed: that replica may have crashed, and asking peers for it would make them check it too.
func (c *Controller) check(now time.Time, message Suspected) []Effect {
	switch {
	case c.Partitioned, c.Checks > 0, now.Sub(c.CheckedAt) < checkInterval, now.Sub(c.ReachedAt) < quietTime:
		return nil
	case !message.Failed && message.QuietFor < quietTime:
		return nil
	}
	addresses := slices.DeleteFunc(slices.Clone(c.Addresses), func(address string) bool { return address == message.Address })
	c.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if !message.Failed && c.Replicas[message.Address] != nil {
		addresses = slices.Insert(addresses, 0, message.Address)
	}
	var effects []Effect
	for _, address := range addresses[:min(evidenceReplicas, len(addresses))] {
		effects = append(effects, Check{c.Replicas[address].Replica})
	}
	c.Checks, c.CheckedAt = len(effects), now
	return effects
}

// routes returns the routes to publish.
func (c *Controller) routes() Effect {
	relayed := map[string]bool{}
	for address, replica := range c.Replicas {
		if !replica.FailedAt.IsZero() {
			relayed[address] = true
		}
	}
	return PublishRoutes{Routes{Partitioned: c.Partitioned, Relayed: relayed}}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
