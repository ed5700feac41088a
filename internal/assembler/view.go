package assembler

import (
	"slices"
	"sync/atomic"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/platform"
)

// view holds state that requests read without a message to a task.
type view struct {
	configuration atomic.Pointer[currentConfiguration]
	directory     atomic.Pointer[directory]
	// proofDelayedUntil is the time before which this node's own reads of the store do not
	// prove the configuration to be the newest, nil if there is none.
	proofDelayedUntil atomic.Pointer[time.Time]
	// evacuated are the evacuated data centres, nil while no list is known.
	evacuated atomic.Pointer[[]string]
	// evacuatedReplicas is the number of replicas in evacuated data centres.
	evacuatedReplicas atomic.Int64
	// replicasAsOf is when the list of replicas was last known to be current, nil while no
	// list is known.
	replicasAsOf atomic.Pointer[time.Time]
}

// currentConfiguration is the configuration in force. currentAsOf is the latest
// time at which it is known to have been the newest.
type currentConfiguration struct {
	configuration *resolver.Configuration
	currentAsOf   time.Time
}

// Configuration implements forwarder.ConfigurationView.
func (v *view) Configuration() (*resolver.Configuration, time.Time) {
	current := v.configuration.Load()
	if current == nil {
		return nil, time.Time{}
	}
	return current.configuration, current.currentAsOf
}

// ProofDelayedUntil implements forwarder.ConfigurationView.
func (v *view) ProofDelayedUntil() time.Time {
	if until := v.proofDelayedUntil.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// holderCallers returns the nodes that callers may use as received from a holder, with
// their ages, which are below maxAge.
func (v *view) holderCallers(now time.Time, maxAge time.Duration) []planner.Caller {
	return v.directory.Load().callers(now, maxAge)
}

// maxAddresses limits the number of addresses in an answer of a large fleet.
// Callers choose among them at random, so a sample weighted by capacity
// distributes callers by capacity.
const maxAddresses = 10

// addresses returns the caller addresses of an answer. This node is always a candidate
// unless it is draining.
func (v *view) addresses(now time.Time, maxAge time.Duration, self planner.Caller, draining bool, regions directoryRegions) []string {
	callers := slices.DeleteFunc(v.holderCallers(now, maxAge), func(caller planner.Caller) bool { return caller.Address == self.Address })
	if !draining {
		callers = append(callers, self)
	}
	return chooseAddresses(callers, regions)
}

// minCapacity is the capacity that is assumed for a node whose settings do not
// state one.
const minCapacity = 0.01

// viewBounds returns the bounds of the view of the fleet. The configuration must also
// be current enough for the keys in it to be used.
func viewBounds(settings platform.Settings) surveyor.Bounds {
	bounds := settings.Bounds
	return surveyor.Bounds{
		ApplyWithin:       min(bounds.ApplyWithin, bounds.RevokeWithin-transitMargin+keyReadMargin),
		DrainWithin:       bounds.DrainWithin,
		EvacuateWithin:    bounds.EvacuateWithin,
		HeartbeatInterval: settings.HeartbeatInterval,
	}
}
