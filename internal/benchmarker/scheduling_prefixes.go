package benchmarker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	// enginePrefixes is the number of prefixes that an engine caches, and
	// cachedShare the part of a prompt that a cached prefix saves.
	enginePrefixes = 64
	cachedShare    = 0.8
	// cacheEventDelay is the delay of an engine's events and their way to the nodes.
	cacheEventDelay = 250 * time.Millisecond
	// cacheEventsPerBatch is what the tracker passes on of 12 engines' events a
	// second: 32 for all of them.
	cacheEventsPerBatch = 2
)

func cachedPrefix(r *schedulingRequest) emulator.EngineCachedPrefix {
	return emulator.EngineCachedPrefix{Model: r.admission.Model, Prefix: r.admission.Prefix}
}

// prefillTokens is the number of prompt tokens that the engine has to read.
func (e *schedulingEngine) prefillTokens(r *schedulingRequest) float64 {
	work := float64(r.admission.PromptTokens)
	if r.admission.Prefix != 0 && e.cache.Has(cachedPrefix(r)) {
		work *= 1 - cachedShare
	}
	return work
}

// publishCacheEvents tells the nodes of new cache events, as the tracker does.
func (s *schedulingSimulation) publishCacheEvents() {
	if s.load.prefixes == 0 || s.load.noCacheEvents {
		return
	}
	for _, e := range s.engines {
		last, events := e.cache.Since(e.lastSentEvent, s.now, 0)
		if last == e.lastSentEvent {
			continue
		}
		e.lastSentEvent = last
		message := scheduler.CacheEvents{Endpoint: e.name, Last: last}
		for _, event := range events[max(0, len(events)-cacheEventsPerBatch):] {
			message.Events = append(message.Events, router.CacheEvent{
				Sequence: event.Sequence, Model: event.Model, Prefix: event.Prefix, Stored: event.Stored,
			})
		}
		s.schedule(s.now.Add(cacheEventDelay), func() {
			for _, node := range s.nodes {
				s.step(node, message)
			}
		})
	}
	s.schedule(s.now.Add(tracker.EventsEvery), s.publishCacheEvents)
}
