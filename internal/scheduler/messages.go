package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Message is what the scheduler reacts to.
type Message interface{ isMessage() }

// Admit asks for a slot. It is answered by Grant or RefuseCall.
type Admit struct {
	Call      runner.Call
	Admission filter.Admission
}

// Cancel says that a call's asker has gone. A slot that was already granted
// to it is given back.
type Cancel struct {
	Call runner.Call
}

// Release gives a slot back.
type Release struct {
	SlotID uint64
	Result filter.SlotResult
}

// FleetChanged brings a new view of the instances and their reports.
type FleetChanged struct {
	Fleet tracker.Fleet
}

// CacheEvents brings prefix-cache events of one endpoint.
type CacheEvents struct {
	Endpoint string
	// Last is the newest sequence that the endpoint has.
	Last   uint64
	Events []router.CacheEvent
}

// AttainedService brings the tokens that each workspace received lately in
// the whole fleet. Workspaces that are not named received none.
type AttainedService struct {
	Tokens map[string]float64
}

// PlacementChanged brings the loads in progress that the placer published.
type PlacementChanged struct {
	Loads []Load
}

// Load is a model that an endpoint is loading.
type Load struct {
	Model    string
	Endpoint string
	// StartedAt is when the load started, on this node's clock.
	StartedAt time.Time
}

// Drain stops the admission of new requests. Waiting requests and retries of
// requests that already had a slot are still served until Until; the zero
// time means until their own deadlines.
type Drain struct {
	Until time.Time
}

// Tick tells the scheduler that its wake time has come.
type Tick struct{}

func (Admit) isMessage()            {}
func (Cancel) isMessage()           {}
func (Release) isMessage()          {}
func (FleetChanged) isMessage()     {}
func (CacheEvents) isMessage()      {}
func (AttainedService) isMessage()  {}
func (PlacementChanged) isMessage() {}
func (Drain) isMessage()            {}
func (Tick) isMessage()             {}

// Effect is what the scheduler wants done.
type Effect interface{ isEffect() }

// Grant answers a call with a slot.
type Grant struct {
	Call runner.Call
	Slot filter.Slot
}

// RefuseCall answers a call with a refusal. The request did not run.
type RefuseCall struct {
	Call    runner.Call
	Refusal filter.Refusal
}

// ReportDemand tells the placer that requests wait for a model.
type ReportDemand struct {
	Model            string
	Adapter          string
	Class            filter.Class
	Waiting          int
	EarliestDeadline time.Time
}

// PublishLoad spreads the load of this node, for the choice of addresses.
type PublishLoad struct {
	Waiting int
	// MaxWaiting is the number of requests that may wait.
	MaxWaiting int
	InUse      int
	Draining   bool
}

func (Grant) isEffect()        {}
func (RefuseCall) isEffect()   {}
func (ReportDemand) isEffect() {}
func (PublishLoad) isEffect()  {}
