package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// maxPlanInterval is the longest time between two passes over the whole
// placement. Reports and results of orders are processed immediately.
const maxPlanInterval = 100 * time.Millisecond

// minPlanInterval is the shortest time between two planning passes, so that
// many reports and results share one pass.
const minPlanInterval = 10 * time.Millisecond

// Settings configures a controller.
type Settings struct {
	// Node is the name of this node. OrderSpacing is the minimum time between
	// the orders of two different holders to one replica.
	Node         string
	OrderSpacing time.Duration
	// MinTakeoverDelay is the minimum time between the end of an expired lease
	// on its holder's clock and its acquisition by another node.
	MinTakeoverDelay time.Duration
}

// Controller plans the placement of models while its node holds the lease.
type Controller struct {
	Settings Settings

	// Tenure is nil while this node does not hold the lease. Previous is the
	// last tenure of this node that ended.
	Tenure   *Tenure
	Previous *Tenure

	Configuration     *resolver.Configuration
	ConfigurationAsOf time.Time
	Replicas          []surveyor.Replica
	ReplicasAsOf      time.Time
	Nodes             []surveyor.Node
	NodesAsOf         time.Time

	// View is the view that this node sends to others while it does not hold the
	// lease, as of ViewCreatedAt.
	View          *StoreView
	ViewCreatedAt time.Time

	index planIndex
}

// Tenure is the state of one period in which this node holds the lease.
type Tenure struct {
	// Epoch is the epoch of the lease, which is 0 while Acting is set. ID identifies
	// the tenure to other nodes.
	Epoch, ID uint64
	// Acting is set if this node does not hold the lease. It then publishes the state
	// of the fleet and sends no orders.
	Acting bool
	Since  time.Time
	Until  time.Time
	// OrdersAllowedAt is when enough time has passed since the last possible
	// order of an earlier holder.
	OrdersAllowedAt time.Time
	// Version is incremented when one of the published lists changes. Published is
	// the last published state.
	Version   uint64
	Published *Publication
	// Table lists the replicas, Callers the nodes that callers may use, and
	// Candidates the nodes that may hold the lease. Table and Candidates are
	// rebuilt if they are stale.
	Table                       History[surveyor.Replica]
	Callers                     History[Caller]
	Candidates                  History[surveyor.Node]
	TableStale, CandidatesStale bool
	// Workspaces are the published names of workspaces, which last changed at
	// WorkspacesVersion.
	Workspaces        []string
	WorkspacesVersion uint64
	// Endpoints holds the replicas of engines by ID. SortedIDs caches the
	// sorted keys of Endpoints and is nil after a change.
	Endpoints map[string]*Endpoint
	SortedIDs []string
	Peers     map[string]*Peer
	Totals    Totals
	// MinRegistered is the number of registered nodes that is assumed while the list
	// in the store has not been read.
	MinRegistered int
	// InheritedCallers are the nodes that the previous holder published for
	// callers.
	InheritedCallers []Caller
	Demand           map[DemandKey]*PendingDemand
	Rates            map[ModelKey]*Rate
	// SaturatedAt is when a node last reported all replicas of a model as full.
	SaturatedAt map[ModelKey]time.Time
	// StoreConcurrency is the number of concurrent loads from the weight store
	// that run at full speed, or 0 while it is unknown.
	StoreConcurrency int
	// AdvancedAt is when the endpoints were last processed, PlannedAt when the
	// demand was last planned for, and CopiesPlannedAt when extra replicas and
	// prefetches were last planned.
	AdvancedAt, PlannedAt, CopiesPlannedAt time.Time
}

// ModelKey identifies a model of a service.
type ModelKey struct{ Service, Model string }

// DemandKey identifies a model or an adapter that requests wait for. Adapter is
// empty for the model itself.
type DemandKey struct {
	ModelKey
	Adapter string
}

// NewController returns the controller of a node.
func NewController(settings Settings) *Controller { return &Controller{Settings: settings} }

// Wake returns when the next order, state read or planning pass is due. It is
// zero while this node does not hold the lease.
func (c *Controller) Wake() time.Time {
	if c.Tenure == nil {
		return time.Time{}
	}
	wake := c.Tenure.AdvancedAt.Add(maxPlanInterval)
	if c.Tenure.Acting {
		return wake
	}
	if len(c.Tenure.Demand) > 0 {
		if candidate := later(c.Tenure.AdvancedAt.Add(minPlanInterval), c.Tenure.OrdersAllowedAt); candidate.Before(wake) {
			wake = candidate
		}
	}
	for _, endpoint := range c.Tenure.Endpoints {
		orderAt := endpoint.nextOrderAt()
		if !orderAt.IsZero() {
			orderAt = later(orderAt, c.Tenure.OrdersAllowedAt)
		}
		for _, due := range []time.Time{orderAt, endpoint.operationEndsAt(), endpoint.nextReadAt()} {
			if !due.IsZero() && due.Before(wake) {
				wake = due
			}
		}
	}
	return wake
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if c.Tenure != nil && !c.Tenure.Acting && !now.Before(c.Tenure.Until) {
		// The process may have been paused until after its lease expired.
		c.endTenure()
	}
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case LeaseHeld:
		effects = c.handleLeaseHeld(now, message)
	case LeaseLost:
		c.endTenure()
	case SetActing:
		effects = c.setActing(now, message)
	case ConfigurationChanged:
		c.Configuration, c.ConfigurationAsOf = message.Configuration, message.CurrentAsOf
	case ReplicasListed:
		c.Replicas, c.ReplicasAsOf = message.Replicas, message.CurrentAsOf
		effects = c.handleReplicasListed(now)
	case NodesListed:
		c.handleNodesListed(message)
	case OrderResult:
		effects = c.handleOrderResult(now, message)
	case StateRead:
		effects = c.handleStateRead(now, message)
	case ReportReceived:
		return c.handleReport(now, message)
	}
	return append(effects, c.advance(now)...)
}

