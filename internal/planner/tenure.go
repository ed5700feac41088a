package planner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Tenure is the state of one period in which this node holds the lease or acts for a
// lost holder.
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
	Assignments                 History[resumer.Assignment]
	TableStale, CandidatesStale bool
	// TableAt is when Table was last rebuilt.
	TableAt time.Time
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
	// callers, with their ages as of InheritedAt.
	InheritedCallers []Caller
	InheritedAt      time.Time
	Demand           map[DemandKey]*PendingDemand
	Rates            map[ModelKey]*Rate
	// AdapterRates are the rates of adapters. They are counted only where data centres may
	// be evacuated.
	AdapterRates map[DemandKey]*Rate
	// SaturatedAt is when a node last reported all replicas of a model as full.
	SaturatedAt map[saturationKey]time.Time
	// Unmet holds the demands that the last plans have left without a load.
	Unmet map[ModelKey]*unmet
	// SuspectedBy holds the names of the live nodes that suspect a replica, by its ID, as of
	// the last planning pass.
	SuspectedBy map[string][]string
	// Prompts is the evidence against parts of prompts that crash replicas.
	Prompts *screener.Evidence
	// Notices holds what replicas have announced, by ID.
	Notices map[string]*notice
	// Estimates is what the nodes have measured of replicas and models.
	Estimates estimator.Pool
	// Cached is what the nodes have reported of the parts of prompts that replicas keep.
	Cached cacher.Pool
	// StoringData is what the lease contains or will contain for its next holder, as of
	// StoringSince, nil if that is not known. StoreEra is the era of the store in which the
	// lease is held.
	StoringData  *StoreLeaseData
	StoringSince time.Time
	StoreEra     uint64
	// AssignedAt is when streams were last assigned to versions.
	AssignedAt time.Time
	// StoreConcurrency is the number of concurrent loads from the weight store
	// that run at full speed, or 0 while it is unknown.
	StoreConcurrency int
	// AdvancedAt is when the endpoints were last processed, PlannedAt when the
	// demand was last planned for, CopiesPlannedAt when extra replicas and prefetches were
	// last planned, and EvacuatedPlannedAt when loads of what only evacuated replicas hold
	// were.
	AdvancedAt, PlannedAt, CopiesPlannedAt, EvacuatedPlannedAt time.Time
}

// endTenure stops planning and keeps the tenure, which continues if this node
// acquires the next epoch.
func (c *Controller) endTenure() {
	if c.Tenure != nil && !c.Tenure.Acting {
		c.Previous = c.Tenure
		c.Contact.AnswersBefore, c.Contact.HandOverAt = nil, time.Time{}
	}
	c.Tenure = nil
}

// handleLeaseHeld renews the current tenure, resumes the previous one or starts a
// new one.
func (c *Controller) handleLeaseHeld(now time.Time, message LeaseHeld) []Effect {
	if c.Contact.Epoch == message.Epoch {
		// A renewal that was under way when this node handed the lease over.
		return nil
	}
	if c.Tenure != nil && c.Tenure.Epoch == message.Epoch {
		c.Tenure.Until, c.Tenure.StoreEra = message.Until, message.StoreEra
		return c.storeLeaseData(now)
	}
	c.Contact = Contact{AnsweredAt: now}
	if c.Previous != nil && c.Previous.Epoch+1 == message.Epoch {
		// The epochs are consecutive, so no other node held the lease in between.
		c.Tenure, c.Previous = c.Previous, nil
		c.Tenure.Epoch, c.Tenure.ID, c.Tenure.Until, c.Tenure.TableStale = message.Epoch, message.Epoch, message.Until, true
		c.Tenure.StoreEra = message.StoreEra
		c.Tenure.Published, c.Tenure.StoringData = nil, nil
		c.Tenure.resetConsumed()
		c.rereadBusyEndpoints(now)
		return append([]Effect{Note{Text: "holding the placement lease again"}}, c.handleReplicasListed(now)...)
	}
	if c.Tenure == nil {
		c.Tenure = newTenure(now, message.Epoch, message.Callers)
	}
	t := c.Tenure
	t.Acting, t.Epoch, t.Since, t.Until, t.StoreEra = false, message.Epoch, now, message.Until, message.StoreEra
	if message.NoEarlierHolder {
		message.Versions.Complete, message.Versions.Assigned = true, true
	}
	c.inheritStored(now, message.Versions, message.Assignments)
	for _, former := range message.FormerSizes {
		c.addFormerSize(now, former)
	}
	t.OrdersAllowedAt = now.Add(c.orderDelay(message))
	if message.NoEarlierHolder {
		t.OrdersAllowedAt = now
	}
	for _, endpoint := range t.Endpoints {
		endpoint.ReadAt = later(now, t.OrdersAllowedAt.Add(-stateReadLead))
	}
	effects := []Effect{Note{Text: "holding the placement lease", Age: t.OrdersAllowedAt.Sub(now)}}
	if !c.Versions.Complete {
		effects = append(effects, Note{Text: "software versions in the lease may be incomplete"})
	}
	effects = append(effects, c.handleReplicasListed(now)...)
	return append(effects, c.storeLeaseData(now)...)
}

// newTenure returns the tenure of a node that has no knowledge of the fleet but the
// callers that the previous holder published.
func newTenure(now time.Time, id uint64, callers []Caller) *Tenure {
	t := &Tenure{
		ID:               id,
		Since:            now,
		Endpoints:        map[string]*Endpoint{},
		Table:            newHistory(func(replica surveyor.Replica) string { return replica.ID }, sameReplica),
		Callers:          newHistory(func(caller Caller) string { return caller.Address }, sameCaller),
		Candidates:       newHistory(func(node surveyor.Node) string { return node.Name }, sameNode),
		Assignments:      newHistory(resumer.Assignment.Key, resumer.Assignment.Equal),
		Peers:            map[string]*Peer{},
		Totals:           newTotals(),
		InheritedCallers: callers,
		InheritedAt:      now,
		Demand:           map[DemandKey]*PendingDemand{},
		Rates:            map[ModelKey]*Rate{},
		AdapterRates:     map[DemandKey]*Rate{},
		SaturatedAt:      map[saturationKey]time.Time{},
		Unmet:            map[ModelKey]*unmet{},
		Prompts:          screener.NewEvidence(),
		Notices:          map[string]*notice{},
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
// not hold the lease. An order that has not been answered may reach its replica until
// its time limit is over, and must not arrive after one with a higher fence.
func (c *Controller) rereadBusyEndpoints(now time.Time) {
	for _, endpoint := range c.Tenure.Endpoints {
		if endpoint.Sending != nil || endpoint.Reading || endpoint.Running != nil {
			readAt := now.Add(maxReportAge)
			if endpoint.Sending != nil {
				readAt = readAt.Add(callTimeout)
			}
			endpoint.Sending, endpoint.Reading = nil, false
			endpoint.invalidate(readAt)
		}
	}
}
