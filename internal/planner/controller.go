package planner

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/screener"
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
	// Starts holds the starts of replicas that may be cold, by ID.
	Starts map[string]knownStart
	// StoreEra is the latest era of the store that this node knows of.
	StoreEra  uint64
	Nodes     []surveyor.Node
	NodesAsOf time.Time
	// Evacuated are the evacuated data centres, sorted. They are not known while
	// EvacuationsAsOf is zero.
	Evacuated       []string
	EvacuationsAsOf time.Time
	// ReportedVersion is the latest version of the configuration that a node has reported.
	ReportedVersion uint64
	// Contact is what is known of this node's way to the replicas.
	Contact Contact
	// Versions are the software versions that this node knows of. Inherited are the assignments
	// that it last adopted from a holder, and UnassignedAt is when a node that does not begin
	// streams as assigned last reported.
	Versions     *resumer.Register
	Inherited    []resumer.Assignment
	UnassignedAt time.Time
	// KeepersKnownAt is when this node or the holder last knew all nodes that keep origins of
	// streams.
	KeepersKnownAt time.Time
	// FormerSizes holds the sizes with which replicas may still hold models.
	FormerSizes map[ModelKey]formerSize

	// StoredRecords are the records about requests that crash replicas that this node has
	// last requested to be stored.
	StoredRecords []screener.Record

	// View is the view that this node sends to others while it does not hold the
	// lease, as of ViewCreatedAt.
	View          *StoreView
	ViewCreatedAt time.Time

	index planIndex
}

// ModelKey identifies a model of a service.
type ModelKey struct{ Service, Model string }

// DemandKey identifies a model or an adapter that requests wait for. Adapter is
// empty for the model itself.
type DemandKey struct {
	ModelKey
	Adapter string
	Scope
}

// NewController returns the controller of a node.
func NewController(settings Settings) *Controller {
	return &Controller{Settings: settings, Versions: resumer.NewRegister(), FormerSizes: map[ModelKey]formerSize{}}
}

// Wake returns when the next order, state read or planning pass is due. It is zero while this
// node neither holds the lease nor has handed it over.
func (c *Controller) Wake() time.Time {
	if c.Tenure == nil {
		if c.Contact.WithdrawnAt.IsZero() {
			return time.Time{}
		}
		return c.Contact.ReadAt.Add(withdrawnReadInterval)
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
	suspended := c.isSuspended(c.Tenure.AdvancedAt)
	for _, endpoint := range c.Tenure.Endpoints {
		orderAt := endpoint.nextOrderAt()
		switch {
		case suspended:
			orderAt = time.Time{}
		case !orderAt.IsZero():
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
	if explain, ok := message.(Explain); ok {
		return []Effect{AnswerExplain{explain.Call, c.explain(now, explain.Demand)}}
	}
	if c.Tenure != nil && !c.Tenure.Acting && !now.Before(c.Tenure.Until) {
		// The process may have been paused until after its lease expired.
		c.endTenure()
	}
	c.recordContact(now, message)
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
		c.setConfiguration(now, message.Configuration)
		c.ConfigurationAsOf = message.CurrentAsOf
	case ReplicasListed:
		c.Replicas, c.ReplicasAsOf, c.StoreEra = message.Replicas, message.CurrentAsOf, message.Era
		c.Versions.Observe(now, message.CurrentAsOf, message.Replicas)
		c.recordStarts(now)
		effects = append(c.handleReplicasListed(now), c.storeLeaseData(now)...)
	case VersionsInherited:
		c.inheritVersions(now, message)
	case VersionsStored:
		c.Versions.MarkStored(message.Services)
		c.Versions.MarkAssigned(message.Assignments)
	case NodesListed:
		c.handleNodesListed(message)
	case EvacuationsListed:
		c.handleEvacuationsListed(message)
	case OrderResult:
		effects = c.handleOrderResult(now, message)
	case StateRead:
		effects = c.handleStateRead(now, message)
	case ReportReceived:
		effects = c.handleReport(now, message)
		return append(effects, c.releaseRecords()...)
	}
	effects = append(effects, c.advance(now)...)
	return append(effects, c.releaseRecords()...)
}

// advance completes operations that have ended, plans, and sends due orders and
// state reads.
func (c *Controller) advance(now time.Time) []Effect {
	if c.Tenure == nil {
		return c.reviewWithdrawal(now)
	}
	c.Tenure.AdvancedAt = now
	if c.Configuration == nil {
		return nil
	}
	if c.Tenure.Acting {
		return c.reviewWithdrawal(now)
	}
	effects := c.reviewContact(now)
	if c.Tenure == nil {
		return effects
	}
	effects = append(effects, c.removeSilentNodes(now)...)
	c.expireRunning(now)
	ids := c.endpointIDs()
	for _, id := range ids {
		effects = append(effects, c.completeOperation(now, id, c.Tenure.Endpoints[id])...)
	}
	if !now.Before(c.Tenure.OrdersAllowedAt) && now.Sub(c.Tenure.PlannedAt) >= minPlanInterval {
		c.Tenure.PlannedAt = now
		effects = append(effects, c.plan(now)...)
	}
	suspended := c.isSuspended(now)
	for _, id := range ids {
		effects = append(effects, c.sendNext(now, id, c.Tenure.Endpoints[id], suspended)...)
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
		replica.Leaving = replica.Leaving || c.hasAnnouncedLeaving(replica)
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
		c.Tenure.Endpoints[replica.ID] = &Endpoint{Entry: replica, Evacuated: c.isEvacuated(replica), ReadAt: later(now, c.Tenure.OrdersAllowedAt.Add(-stateReadLead))}
		return []Effect{Note{Text: "replica joined the list", Replica: replica.ID}}
	}
	endpoint.Entry, endpoint.Evacuated = replica, c.isEvacuated(replica)
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