// endTenure stops planning and keeps the tenure, which continues if this node
// acquires the next epoch.
func (c *Controller) endTenure() {
	if c.Tenure != nil && !c.Tenure.Acting {
		c.Previous = c.Tenure
	}
	c.Tenure = nil
}

// handleLeaseHeld renews the current tenure, resumes the previous one or starts a
// new one.
func (c *Controller) handleLeaseHeld(now time.Time, message LeaseHeld) []Effect {
	if c.Tenure != nil && c.Tenure.Epoch == message.Epoch {
		c.Tenure.Until = message.Until
		return nil
	}
	if c.Previous != nil && c.Previous.Epoch+1 == message.Epoch {
		// The epochs are consecutive, so no other node held the lease in between.
		c.Tenure, c.Previous = c.Previous, nil
		c.Tenure.Epoch, c.Tenure.ID, c.Tenure.Until, c.Tenure.TableStale = message.Epoch, message.Epoch, message.Until, true
		c.Tenure.Published = nil
		c.Tenure.resetConsumed()
		c.rereadBusyEndpoints(now)
		return append([]Effect{Note{Text: "holding the placement lease again"}}, c.handleReplicasListed(now)...)
	}
	if c.Tenure == nil {
		c.Tenure = newTenure(now, message.Epoch, message.Callers)
	}
	t := c.Tenure
	t.Acting, t.Epoch, t.Since, t.Until = false, message.Epoch, now, message.Until
	t.OrdersAllowedAt = now.Add(c.orderDelay(message))
	if message.NoEarlierHolder {
		t.OrdersAllowedAt = now
	}
	for _, endpoint := range t.Endpoints {
		endpoint.ReadAt = later(now, t.OrdersAllowedAt.Add(-stateReadLead))
	}
	return append([]Effect{Note{Text: "holding the placement lease", Age: t.OrdersAllowedAt.Sub(now)}}, c.handleReplicasListed(now)...)
}

// newTenure returns the tenure of a node that has no knowledge of the fleet but the
// callers that the previous holder published.
func newTenure(now time.Time, id uint64, callers []Caller) *Tenure {
	t := &Tenure{
		ID:               id,
		Since:            now,
		Endpoints:        map[string]*Endpoint{},
		Table:            newHistory(func(replica surveyor.Replica) string { return replica.ID }, sameReplica),
		Callers:          newHistory(func(caller Caller) string { return caller.Address }, func(a, b Caller) bool { return a == b }),
		Candidates:       newHistory(func(node surveyor.Node) string { return node.Name }, sameNode),
		Peers:            map[string]*Peer{},
		Totals:           newTotals(),
		InheritedCallers: callers,
		Demand:           map[DemandKey]*PendingDemand{},
		Rates:            map[ModelKey]*Rate{},
		SaturatedAt:      map[ModelKey]time.Time{},
		TableStale:       true,
		CandidatesStale:  true,
	}
	t.Table.Renewed = renewedReplica
	return t
}

// takeoverEstimate is the time from the loss of a holder to the takeover of its
// lease.
const takeoverEstimate = 2600 * time.Millisecond

// setActing starts or ends a tenure without the lease. The tenure continues if this
// node acquires the lease.
func (c *Controller) setActing(now time.Time, message SetActing) []Effect {
	switch {
	case !message.Acting && c.Tenure != nil && c.Tenure.Acting:
		c.Tenure = nil
		return []Effect{Note{Text: "no longer acting for the holder of the placement lease"}}
	case !message.Acting || c.Tenure != nil:
		return nil
	}
	// The ID differs from all epochs and from the IDs of other acting nodes.
	id := xxhash.Sum64String(c.Settings.Node+now.String()) | 1<<63
	c.Tenure = newTenure(now, id, message.Callers)
	c.Tenure.Acting, c.Tenure.MinRegistered = true, message.Registered
	c.Tenure.OrdersAllowedAt = now.Add(takeoverEstimate + c.Settings.OrderSpacing)
	return append([]Effect{Note{Text: "acting for the holder of the placement lease"}}, c.handleReplicasListed(now)...)
}

