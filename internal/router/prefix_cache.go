package router

import "github.com/cespare/xxhash/v2"

// maxPrefixes limits the number of prefixes kept for one endpoint.
const maxPrefixes = 256

// Probabilities that a known prefix is cached.
const (
	confirmedProbability   = 0.9 // stored according to an event; the removal event may be late
	unconfirmedProbability = 0.5 // assumed, or events were lost since
)

// PrefixCache is a node's view of an endpoint's prefix cache, built from events
// that may be late or lost.
type PrefixCache struct {
	// LastSequence is the sequence number of the latest event.
	LastSequence uint64
	// GapSequence is the sequence number before which an event was lost.
	GapSequence uint64
	// Prefixes maps a prefix key to the sequence number of the event that
	// stored the prefix, or to 0 if the prefix is only assumed to be cached
	// because a request with it was served.
	Prefixes map[uint64]uint64
	// KeysByAge holds the keys from the oldest to the newest.
	KeysByAge []uint64
}

// CacheEvent reports a prefix that was stored in or removed from a cache.
type CacheEvent struct {
	Sequence uint64
	// Model is the model's key.
	Model  string
	Prefix uint64
	Stored bool
}

func prefixKey(model string, prefix uint64) uint64 {
	return xxhash.Sum64String(model) ^ prefix
}

// Apply applies events to the view. Old events are skipped. A missing sequence
// number lowers the hit probability of all earlier entries. A last sequence
// number below the known one means that the endpoint restarted with an empty
// cache.
func (c *PrefixCache) Apply(events []CacheEvent, last uint64) {
	if last < c.LastSequence {
		*c = PrefixCache{}
	}
	for _, event := range events {
		if event.Sequence <= c.LastSequence {
			continue
		}
		if event.Sequence != c.LastSequence+1 {
			c.GapSequence = event.Sequence
		}
		c.LastSequence = event.Sequence
		key := prefixKey(event.Model, event.Prefix)
		if event.Stored {
			c.store(key, event.Sequence)
		} else {
			delete(c.Prefixes, key)
		}
	}
	if last > c.LastSequence {
		c.LastSequence, c.GapSequence = last, last+1
	}
}

// RecordServed records that an endpoint served a prefix and has probably cached
// it.
func (c *PrefixCache) RecordServed(model string, prefix uint64) {
	key := prefixKey(model, prefix)
	if _, ok := c.Prefixes[key]; !ok && prefix != 0 {
		c.store(key, 0)
	}
}

func (c *PrefixCache) store(key, sequence uint64) {
	if c.Prefixes == nil {
		c.Prefixes = map[uint64]uint64{}
	}
	if _, ok := c.Prefixes[key]; !ok {
		c.KeysByAge = append(c.KeysByAge, key)
	}
	c.Prefixes[key] = sequence
	if len(c.KeysByAge) > maxPrefixes {
		delete(c.Prefixes, c.KeysByAge[0])
		c.KeysByAge = append(c.KeysByAge[:0], c.KeysByAge[1:]...)
	}
}

// HitProbability returns the probability that a prefix is cached.
func (c *PrefixCache) HitProbability(model string, prefix uint64) float64 {
	if prefix == 0 {
		return 0
	}
	sequence, ok := c.Prefixes[prefixKey(model, prefix)]
	switch {
	case !ok:
		return 0
	case sequence == 0 || sequence < c.GapSequence:
		return unconfirmedProbability
	default:
		return confirmedProbability
	}
}
