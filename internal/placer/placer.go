package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Placer decides for one region while its node holds the region's lease.
//
// Invariants: an order is sent only under a valid lease, and only for an entry
// whose fence was written by a conditional update. No decision of the placer
// makes the entries of a model exceed the region's share of its replicas. No
// decision of the placer makes the sum of the memory of entries, planned loads
// and unmanaged models exceed the endpoint's memory.
type Placer struct {
	Settings Settings

	// Epoch and LeaseUntil describe the lease; LeaseUntil is zero without one.
	Epoch      uint64
	LeaseUntil time.Time
	// Sequence is the last sequence number used in a fence of this epoch.
	Sequence uint32

	// Phase is the state of access to the stored object.
	Phase Phase
	// Ticket identifies the latest read or write; results of earlier ones are
	// ignored.
	Ticket uint64
	// AdoptedAt is when the decided state was last read.
	AdoptedAt time.Time
	// Version and Decided are the object as last read or written in Era. Lost is set
	// while Decided must be written again because the object API has lost it.
	Version uint64
	Era     uint64
	Decided Placement
	Lost    bool
	// PendingPlacement and PendingOrders wait for the write in progress.
	PendingPlacement Placement
	PendingOrders    []Order
	// Outbox holds each endpoint's orders that have been written but not sent.
	// InFlight holds the fence of the order that is in flight to each
	// endpoint.
	Outbox   map[string][]Order
	InFlight map[string]uint64
	// RetryAt is when a failed read or write is retried.
	RetryAt time.Time

	Configuration *releaser.Configuration
	// ModelKeys are the sorted keys of the configuration's models. Shares is
	// the number of replicas of each that the region may hold.
	ModelKeys   []string
	Shares      map[string]int
	ListVersion uint64
	// Endpoints are the region's engines. EndpointNames are their sorted
	// names.
	Endpoints       map[string]tracker.Endpoint
	EndpointNames   []string
	ReportHistories map[string]ReportHistory

	// Records holds what this node knows about entries in addition to the
	// object.
	Records map[EntryID]*EntryRecord
	Demands map[Key]*KeyDemand
	Claims  map[Key]Claim
	Retries map[Key]*Retry
	// Activities holds the use of each model. Adapters are numerous, so
	// AdapterLastUse holds only the last use of each.
	Activities     map[string]*predictor.Activity
	AdapterLastUse map[Key]time.Time
	// WithdrawnAt is when a decided model or adapter was first found to be no
	// longer in force.
	WithdrawnAt  map[Key]time.Time
	StorePermits Bucket

	Warnings []Warning
	// PlanAt is when the next plan is due.
	PlanAt time.Time
	// LeaseExpired is true if the lease was found to have expired; the placer
	// then waits for a message.
	LeaseExpired bool
	// Published is true if operators have been sent the current state.
	Published bool
}

// Phase is the state of a placer's access to the stored object.
type Phase int

// Phases of a placer.
const (
	// Idle means that the placer does not hold the lease.
	Idle Phase = iota
	// Unread means that the placer holds the lease and must read the object.
	Unread
	// Reading means that a read of the object is in progress.
	Reading
	// Ready means that the object is known and may be written.
	Ready
	// Writing means that a write of the object is in progress.
	Writing
)

// EntryID identifies an entry by its endpoint and key.
type EntryID struct {
	Endpoint string
	Key
}

// EntryRecord is what a holder knows about an entry in addition to the object.
type EntryRecord struct {
	// Fence is the fence of the last order that this holder sent, 0 if none.
	Fence  uint64
	SentAt time.Time
	// Outcome is empty while the order is in flight.
	Outcome    Outcome
	AnsweredAt time.Time
	// Deadline is when the order should have taken effect.
	Deadline time.Time
	// LoadOrdersExpireAt is when no earlier load order can still arrive.
	LoadOrdersExpireAt time.Time
	// Attempts counts the orders sent for the current state.
	Attempts int
	// Served is the request count in the last report that was processed.
	Served uint64
}

// ReportHistory tracks the reports of an endpoint.
type ReportHistory struct {
	Sequence uint64
	Measured time.Time
	// Restarted is when a lower sequence number showed that the endpoint had
	// restarted.
	Restarted time.Time
}

// Claim reserves memory at an endpoint for a load that waits for evictions.
type Claim struct {
	Endpoint string
	MemoryMB int
	Until    time.Time
}

// Retry delays the loads of a model or adapter that failed to load.
type Retry struct {
	Failures  int
	NotBefore time.Time
	// AvoidUntil holds, by endpoint where a load failed, until when to avoid
	// it.
	AvoidUntil map[string]time.Time
}

