package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Placer decides for one region while its node holds the region's lease.
//
// Invariants: an order goes out only for an entry whose fence was written by
// a conditional update, under a lease that is still valid; the entries of a
// model never exceed the region's share of its replicas by a decision of the
// placer; the memory of the entries, of planned loads, and of what a report
// shows beyond them, never exceeds the endpoint's memory by a decision of
// the placer.
type Placer struct {
	Settings Settings

	// Epoch and Until describe the lease; Until is zero without one.
	Epoch      uint64
	LeaseUntil time.Time
	// Sequence is the last one used in a fence of this epoch.
	Sequence uint32

	// Phase says what the placer does with the object.
	Phase Phase
	// Ticket identifies the latest read or write; answers to earlier ones
	// are ignored.
	Ticket uint64
	// AdoptedAt is when the decided state was last read.
	AdoptedAt time.Time
	// Version and Decided are the object as last read or written.
	Version uint64
	Decided Placement
	// PendingPlacement and Orders wait for the write in progress.
	PendingPlacement Placement
	PendingOrders    []Order
	// Outbox holds the written orders of each endpoint that have yet to go
	// out, and InFlight the fence of the one that is on its way.
	Outbox   map[string][]Order
	InFlight map[string]uint64
	// RetryAt is when a failed read or write is tried again.
	RetryAt time.Time

	Configuration *releaser.Configuration
	// ModelKeys are the sorted keys of the configuration's models, and Shares
	// the replicas of each that the region may hold.
	ModelKeys   []string
	Shares      map[string]int
	ListVersion uint64
	// Endpoints are the region's engines, and Names their sorted names.
	Endpoints       map[string]tracker.Endpoint
	EndpointNames   []string
	ReportHistories map[string]ReportHistory

	// Records hold what this node knows of entries beyond the object.
	Records map[EntryID]*EntryRecord
	Demands map[Key]*KeyDemand
	Claims  map[Key]Claim
	Retries map[Key]*Retry
	// Activities are kept per model. Of adapters, which are many, only the
	// last use is kept.
	Activities     map[string]*predictor.Activity
	AdapterLastUse map[Key]time.Time
	// WithdrawnAt is when a decided model or adapter was first seen to be out
	// of force.
	WithdrawnAt  map[Key]time.Time
	StorePermits Bucket

	Warnings []Warning
	// PlanAt is when the next plan is due.
	PlanAt time.Time
	// LeaseExpired says that the lease was found to have expired; the placer then
	// waits for a message.
	LeaseExpired bool
	// Published says that operators see the current state.
	Published bool
}

// Phase is what a placer does with the object.
type Phase int

// The phases of a placer.
const (
	// Idle placers do not hold the lease.
	Idle Phase = iota
	// Unread placers hold the lease and must read the object.
	Unread
	// Reading placers wait for the object.
	Reading
	// Ready placers know the object and may write it.
	Ready
	// Writing placers wait for a write.
	Writing
)

// EntryID is an entry's place: its endpoint and key.
type EntryID struct {
	Endpoint string
	Key
}

// EntryRecord is what a holder knows of an entry beyond the object.
type EntryRecord struct {
	// Fence is the fence of the order that this holder sent last, 0 if none.
	Fence  uint64
	SentAt time.Time
	// Outcome is empty while the order is on its way.
	Outcome    Outcome
	AnsweredAt time.Time
	// Deadline is when the order should have had its effect.
	Deadline time.Time
	// LoadOrdersExpireAt is when no earlier load order can arrive any more.
	LoadOrdersExpireAt time.Time
	// Attempts counts the orders for the present state.
	Attempts int
	// Served is the report's count when it was last looked at.
	Served uint64
}

// ReportHistory follows an endpoint's reports.
type ReportHistory struct {
	Sequence uint64
	Measured time.Time
	// Restarted is when a lower sequence showed that the endpoint restarted.
	Restarted time.Time
}

// Claim reserves memory at an endpoint for a load that waits for evictions.
type Claim struct {
	Endpoint string
	MemoryMB int
	Until    time.Time
}

// Retry delays the loads of a model that failed.
type Retry struct {
	Failures  int
	NotBefore time.Time
	// AvoidUntil names endpoints where a load failed, until when.
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
	// planInterval bounds the processor time of planning: at most four plans
	// a second, except for the first demand of a model.
	planInterval = 250 * time.Millisecond
	// idleInterval is how often a placer without work looks at idle models.
	idleInterval = time.Second
	// retryInterval follows a failed call of the object API.
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

// runDue does what is due: send, read, plan, publish.
func (p *Placer) runDue(now time.Time) []Effect {
	var effects []Effect
	if lapsed := !p.leaseValid(now); lapsed != p.LeaseExpired {
		p.LeaseExpired, p.Published = lapsed, false
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

// leaseValid says whether the lease is held at a time.
func (p *Placer) leaseValid(now time.Time) bool {
	return now.Before(p.LeaseUntil)
}

// inputsCurrent says whether the placer knows at least what the former holders
// knew: with an older configuration or instance list it would undo their
// decisions.
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

// maxWarnings bounds the list for operators.
const maxWarnings = 50

func (p *Placer) addWarning(now time.Time, endpoint string, key Key, text string) {
	p.Warnings = append(p.Warnings, Warning{Endpoint: endpoint, Key: key, Text: text, At: now})
	if len(p.Warnings) > maxWarnings {
		p.Warnings = p.Warnings[len(p.Warnings)-maxWarnings:]
	}
	p.Published = false
}
