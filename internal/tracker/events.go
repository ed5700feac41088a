package tracker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
)

// Periods and bounds of the prefix-cache events.
const (
	// EventsPollInterval is how often an endpoint that serves is asked for its
	// events, and idleEventsPollInterval how often any other: a request that is shorter
	// than the time between two load reports goes unseen.
	EventsPollInterval     = time.Second
	idleEventsPollInterval = 5 * time.Second
	// servingWindow is how long an endpoint counts as serving after its last
	// request that was seen. Events are late by up to some seconds.
	servingWindow = 10 * time.Second
	// MaxEventsPerItem bounds the events of one item.
	MaxEventsPerItem = 64
	// regionEventsPerSecond bounds the events a second of all endpoints of a region,
	// each of which every node receives with about 45 bytes.
	regionEventsPerSecond = 32
	// regionItemsPerSecond bounds the items a second of a region, since an item costs
	// about 200 bytes without its events.
	regionItemsPerSecond = 16
)

// CacheEvents are prefix-cache events of one endpoint.
type CacheEvents struct {
	Endpoint string
	// Last is the newest sequence that the endpoint has.
	Last uint64
	// Events are in the order of their sequences; a missing one is a gap.
	Events []router.CacheEvent
}

// EventsPoll is the state of the reading of one endpoint's events.
type EventsPoll struct {
	// NextAt is the time of the next reading; zero while one is under way.
	NextAt time.Time
	// Last is the newest sequence that was read.
	Last uint64
	// ServedAt is when the endpoint was last seen to serve something.
	ServedAt time.Time
	// PushedAt is when events were last pushed.
	PushedAt time.Time
}

// startEventsPolls adds the readings that are due of the endpoints that this node
// observes.
func (t *Tracker) startEventsPolls(now time.Time) []Effect {
	var effects []Effect
	for _, instance := range t.List.Instances {
		poll, observed := t.EventsPolls[instance.Name]
		if !observed || poll.NextAt.IsZero() || now.Before(poll.NextAt) {
			continue
		}
		poll.NextAt = time.Time{}
		t.EventsPolls[instance.Name] = poll
		effects = append(effects, PollEvents{Endpoint: instance.Name, Address: instance.Address, After: poll.Last})
	}
	return effects
}

// served notes that an endpoint works, and reads its events soon if it did not
// before.
func (t *Tracker) recordServed(now time.Time, endpoint string) {
	poll, observed := t.EventsPolls[endpoint]
	if !observed {
		return
	}
	if now.Sub(poll.ServedAt) >= servingWindow && poll.NextAt.After(now.Add(EventsPollInterval)) {
		poll.NextAt = now.Add(EventsPollInterval)
	}
	poll.ServedAt = now
	t.EventsPolls[endpoint] = poll
}

// scheduleEventsPoll plans the next reading.
func (t *Tracker) scheduleEventsPoll(now time.Time, poll EventsPoll) EventsPoll {
	poll.NextAt = now.Add(t.eventsPollInterval())
	if now.Sub(poll.ServedAt) >= servingWindow {
		poll.NextAt = now.Add(max(t.eventsPollInterval(), idleEventsPollInterval))
	}
	return poll
}

// eventsPollInterval grows with the number of engines of the region, so that the
// items of all of them stay within regionItemsPerSecond.
func (t *Tracker) eventsPollInterval() time.Duration {
	return max(EventsPollInterval, time.Duration(t.countRegionEngines())*time.Second/regionItemsPerSecond)
}

// engines counts the engines of this node's region.
func (t *Tracker) countRegionEngines() int {
	count := 0
	for _, instance := range t.List.Instances {
		if instance.Kind == Engine && instance.Region == t.Self.Region {
			count++
		}
	}
	return count
}

func (t *Tracker) handleEventsFailed(now time.Time, endpoint string) {
	if poll, observed := t.EventsPolls[endpoint]; observed {
		t.EventsPolls[endpoint] = t.scheduleEventsPoll(now, poll)
	}
}

// handleEventsRead passes new events on. A last sequence below the known one means
// that the endpoint has started again: its events are read from the beginning.
func (t *Tracker) handleEventsRead(now time.Time, events CacheEvents) []Effect {
	poll, observed := t.EventsPolls[events.Endpoint]
	switch {
	case !observed:
		return nil
	case events.Last < poll.Last:
		poll.Last, poll.NextAt = 0, now
		t.EventsPolls[events.Endpoint] = poll
		return nil
	}
	unchanged := events.Last == poll.Last
	poll.Last = events.Last
	poll = t.scheduleEventsPoll(now, poll)
	if unchanged {
		t.EventsPolls[events.Endpoint] = poll
		return nil
	}
	events.Events = events.Events[max(0, len(events.Events)-t.maxPushedEvents(now, poll)):]
	poll.PushedAt = now
	t.EventsPolls[events.Endpoint] = poll
	return []Effect{PushEvents{events}}
}

// maxPushedEvents is how many events of an endpoint may be pushed now: its part of
// regionEventsPerSecond since the last time. What is left out shows as a gap.
func (t *Tracker) maxPushedEvents(now time.Time, poll EventsPoll) int {
	elapsed := min(now.Sub(poll.PushedAt), time.Minute)
	share := regionEventsPerSecond * elapsed.Seconds() / float64(max(1, t.countRegionEngines()))
	return min(max(1, int(share)), MaxEventsPerItem)
}
