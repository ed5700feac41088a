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
const planEvery = 100 * time.Millisecond

// planPause is the least time between two looks at the demand, so that many
// reports and results together cost one.
const planPause = 10 * time.Millisecond

// Settings of a controller.
type Settings struct {
	// Node is the name of this node, and Spacing the time that must lie
	// between the orders of two holders at one replica.
	Node    string
	Spacing time.Duration
	// Overlap is the least time from the end of a lapsed lease at its holder
	// to the moment at which another node takes it.
	Overlap time.Duration
}

// Controller plans while its node holds the lease.
type Controller struct {
	Settings Settings

	// Tenure is nil while another node holds the lease. Former is the last
	// one that ended at this node.
	Tenure *Tenure
	Former *Tenure

	Configuration     *resolver.Configuration
	ConfigurationAsOf time.Time
	Replicas          []surveyor.Replica
	ReplicasAsOf      time.Time
	Nodes             []surveyor.Node
	NodesAsOf         time.Time

	outlook outlook
}

// Tenure is the state of one time of holding the lease.
type Tenure struct {
	Epoch uint64
	Since time.Time
	Until time.Time
	// OrdersFrom is when the orders of an earlier holder lie far enough back.
	OrdersFrom time.Time
	// Version grows when the table changes. Changed and Removed hold the
	// version at which each replica last changed or left the table.
	Version      uint64
	Changed      map[string]uint64
	Removed      map[string]uint64
	NodesVersion uint64
	// Endpoints holds the replicas of engines by ID. IDs are these in order, nil
	// after a change.
	Endpoints map[string]*Endpoint
	IDs       []string
	// Table is the published table, rebuilt when Stale is set.
	Table  []surveyor.Replica
	Stale  bool
	Peers  map[string]*Peer
	Totals Totals
	// Presumed are the addresses for callers that the former holder gave.
	Presumed []string
	Demand   map[DemandKey]*Waiting
	Rates    map[ModelKey]*Rate
	// Pressed holds when requests last found all replicas of a model full.
	Pressed map[ModelKey]time.Time
	// StorePlaces is the number of loads from the weight store that run at
	// full speed, 0 before it is known.
	StorePlaces int
	// ActedAt is when the endpoints were last looked at, PlannedAt when the
	// demand was, and CopiesAt when the copies of models were.
	ActedAt, PlannedAt, CopiesAt time.Time
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
	wake := c.Tenure.ActedAt.Add(planEvery)
	if len(c.Tenure.Demand) > 0 {
		if soon := later(c.Tenure.ActedAt.Add(planPause), c.Tenure.OrdersFrom); soon.Before(wake) {
			wake = soon
		}
	}
	for _, endpoint := range c.Tenure.Endpoints {
		orderAt := endpoint.orderAt()
		if !orderAt.IsZero() {
			orderAt = later(orderAt, c.Tenure.OrdersFrom)
		}
		for _, due := range []time.Time{orderAt, endpoint.endsAt(), endpoint.readAt()} {
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
		c.lose()
	}
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case Held:
		effects = c.held(now, message)
	case Lost:
		c.lose()
	case Configured:
		c.Configuration, c.ConfigurationAsOf = message.Configuration, message.ProvenAt
	case Listed:
		c.Replicas, c.ReplicasAsOf = message.Replicas, message.ProvenAt
		effects = c.listed(now)
	case NodesListed:
		c.nodesListed(message)
	case OrderDone:
		effects = c.orderDone(now, message)
	case StateRead:
		effects = c.stateRead(now, message)
	case Reported:
		return c.reported(now, message)
	}
	return append(effects, c.act(now)...)
}

// lose ends the tenure.
func (c *Controller) lose() {
	if c.Tenure != nil {
		c.Former, c.Tenure = c.Tenure, nil
	}
}

