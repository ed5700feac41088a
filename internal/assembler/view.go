package assembler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
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
}

// currentConfiguration is the configuration in force. currentAsOf is the latest
// time at which it is known to have been the newest.
type currentConfiguration struct {
	configuration *resolver.Configuration
	currentAsOf   time.Time
}

// directory holds the nodes that callers may use, as of asOf, as received from the
// holder.
type directory struct {
	callers []planner.Caller
	asOf    time.Time
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

// maxDirectoryAge is how long the holder's list is used after the last answer of a
// holder. It is longer than the time without a holder after a crash.
const maxDirectoryAge = 6 * time.Second

// holderCallers returns the nodes that callers may use as received from the
// holder, or nil if they are older than maxDirectoryAge.
func (v *view) holderCallers(now time.Time) []planner.Caller {
	current := v.directory.Load()
	if current == nil || now.Sub(current.asOf) > maxDirectoryAge {
		return nil
	}
	return current.callers
}

// maxAddresses limits the number of addresses in an answer of a large fleet.
// Callers choose among them at random, so a sample weighted by capacity
// distributes callers by capacity.
const maxAddresses = 10

// addresses returns the caller addresses of an answer, sampled by capacity and
// in random order. Nodes with a larger capacity are included more often. This
// node is always a candidate for the sample unless it is draining.
func (v *view) addresses(now time.Time, self planner.Caller, draining bool) []string {
	callers := slices.DeleteFunc(slices.Clone(v.holderCallers(now)), func(caller planner.Caller) bool { return caller.Address == self.Address })
	if !draining {
		callers = append(callers, self)
	}
	addresses := make([]string, 0, len(callers))
	keys := make(map[string]float64, len(callers))
	for _, caller := range callers {
		addresses = append(addresses, caller.Address)
		// The smallest keys of exponential draws with rate equal to the weight
		// form a weighted sample without replacement.
		keys[caller.Address] = rand.ExpFloat64() / max(caller.Capacity, minCapacity)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(keys[a], keys[b]) })
	return addresses[:min(maxAddresses, len(addresses))]
}

// minCapacity is the capacity that is assumed for a node whose settings do not
// state one.
const minCapacity = 0.01
