package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Message is an input of the controller.
type Message interface{ isMessage() }

// Admit requests a slot. It is answered by Grant or RefuseCall.
type Admit struct {
	Call      runner.Call
	Admission filter.Admission
}

// Cancel reports that the caller of a request has disconnected. A slot that was
// already granted to the request is released.
type Cancel struct {
	Call runner.Call
}

// Release releases a slot.
type Release struct {
	SlotID uint64
	Result filter.SlotResult
}

// FleetChanged carries a new view of the instances and their reports.
type FleetChanged struct {
	Fleet tracker.Fleet
}

// CacheEvents carries prefix-cache events of one endpoint.
type CacheEvents struct {
	Endpoint string
	// Last is the newest event sequence number at the endpoint.
	Last   uint64
	Events []router.CacheEvent
}

// AttainedService carries the number of tokens that each workspace received
// recently in the whole fleet. Workspaces that are missing received none.
type AttainedService struct {
	Tokens map[string]float64
}

// PlacementChanged carries the loads in progress that the placer published.
type PlacementChanged struct {
	Loads []Load
}

// Load is a model load in progress on an endpoint.
type Load struct {
	Model    string
	Endpoint string
	// StartedAt is when the load started, on this node's clock.
	StartedAt time.Time
}

// Drain stops the admission of new requests. Waiting requests and retries of
// requests that already had a slot are still served until Until, or until their
// own deadlines if Until is zero.
type Drain struct {
	Until time.Time
}

// Tick is sent when the controller's wake time has come.
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

// Effect is an output of the controller, executed by the task.
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

// ReportDemand reports to the placer that requests are waiting for a model.
type ReportDemand struct {
	Model            string
	Adapter          string
	Class            filter.Class
	Waiting          int
	EarliestDeadline time.Time
}

// PublishLoad publishes the load of this node, which is used to choose the
// addresses of nodes.
type PublishLoad struct {
	Waiting int
	// MaxWaiting is the limit of waiting requests.
	MaxWaiting int
	InUse      int
	Draining   bool
}

func (Grant) isEffect()        {}
func (RefuseCall) isEffect()   {}
func (ReportDemand) isEffect() {}
func (PublishLoad) isEffect()  {}
