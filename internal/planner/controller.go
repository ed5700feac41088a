package planner

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// planEvery is the longest time between two looks at the whole placement;
// reports and results of orders are acted on at once.
const maxPlanInterval = 100 * time.Millisecond

// planPause is the least time between two looks at the demand, so that many
// reports and results together cost one.
const minPlanInterval = 10 * time.Millisecond

// Settings of a controller.
type Settings struct {
	// Node is the name of this node, and Spacing the time that must lie
	// between the orders of two holders at one replica.
	Node         string
	OrderSpacing time.Duration
	// Overlap is the least time from the end of a lapsed lease at its holder
	// to the moment at which another node takes it.
	MinTakeoverDelay time.Duration
}

// Controller plans while its node holds the lease.
type Controller struct {
	Settings Settings

	// Tenure is nil while another node holds the lease. Former is the last
	// one that ended at this node.
	Tenure   *Tenure
	Previous *Tenure

	Configuration     *resolver.Configuration
	ConfigurationAsOf time.Time
	Replicas          []surveyor.Replica
	ReplicasAsOf      time.Time
	Nodes             []surveyor.Node
	NodesAsOf         time.Time

	index planIndex
}

// Tenure is the state of one time of holding the lease.
type Tenure struct {
	Epoch uint64
	Since time.Time
	Until time.Time
	// OrdersFrom is when the orders of an earlier holder lie far enough back.
	OrdersAllowedAt time.Time
	// Version grows when the table changes. Changed and Removed hold the
	// version at which each replica last changed or left the table.
	Version      uint64
	Changed      map[string]uint64
	Removed      map[string]uint64
	NodesVersion uint64
	// Endpoints holds the replicas of engines by ID. IDs are these in order, nil
	// after a change.
	Endpoints map[string]*Endpoint
	SortedIDs []string
	// Table is the published table, rebuilt when Stale is set.
	Table      []surveyor.Replica
	TableStale bool
	Peers      map[string]*Peer
	Totals     Totals
	// Presumed are the addresses for callers that the former holder gave.
	InheritedAddresses []string
	Demand             map[DemandKey]*PendingDemand
	Rates              map[ModelKey]*Rate
	// Pressed holds when requests last found all replicas of a model full.
	SaturatedAt map[ModelKey]time.Time
	// StorePlaces is the number of loads from the weight store that run at
	// full speed, 0 before it is known.
	StoreConcurrency int
	// ActedAt is when the endpoints were last looked at, PlannedAt when the
	// demand was, and CopiesAt when the copies of models were.
	AdvancedAt, PlannedAt, CopiesPlannedAt time.Time
}

// ModelKey names a model of a service.
type ModelKey struct{ Service, Model string }

// DemandKey names what requests wait for.
type DemandKey struct {
	ModelKey
	Adapter string
}

// NewController returns the controller of a node.
func NewController(settings Settings) *Controller { return &Controller{Settings: settings} }

// Wake returns when the next order, read or look at the placement is due.
func (c *Controller) Wake() time.Time {
	if c.Tenure == nil {
		return time.Time{}
	}
	wake := c.Tenure.AdvancedAt.Add(maxPlanInterval)
	if len(c.Tenure.Demand) > 0 {
		if candidate := laterTime(c.Tenure.AdvancedAt.Add(minPlanInterval), c.Tenure.OrdersAllowedAt); candidate.Before(wake) {
			wake = candidate
		}
	}
	for _, endpoint := range c.Tenure.Endpoints {
		orderAt := endpoint.nextOrderAt()
		if !orderAt.IsZero() {
			orderAt = laterTime(orderAt, c.Tenure.OrdersAllowedAt)
		}
		for _, due := range []time.Time{orderAt, endpoint.operationEndsAt(), endpoint.nextReadAt()} {
			if !due.IsZero() && due.Before(wake) {
				wake = due
			}
		}
	}
	return wake
}

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if c.Tenure != nil && !now.Before(c.Tenure.Until) {
		// A node that stood still past its lease must not go on with it.
		c.endTenure()
	}
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case LeaseHeld:
		effects = c.handleLeaseHeld(now, message)
	case LeaseLost:
		c.endTenure()
	case ConfigurationChanged:
		c.Configuration, c.ConfigurationAsOf = message.Configuration, message.ProvenAt
	case ReplicasListed:
		c.Replicas, c.ReplicasAsOf = message.Replicas, message.ProvenAt
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

// lose ends the tenure.
func (c *Controller) endTenure() {
	if c.Tenure != nil {
		c.Previous, c.Tenure = c.Tenure, nil
	}
}

