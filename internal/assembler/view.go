package assembler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// view holds state that requests read without a message to a task.
type view struct {
	configuration atomic.Pointer[currentConfiguration]
	directory     atomic.Pointer[directory]
	// capacities holds the capacity of each registered node by its caller
	// address.
	capacities atomic.Pointer[map[string]float64]
}

// currentConfiguration is the configuration in force. currentAsOf is the latest
// time at which it is known to have been the newest.
type currentConfiguration struct {
	configuration *resolver.Configuration
	currentAsOf   time.Time
}

// directory holds the caller addresses that this node received from the
// holder.
type directory struct {
	// callers are the addresses in the holder's answer to the report that was
	// started at asOf.
	callers []string
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

// maxDirectoryAge is how long the holder's addresses are used after the last
// answer of a holder. It is longer than the time without a holder after a
// crash.
const maxDirectoryAge = 8 * time.Second

// holderAddresses returns the addresses received from the holder, or nil if
// they are older than maxDirectoryAge.
func (v *view) holderAddresses(now time.Time) []string {
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
// in random order. Nodes with a larger capacity are included more often.
func (v *view) addresses(now time.Time, self string, draining bool) []string {
	addresses := slices.Clone(v.holderAddresses(now))
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == self })
	if !draining {
		addresses = append(addresses, self)
	}
	keys := make(map[string]float64, len(addresses))
	for _, address := range addresses {
		// The smallest keys of exponential draws with rate equal to the weight
		// form a weighted sample without replacement.
		keys[address] = rand.ExpFloat64() / v.capacity(address)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(keys[a], keys[b]) })
	return addresses[:min(maxAddresses, len(addresses))]
}

// capacity returns the capacity of a node by its caller address, or the same
// default for all nodes whose capacity is not known.
func (v *view) capacity(address string) float64 {
	const defaultCapacity = 0.1
	if capacities := v.capacities.Load(); capacities != nil && (*capacities)[address] > 0 {
		return (*capacities)[address]
	}
	return defaultCapacity
}