// orderDelay returns how long a new holder waits before its first order. An
// expired lease ended on its holder's clock at least MinTakeoverDelay before it
// could be acquired, whereas a released one may have ended just before.
func (c *Controller) orderDelay(message LeaseHeld) time.Duration {
	if message.HandedOver {
		return c.Settings.OrderSpacing
	}
	return c.Settings.OrderSpacing - c.Settings.MinTakeoverDelay
}

// resetConsumed discards the counts of consumed units. In each epoch, every node
// counts from what a holder has acknowledged before.
func (t *Tenure) resetConsumed() {
	clear(t.Totals.Consumed)
	for _, peer := range t.Peers {
		clear(peer.Consumed)
	}
}

// rereadBusyEndpoints invalidates the state of the replicas that had a call or an
// operation in progress, because its result may have arrived while this node did
// not hold the lease.
func (c *Controller) rereadBusyEndpoints(now time.Time) {
	for _, endpoint := range c.Tenure.Endpoints {
		if endpoint.Sending != nil || endpoint.Reading || endpoint.Running != nil {
			endpoint.Sending, endpoint.Reading = nil, false
			endpoint.invalidate(now.Add(maxReportAge))
		}
	}
}

// advance completes operations that have ended, plans, and sends due orders and
// state reads.
func (c *Controller) advance(now time.Time) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.Tenure.AdvancedAt = now
	if c.Configuration == nil || c.Tenure.Acting {
		return nil
	}
	effects := c.removeSilentNodes(now)
	c.expireRunning(now)
	ids := c.endpointIDs()
	for _, id := range ids {
		effects = append(effects, c.completeOperation(now, id, c.Tenure.Endpoints[id])...)
	}
	if !now.Before(c.Tenure.OrdersAllowedAt) && now.Sub(c.Tenure.PlannedAt) >= minPlanInterval {
		c.Tenure.PlannedAt = now
		effects = append(effects, c.plan(now)...)
	}
	for _, id := range ids {
		effects = append(effects, c.sendNext(now, id, c.Tenure.Endpoints[id])...)
	}
	return effects
}

// endpointIDs returns the IDs in sorted order, so that steps are deterministic.
func (c *Controller) endpointIDs() []string {
	if c.Tenure.SortedIDs == nil {
		c.Tenure.SortedIDs = slices.Sorted(maps.Keys(c.Tenure.Endpoints))
	}
	return c.Tenure.SortedIDs
}

// handleNodesListed replaces the registered nodes.
func (c *Controller) handleNodesListed(message NodesListed) {
	same := slices.EqualFunc(c.Nodes, message.Nodes, func(a, b surveyor.Node) bool { return a == b })
	c.Nodes, c.NodesAsOf = message.Nodes, message.CurrentAsOf
	if c.Tenure == nil {
		return
	}
	if !message.CurrentAsOf.Before(c.Tenure.Since) {
		c.Tenure.MinRegistered = 0
	}
	if !same {
		c.Tenure.CandidatesStale = true
	}
}

// sameNode reports whether two entries are equal in what other nodes act on.
func sameNode(a, b surveyor.Node) bool {
	a.Revision = b.Revision
	return a == b
}

// engine returns the engine of a service, or nil if the service has none or is
// unknown.
func (c *Controller) engine(service string) *resolver.Engine {
	if c.Configuration == nil {
		return nil
	}
	return c.Configuration.Services[service].Engine
}

// handleReplicasListed adds, updates and removes endpoints to match the list in
// the store.
func (c *Controller) handleReplicasListed(now time.Time) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.Tenure.TableStale = true
	listed := map[string]bool{}
	var effects []Effect
	for _, replica := range c.Replicas {
		if c.engine(replica.Service) == nil {
			continue
		}
		listed[replica.ID] = true
		effects = append(effects, c.updateEndpoint(now, replica)...)
	}
	for _, id := range c.endpointIDs() {
		if !listed[id] {
			effects = append(effects, Note{Text: "replica left the list", Replica: id})
			delete(c.Tenure.Endpoints, id)
			c.Tenure.SortedIDs = nil
		}
	}
	return effects
}

func (c *Controller) updateEndpoint(now time.Time, replica surveyor.Replica) []Effect {
	endpoint := c.Tenure.Endpoints[replica.ID]
	if endpoint == nil || endpoint.Entry.StartedMS != replica.StartedMS {
		c.Tenure.SortedIDs = nil
		c.Tenure.Endpoints[replica.ID] = &Endpoint{Entry: replica, ReadAt: later(now, c.Tenure.OrdersAllowedAt.Add(-stateReadLead))}
		return []Effect{Note{Text: "replica joined the list", Replica: replica.ID}}
	}
	endpoint.Entry = replica
	return nil
}

// stateReadLead is how long before its first orders a new holder reads the state
// of the replicas.
const stateReadLead = 200 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