// held begins or goes on with a tenure.
func (c *Controller) handleLeaseHeld(now time.Time, message LeaseHeld) []Effect {
	if c.Tenure != nil && c.Tenure.Epoch == message.Epoch {
		c.Tenure.Until = message.Until
		return nil
	}
	if c.Previous != nil && c.Previous.Epoch+1 == message.Epoch {
		// Nobody else can have held the lease in between.
		c.Tenure, c.Previous = c.Previous, nil
		c.Tenure.Epoch, c.Tenure.Until, c.Tenure.TableStale = message.Epoch, message.Until, true
		c.rereadBusyEndpoints(now)
		return append([]Effect{Note{Text: "holding the placement lease again"}}, c.handleReplicasListed(now)...)
	}
	c.Tenure = &Tenure{
		Epoch:              message.Epoch,
		Since:              now,
		Until:              message.Until,
		OrdersAllowedAt:    now.Add(c.orderDelay(message)),
		Endpoints:          map[string]*Endpoint{},
		Changed:            map[string]uint64{},
		Removed:            map[string]uint64{},
		Peers:              map[string]*Peer{},
		Totals:             newTotals(),
		InheritedAddresses: message.CallerAddresses,
		Demand:             map[DemandKey]*PendingDemand{},
		Rates:              map[ModelKey]*Rate{},
		SaturatedAt:        map[ModelKey]time.Time{},
		TableStale:         true,
	}
	if message.NoEarlierHolder {
		c.Tenure.OrdersAllowedAt = now
	}
	return append([]Effect{Note{Text: "holding the placement lease", Age: c.Tenure.OrdersAllowedAt.Sub(now)}}, c.handleReplicasListed(now)...)
}

// spacing returns how long a new holder waits with its orders. A lease that
// lapsed ended at its holder some time before it could be taken; one that was
// handed over may have ended just before.
func (c *Controller) orderDelay(message LeaseHeld) time.Duration {
	if message.HandedOver {
		return c.Settings.OrderSpacing
	}
	return c.Settings.OrderSpacing - c.Settings.MinTakeoverDelay
}

// recall reads the replicas again whose answers may have come while this node
// did not hold the lease.
func (c *Controller) rereadBusyEndpoints(now time.Time) {
	for _, endpoint := range c.Tenure.Endpoints {
		if endpoint.Sending != nil || endpoint.Reading || endpoint.Running != nil {
			endpoint.Sending, endpoint.Reading = nil, false
			endpoint.invalidate(now.Add(maxReportAge))
		}
	}
}

// act ends what is over, plans, and sends what is due.
func (c *Controller) advance(now time.Time) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.Tenure.AdvancedAt = now
	if c.Configuration == nil {
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

// endpointIDs returns the IDs in order, so that steps are deterministic.
func (c *Controller) endpointIDs() []string {
	if c.Tenure.SortedIDs == nil {
		c.Tenure.SortedIDs = slices.Sorted(maps.Keys(c.Tenure.Endpoints))
	}
	return c.Tenure.SortedIDs
}

// nodesListed takes over the registered nodes.
func (c *Controller) handleNodesListed(message NodesListed) {
	same := slices.EqualFunc(c.Nodes, message.Nodes, func(a, b surveyor.Node) bool { return a == b })
	c.Nodes, c.NodesAsOf = message.Nodes, message.ProvenAt
	if c.Tenure != nil && !same {
		c.Tenure.NodesVersion++
	}
}

// engine returns the engine of a service, or nil.
func (c *Controller) engine(service string) *resolver.Engine {
	if c.Configuration == nil {
		return nil
	}
	return c.Configuration.Services[service].Engine
}

// listed compares the endpoints with the store's list.
func (c *Controller) handleReplicasListed(now time.Time) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.Tenure.TableStale = true
	found := map[string]bool{}
	var effects []Effect
	for _, replica := range c.Replicas {
		if c.engine(replica.Service) == nil {
			continue
		}
		found[replica.ID] = true
		effects = append(effects, c.updateEndpoint(now, replica)...)
	}
	for _, id := range c.endpointIDs() {
		if !found[id] {
			effects = append(effects, Note{Text: "replica left the list", Replica: id})
			delete(c.Tenure.Endpoints, id)
			c.Tenure.SortedIDs = nil
		}
	}
	return effects
}

func (c *Controller) updateEndpoint(now time.Time, replica surveyor.Replica) []Effect {
	endpoint := c.Tenure.Endpoints[replica.ID]
	if endpoint == nil || endpoint.Entry.Born != replica.Born {
		c.Tenure.SortedIDs = nil
		c.Tenure.Endpoints[replica.ID] = &Endpoint{Entry: replica, ReadAt: laterTime(now, c.Tenure.OrdersAllowedAt.Add(-stateReadLead))}
		return []Effect{Note{Text: "replica joined the list", Replica: replica.ID}}
	}
	endpoint.Entry = replica
	return nil
}

// readBefore is how long before its first orders a holder reads what the
// replicas hold.
const stateReadLead = 200 * time.Millisecond

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
