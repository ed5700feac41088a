package emulator

import (
	"slices"
	"time"
)

// EngineCheckpointCache keeps checkpoints up to a bound, least recently used first.
type EngineCheckpointCache struct {
	LimitMB int
	Entries []EngineCheckpoint
}

// Add puts a checkpoint in as the most recently used one and returns those
// that had to leave, which may include the new one.
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

// Take removes a checkpoint and says whether it was there.
func (c *EngineCheckpointCache) Remove(model string) bool {
	before := len(c.Entries)
	c.Entries = slices.DeleteFunc(c.Entries, func(entry EngineCheckpoint) bool { return entry.Model == model })
	return len(c.Entries) < before
}

// EnginePrefixEvent tells that a prompt prefix was stored or dropped.
type EnginePrefixEvent struct {
	Sequence uint64
	Model    string
	Prefix   uint64
	Stored   bool
	// At is when it happened; the event appears later.
	At time.Time
}

// EngineCachedPrefix is the start of a prompt of one model.
type EngineCachedPrefix struct {
	Model  string
	Prefix uint64
}

// maxPrefixEvents bounds the events kept for readers that come late.
const maxPrefixEvents = 1024

// EnginePrefixCache keeps prompt prefixes up to a bound, least recently used first.
type EnginePrefixCache struct {
	Limit    int
	Entries  []EngineCachedPrefix
	Events   []EnginePrefixEvent
	Sequence uint64
}

// Has says whether a prefix is cached.
func (c *EnginePrefixCache) Contains(prefix EngineCachedPrefix) bool {
	return slices.Contains(c.Entries, prefix)
}

// Use stores a prefix or marks it as the most recently used one.
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

// Drop removes all prefixes of a model.
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

// Since returns the events after a sequence that happened until a time, but
// for every gap-th one, and the newest sequence until then.
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
