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
// heard. It is longer than the time without a holder after a crash.
const directoryAge = 8 * time.Second

// told returns the addresses that a holder gave not long ago.
func (v *view) told(now time.Time) []string {
	known := v.directory.Load()
	if known == nil || now.Sub(known.heardAt) > directoryAge {
		return nil
	}
	return known.callers
}

// addresses returns the addresses to name to callers, in random order.
func (v *view) addresses(now time.Time, self string, draining bool) []string {
	addresses := slices.Clone(v.told(now))
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == self })
	if !draining {
		addresses = append(addresses, self)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