// New returns a placer that does not hold its lease.
func New(settings Settings) *Placer {
	return &Placer{
		Settings:        settings,
		Decided:         Placement{Endpoints: map[string]EndpointPlacement{}},
		Endpoints:       map[string]tracker.Endpoint{},
		ReportHistories: map[string]ReportHistory{},
		Outbox:          map[string][]Order{},
		InFlight:        map[string]uint64{},
		Records:         map[EntryID]*EntryRecord{},
		Demands:         map[Key]*KeyDemand{},
		Claims:          map[Key]Claim{},
		Retries:         map[Key]*Retry{},
		Activities:      map[string]*predictor.Activity{},
		AdapterLastUse:  map[Key]time.Time{},
		WithdrawnAt:     map[Key]time.Time{},
		StorePermits:    Bucket{Tokens: 1},
		LeaseExpired:    true,
	}
}

const (
	// planInterval bounds the processor time of planning to at most four plans
	// a second, except for the first demand for a model or adapter.
	planInterval = 250 * time.Millisecond
	// idleInterval is how often a placer without other work checks for idle
	// models.
	idleInterval = time.Second
	// retryInterval is the delay after a failed call of the object API.
	retryInterval = 500 * time.Millisecond
)

// Step implements runner.Controller.
func (p *Placer) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case LeaseHeld:
		p.handleLeaseHeld(now, message)
	case LeaseLost:
		p.stepDown()
	case ObjectRead:
		p.handleObjectRead(now, message)
	case ReadFailed:
		p.handleReadFailed(now, message)
	case ObjectWritten:
		p.handleObjectWritten(now, message)
	case WriteFailed:
		p.handleWriteFailed(now, message)
	case WriteUncertain:
		p.reloadObject(now, message.Ticket, message.Detail)
	case ConfigurationChanged:
		p.handleConfigurationChanged(now, message.Configuration)
	case FleetChanged:
		p.handleFleetChanged(now, message.Fleet)
	case Demand:
		p.handleDemand(now, message)
	case OrderAnswered:
		p.handleOrderAnswered(now, message)
	case Tick:
	}
	return p.runDue(now)
}

// runDue performs the steps that are due: send orders, read the object, plan,
// publish.
func (p *Placer) runDue(now time.Time) []Effect {
	var effects []Effect
	if expired := !p.leaseValid(now); expired != p.LeaseExpired {
		p.LeaseExpired, p.Published = expired, false
	}
	if !p.LeaseExpired {
		effects = p.sendQueuedOrders(now)
	}
	switch {
	case p.LeaseExpired || now.Before(p.RetryAt):
	case p.Phase == Unread:
		p.Phase = Reading
		p.Ticket++
		effects = append(effects, ReadObject{Ticket: p.Ticket})
	case p.Phase == Ready && !now.Before(p.PlanAt) && p.inputsCurrent():
		effects = append(effects, p.plan(now)...)
	}
	if !p.Published {
		p.Published = true
		effects = append(effects, Publish{View: p.view(now)})
	}
	return effects
}

// leaseValid reports whether the lease is held at the given time.
func (p *Placer) leaseValid(now time.Time) bool {
	return now.Before(p.LeaseUntil)
}

// inputsCurrent reports whether the placer's configuration and instance list
// are at least as new as those that earlier holders used. With older ones it
// would undo their decisions.
func (p *Placer) inputsCurrent() bool {
	return p.Configuration != nil &&
		p.Configuration.Version >= p.Decided.Configuration &&
		p.ListVersion > 0 && p.ListVersion >= p.Decided.ListVersion
}

// Wake implements runner.Controller.
func (p *Placer) Wake() time.Time {
	if p.LeaseExpired {
		return time.Time{}
	}
	switch p.Phase {
	case Unread:
		return p.RetryAt
	case Ready:
		if !p.inputsCurrent() {
			return time.Time{}
		}
		if p.RetryAt.After(p.PlanAt) {
			return p.RetryAt
		}
		return p.PlanAt
	default:
		return time.Time{}
	}
}

func (p *Placer) view(now time.Time) View {
	return View{
		Region:    p.Settings.Region,
		Leading:   p.leaseValid(now),
		Epoch:     p.Epoch,
		Version:   p.Version,
		Placement: p.Decided,
		Warnings:  append([]Warning(nil), p.Warnings...),
	}
}

// maxWarnings bounds the list shown to operators.
const maxWarnings = 50

func (p *Placer) addWarning(now time.Time, endpoint string, key Key, text string) {
	p.Warnings = append(p.Warnings, Warning{Endpoint: endpoint, Key: key, Text: text, At: now})
	if len(p.Warnings) > maxWarnings {
		p.Warnings = p.Warnings[len(p.Warnings)-maxWarnings:]
	}
	p.Published = false
}
