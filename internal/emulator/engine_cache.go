package emulator

import (
	"slices"
	"time"
)

// EngineCheckpointCache is an LRU cache of checkpoints with a limit on their
// total size. Entries are ordered from least to most recently used.
type EngineCheckpointCache struct {
	LimitMB int
	Entries []EngineCheckpoint
}

// Add inserts a checkpoint as the most recently used one and returns the
// evicted ones, which include the new one if it is above the limit itself.
func (c *EngineCheckpointCache) Add(checkpoint EngineCheckpoint) []EngineCheckpoint {
	c.Remove(checkpoint.Model)
	c.Entries = append(c.Entries, checkpoint)
	usedMB := 0
	for _, entry := range c.Entries {
		usedMB += entry.MemoryMB
	}
	var evicted []EngineCheckpoint
	for usedMB > c.LimitMB {
		evicted = append(evicted, c.Entries[0])
		usedMB -= c.Entries[0].MemoryMB
		c.Entries = c.Entries[1:]
	}
	return evicted
}

// Remove removes a checkpoint and reports whether it was cached.
func (c *EngineCheckpointCache) Remove(model string) bool {
	before := len(c.Entries)
	c.Entries = slices.DeleteFunc(c.Entries, func(entry EngineCheckpoint) bool { return entry.Model == model })
	return len(c.Entries) < before
}

// EnginePrefixEvent reports that a prompt prefix was stored or removed.
type EnginePrefixEvent struct {
	Sequence uint64
	Model    string
	Prefix   uint64
	Stored   bool
	// At is the time of the change. Readers get the event later, after
	// EngineSettings.EventDelay.
	At time.Time
}

// EngineCachedPrefix identifies the start of a prompt to a model by its hash.
type EngineCachedPrefix struct {
	Model  string
	Prefix uint64
}

// maxPrefixEvents is the number of latest events kept for readers that lag.
const maxPrefixEvents = 1024

// EnginePrefixCache is an LRU cache of prompt prefixes with a limit on their
// number. Entries are ordered from least to most recently used.
type EnginePrefixCache struct {
	Limit    int
	Entries  []EngineCachedPrefix
	Events   []EnginePrefixEvent
	Sequence uint64
}

// Contains reports whether a prefix is cached.
func (c *EnginePrefixCache) Contains(prefix EngineCachedPrefix) bool {
	return slices.Contains(c.Entries, prefix)
}

// Touch stores a prefix, or marks it as the most recently used one if it is
// cached.
func (c *EnginePrefixCache) Touch(now time.Time, prefix EngineCachedPrefix) {
	if index := slices.Index(c.Entries, prefix); index >= 0 {
		c.Entries = append(slices.Delete(c.Entries, index, index+1), prefix)
		return
	}
	c.Entries = append(c.Entries, prefix)
	c.recordEvent(now, prefix, true)
	if len(c.Entries) > c.Limit {
		c.recordEvent(now, c.Entries[0], false)
		c.Entries = slices.Delete(c.Entries, 0, 1)
	}
}

// RemoveModel removes all prefixes of a model.
func (c *EnginePrefixCache) RemoveModel(now time.Time, model string) {
	c.Entries = slices.DeleteFunc(c.Entries, func(entry EngineCachedPrefix) bool {
		if entry.Model != model {
			return false
		}
		c.recordEvent(now, entry, false)
		return true
	})
}

func (c *EnginePrefixCache) recordEvent(now time.Time, prefix EngineCachedPrefix, stored bool) {
	c.Sequence++
	c.Events = append(c.Events, EnginePrefixEvent{
		Sequence: c.Sequence, Model: prefix.Model, Prefix: prefix.Prefix, Stored: stored, At: now,
	})
	if len(c.Events) > maxPrefixEvents {
		c.Events = slices.Delete(c.Events, 0, len(c.Events)-maxPrefixEvents)
	}
}

// EventsSince returns the events with a sequence number above after that
// occurred no later than until, without every gap-th one (0 omits none). Last is
// the latest sequence number at until, also if that event was omitted.
func (c *EnginePrefixCache) EventsSince(after uint64, until time.Time, gap int) (last uint64, events []EnginePrefixEvent) {
	if len(c.Events) > 0 {
		last = c.Events[0].Sequence - 1
	}
	for _, event := range c.Events {
		if event.At.After(until) {
			break
		}
		last = event.Sequence
		skipped := gap > 0 && event.Sequence%uint64(gap) == 0
		if event.Sequence > after && !skipped {
			events = append(events, event)
		}
	}
	return last, events
}
