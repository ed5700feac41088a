package assembler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
)

// view holds what requests read without asking a task.
type view struct {
	configuration atomic.Pointer[provenConfiguration]
	directory     atomic.Pointer[directory]
	// capacities holds the capacity of each registered node by its address
	// for callers.
	capacities atomic.Pointer[map[string]float64]
}

type provenConfiguration struct {
	configuration *resolver.Configuration
	provenAt      time.Time
}

// directory is what this node knows of the addresses for callers.
type directory struct {
	// callers are the addresses that the holder gave at a time.
	callers    []string
	receivedAt time.Time
}

// Configuration implements forwarder.View.
func (v *view) Configuration() (*resolver.Configuration, time.Time) {
	current := v.configuration.Load()
	if current == nil {
		return nil, time.Time{}
	}
	return current.configuration, current.provenAt
}

// maxDirectoryAge is how long the holder's addresses are used after it was last
// heard. It is longer than the time without a holder after a crash.
const maxDirectoryAge = 8 * time.Second

// holderAddresses returns the addresses that a holder gave not long ago.
func (v *view) holderAddresses(now time.Time) []string {
	current := v.directory.Load()
	if current == nil || now.Sub(current.receivedAt) > maxDirectoryAge {
		return nil
	}
	return current.callers
}

// maxAddresses is the number of addresses in an answer of a large fleet. Callers
// pick among them at random, so that a sample by capacity spreads them by it.
const maxAddresses = 10

// addresses returns the addresses to name to callers, in random order and more
// often those of large nodes.
func (v *view) addresses(now time.Time, self string, draining bool) []string {
	addresses := slices.Clone(v.holderAddresses(now))
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == self })
	if !draining {
		addresses = append(addresses, self)
	}
	keys := make(map[string]float64, len(addresses))
	for _, address := range addresses {
		// The smallest of exponential draws are a sample by weight.
		keys[address] = rand.ExpFloat64() / v.capacity(address)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(keys[a], keys[b]) })
	return addresses[:min(maxAddresses, len(addresses))]
}

// capacity returns the capacity of a node, the same for all that are unknown.
func (v *view) capacity(address string) float64 {
	const defaultCapacity = 0.1
	if capacities := v.capacities.Load(); capacities != nil && (*capacities)[address] > 0 {
		return (*capacities)[address]
	}
	return defaultCapacity
}
