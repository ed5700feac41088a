package assembler

import (
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
}

type provenConfiguration struct {
	configuration *resolver.Configuration
	provenAt      time.Time
}

// directory is what this node knows of the addresses for callers.
type directory struct {
	// callers are the addresses that the holder gave at a time.
	callers []string
	heardAt time.Time
	// registered are the addresses of all registered nodes.
	registered []string
}

// Configuration implements forwarder.View.
func (v *view) Configuration() (*resolver.Configuration, time.Time) {
	known := v.configuration.Load()
	if known == nil {
		return nil, time.Time{}
	}
	return known.configuration, known.provenAt
}

// directoryAge is how long the holder's addresses are used after it was last
// heard; then all registered nodes are named, because one of them must be
// reachable.
const directoryAge = 5 * time.Second

// addresses returns the addresses to name to callers, in random order.
func (v *view) addresses(now time.Time, self string, draining bool) []string {
	known := v.directory.Load()
	var addresses []string
	switch {
	case known == nil:
	case now.Sub(known.heardAt) < directoryAge && len(known.callers) > 0:
		addresses = slices.Clone(known.callers)
	default:
		addresses = slices.Clone(known.registered)
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == self })
	if !draining {
		addresses = append(addresses, self)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
