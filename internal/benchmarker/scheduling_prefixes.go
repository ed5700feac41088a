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
	// eventLag is the delay of an engine's events and their way to the nodes.
	eventLag = 250 * time.Millisecond
	// eventsAtOnce is what the tracker passes on of 12 engines' events a
	// second: 32 for all of them.
	eventsAtOnce = 2
)

func cachedPrefix(r *request) emulator.EngineCachedPrefix {
	return emulator.EngineCachedPrefix{Model: r.admission.Model, Prefix: r.admission.Prefix}
}

// promptWork is the number of prompt tokens that the engine has to read.
func (e *engine) promptWork(r *request) float64 {
	work := float64(r.admission.PromptTokens)
	if r.admission.Prefix != 0 && e.cache.Contains(cachedPrefix(r)) {
		work *= 1 - cachedShare
	}
	return work
}

// tellPrefixes tells the nodes of new cache events, as the tracker does.
func (s *simulation) tellPrefixes() {
	if s.load.prefixes == 0 || s.load.silent {
		return
	}
	for _, e := range s.engines {
		last, events := e.cache.EventsSince(e.told, s.now, 0)
		if last == e.told {
			continue
		}
		e.told = last
		told := scheduler.CacheEvents{Endpoint: e.name, Last: last}
		for _, event := range events[max(0, len(events)-eventsAtOnce):] {
			told.Events = append(told.Events, router.CacheEvent{
				Sequence: event.Sequence, Model: event.Model, Prefix: event.Prefix, Stored: event.Stored,
			})
		}
		s.at(s.now.Add(eventLag), func() {
			for _, node := range s.nodes {
				s.step(node, told)
			}
		})
	}
	s.at(s.now.Add(tracker.EventsPollInterval), s.tellPrefixes)
}
