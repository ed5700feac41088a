package router

import "github.com/cespare/xxhash/v2"

// maxPrefixes bounds the prefixes remembered for one endpoint.
const maxPrefixes = 256

// Confidence in a remembered prefix.
const (
	confirmed = 0.9 // an event said that it was stored; its removal may be late
	doubtful  = 0.5 // assumed, or events were lost since
)

// Locality is what a node knows of an endpoint's prefix cache from events
// that are late and have gaps.
type Locality struct {
	// Last is the sequence of the newest event.
	Last uint64
	// GapAt is the sequence before which an event was lost.
	GapAt uint64
	// Prefixes maps a key to the sequence of the event that stored it, 0 if
	// it is only assumed because a request with it was served.
	Prefixes map[uint64]uint64
	// Order holds the keys from the oldest to the newest.
	Order []uint64
}

// CacheEvent is a prefix that was stored in or removed from a cache.
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

// Apply takes events in. Old events are skipped, a missing sequence makes
// everything that was known before doubtful, and a last sequence below the
// known one means that the endpoint restarted with an empty cache.
func (l *Locality) Apply(events []CacheEvent, last uint64) {
	if last < l.Last {
		*l = Locality{}
	}
	for _, event := range events {
		if event.Sequence <= l.Last {
			continue
		}
		if event.Sequence != l.Last+1 {
			l.GapAt = event.Sequence
		}
		l.Last = event.Sequence
		key := prefixKey(event.Model, event.Prefix)
		if event.Stored {
			l.remember(key, event.Sequence)
		} else {
			delete(l.Prefixes, key)
		}
	}
	if last > l.Last {
		l.Last, l.GapAt = last, last+1
	}
}

// Assume notes that an endpoint served a prefix and probably keeps it.
func (l *Locality) Assume(model string, prefix uint64) {
	key := prefixKey(model, prefix)
	if _, ok := l.Prefixes[key]; !ok && prefix != 0 {
		l.remember(key, 0)
	}
}

func (l *Locality) remember(key, sequence uint64) {
	if l.Prefixes == nil {
		l.Prefixes = map[uint64]uint64{}
	}
	if _, ok := l.Prefixes[key]; !ok {
		l.Order = append(l.Order, key)
	}
	l.Prefixes[key] = sequence
	if len(l.Order) > maxPrefixes {
		delete(l.Prefixes, l.Order[0])
		l.Order = append(l.Order[:0], l.Order[1:]...)
	}
}

// Confidence returns how probable it is that a prefix is cached.
func (l *Locality) Confidence(model string, prefix uint64) float64 {
	if prefix == 0 {
		return 0
	}
	sequence, ok := l.Prefixes[prefixKey(model, prefix)]
	switch {
	case !ok:
		return 0
	case sequence == 0 || sequence < l.GapAt:
		return doubtful
	default:
		return confirmed
	}
}