// held begins or goes on with a tenure.
func (c *Controller) held(now time.Time, message Held) []Effect {
	if c.Tenure != nil && c.Tenure.Epoch == message.Epoch {
		c.Tenure.Until = message.Until
		return nil
	}
	if c.Former != nil && c.Former.Epoch+1 == message.Epoch {
		// Nobody else can have held the lease in between.
		c.Tenure, c.Former = c.Former, nil
		c.Tenure.Epoch, c.Tenure.Until, c.Tenure.Stale = message.Epoch, message.Until, true
		c.recall(now)
		return append([]Effect{Note{Text: "holding the placement lease again"}}, c.listed(now)...)
	}
	c.Tenure = &Tenure{
		Epoch:      message.Epoch,
		Since:      now,
		Until:      message.Until,
		OrdersFrom: now.Add(c.spacing(message)),
		Endpoints:  map[string]*Endpoint{},
		Changed:    map[string]uint64{},
		Removed:    map[string]uint64{},
		Peers:      map[string]*Peer{},
		Totals:     newTotals(),
		Presumed:   message.Callers,
		Demand:     map[DemandKey]*Waiting{},
		Rates:      map[ModelKey]*Rate{},
		Pressed:    map[ModelKey]time.Time{},
		Stale:      true,
	}
	if message.First {
		c.Tenure.OrdersFrom = now
	}
	return append([]Effect{Note{Text: "holding the placement lease", Age: c.Tenure.OrdersFrom.Sub(now)}}, c.listed(now)...)
}

// spacing returns how long a new holder waits with its orders. A lease that
// lapsed ended at its holder some time before it could be taken; one that was
// handed over may have ended just before.
func (c *Controller) spacing(message Held) time.Duration {
	if message.HandedOver {
		return c.Settings.Spacing
	}
	return c.Settings.Spacing - c.Settings.Overlap
}

// recall reads the replicas again whose answers may have come while this node
// did not hold the lease.
func (c *Controller) recall(now time.Time) {
	for _, endpoint := range c.Tenure.Endpoints {
		if endpoint.Sending != nil || endpoint.Reading || endpoint.Running != nil {
			endpoint.Sending, endpoint.Reading = nil, false
			endpoint.forget(now.Add(reportLag))
		}
	}
}

// act ends what is over, plans, and sends what is due.
func (c *Controller) act(now time.Time) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.Tenure.ActedAt = now
	if c.Configuration == nil {
		return nil
	}
	effects := c.removeNodes(now)
	c.forgetRunning(now)
	ids := c.endpointIDs()
	for _, id := range ids {
		effects = append(effects, c.finish(now, id, c.Tenure.Endpoints[id])...)
	}
	if !now.Before(c.Tenure.OrdersFrom) && now.Sub(c.Tenure.PlannedAt) >= planPause {
		c.Tenure.PlannedAt = now
		effects = append(effects, c.plan(now)...)
	}
	for _, id := range ids {
		effects = append(effects, c.send(now, id, c.Tenure.Endpoints[id])...)
	}
	return effects
}

// endpointIDs returns the IDs in order, so that steps are deterministic.
func (c *Controller) endpointIDs() []string {
	if c.Tenure.IDs == nil {
		c.Tenure.IDs = slices.Sorted(maps.Keys(c.Tenure.Endpoints))
	}
	return c.Tenure.IDs
}

// nodesListed takes over the registered nodes.
func (c *Controller) nodesListed(message NodesListed) {
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
func (c *Controller) listed(now time.Time) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.Tenure.Stale = true
	found := map[string]bool{}
	var effects []Effect
	for _, replica := range c.Replicas {
		if c.engine(replica.Service) == nil {
			continue
		}
		found[replica.ID] = true
		effects = append(effects, c.see(now, replica)...)
	}
	for _, id := range c.endpointIDs() {
		if !found[id] {
			effects = append(effects, Note{Text: "replica left the list", Replica: id})
			delete(c.Tenure.Endpoints, id)
			c.Tenure.IDs = nil
		}
	}
	return effects
}

func (c *Controller) see(now time.Time, replica surveyor.Replica) []Effect {
	endpoint := c.Tenure.Endpoints[replica.ID]
	if endpoint == nil || endpoint.Listed.StartedMS != replica.StartedMS {
		c.Tenure.IDs = nil
		c.Tenure.Endpoints[replica.ID] = &Endpoint{Listed: replica, ReadAt: later(now, c.Tenure.OrdersFrom.Add(-readBefore))}
		return []Effect{Note{Text: "replica joined the list", Replica: replica.ID}}
	}
	endpoint.Listed = replica
	return nil
}

// readBefore is how long before its first orders a holder reads what the
// replicas hold.
const readBefore = 200 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
