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
	// cachedShare the share of the prefill work that a cached prefix saves.
	enginePrefixes = 64
	cachedShare    = 0.8
	// cacheEventDelay is the delay from an event on an engine to its delivery
	// at the nodes.
	cacheEventDelay = 250 * time.Millisecond
	// cacheEventsPerBatch is the number of events per engine that the tracker
	// forwards each second, as it forwards 32 events a second for all of the 12
	// engines.
	cacheEventsPerBatch = 2
)

func cachedPrefix(r *schedulingRequest) emulator.EngineCachedPrefix {
	return emulator.EngineCachedPrefix{Model: r.admission.Model, Prefix: r.admission.Prefix}
}

// prefillTokens returns the number of prompt tokens that the engine has to
// process.
func (e *schedulingEngine) prefillTokens(r *schedulingRequest) float64 {
	work := float64(r.admission.PromptTokens)
	if r.admission.Prefix != 0 && e.cache.Contains(cachedPrefix(r)) {
		work *= 1 - cachedShare
	}
	return work
}

// publishCacheEvents sends new cache events to the nodes, as the tracker does.
func (s *schedulingSimulation) publishCacheEvents() {
	if s.load.prefixes == 0 || s.load.noCacheEvents {
		return
	}
	for _, e := range s.engines {
		last, events := e.cache.EventsSince(e.lastSentEvent, s.now, 0)
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
	s.schedule(s.now.Add(tracker.EventsPollInterval), s.publishCacheEvents)
}
