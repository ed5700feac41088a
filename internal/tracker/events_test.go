package tracker

import (
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against event traffic that grows with the number of engines, and
// against items with more than MaxEventsPerItem events, when one node observes
// all engines of a region and every read returns many new events.
func TestEventsStayWithinRegionLimits(t *testing.T) {
	const period = time.Minute
	for _, engines := range []int{1, 9, 100, 300} {
		tracker := New(spreader.Peer{Name: "n1", DataCentre: "dc-1", Region: "north"})
		list := InstanceList{Version: 1}
		for number := range engines {
			list.Instances = append(list.Instances, Instance{
				Name: fmt.Sprint("e", number), Kind: Engine, Phase: Live, DataCentre: "dc-1", Region: "north",
			})
		}
		items, events, largest := simulateEventsReads(tracker, list, period)
		seconds := period.Seconds()
		// The first read of each engine is immediate.
		if limit := float64(engines) + seconds*regionItemsPerSecond; float64(items) > limit {
			t.Errorf("%d engines: %d items in %s; want at most %.0f", engines, items, period, limit)
		}
		if limit := float64(engines*MaxEventsPerItem) + seconds*max(regionEventsPerSecond, regionItemsPerSecond); float64(events) > limit {
			t.Errorf("%d engines: %d events in %s; want at most %.0f", engines, events, period, limit)
		}
		if items == 0 || largest > MaxEventsPerItem {
			t.Errorf("%d engines: %d items with up to %d events; want some with at most %d", engines, items, largest, MaxEventsPerItem)
		}
	}
}

// simulateEventsReads runs the tracker for period and answers every read with
// 100 new events of an engine that serves requests. It returns the number of
// items and events that were pushed and the largest number of events in an item.
func simulateEventsReads(tracker *Tracker, list InstanceList, period time.Duration) (items, events, largest int) {
	now := tester.Start
	messages := []Message{ListPushed{list}}
	last := map[string]uint64{}
	for now.Before(tester.Start.Add(period)) {
		var effects []Effect
		if len(messages) > 0 {
			effects = tracker.Step(now, messages[0])
			messages = messages[1:]
		} else {
			now = tracker.Wake()
			effects = tracker.Step(now, Tick{})
		}
		for _, effect := range effects {
			switch effect := effect.(type) {
			case PollEvents:
				read := CacheEvents{Endpoint: effect.Endpoint, Last: last[effect.Endpoint] + 100}
				for sequence := effect.After + 1; sequence <= read.Last; sequence++ {
					read.Events = append(read.Events, router.CacheEvent{Sequence: sequence, Model: "m@1", Prefix: sequence, Stored: true})
				}
				last[effect.Endpoint] = read.Last
				messages = append(messages, AttemptEnded{Endpoint: effect.Endpoint, Answered: true}, EventsRead{read})
			case PushEvents:
				items++
				events += len(effect.Events.Events)
				largest = max(largest, len(effect.Events.Events))
			}
		}
	}
	return items, events, largest
}
