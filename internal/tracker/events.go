package tracker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
)

// Periods and bounds of the prefix-cache events.
const (
	// EventsEvery is how often an endpoint that serves is asked for its
	// events, and eventsIdle how often any other: a request that is shorter
	// than the time between two load reports goes unseen.
	EventsEvery = time.Second
	eventsIdle  = 5 * time.Second
	// servedLately is how long an endpoint counts as serving after its last
	// request that was seen. Events are late by up to some seconds.
	servedLately = 10 * time.Second
	// MaxEvents bounds the events of one item.
	MaxEvents = 64
	// regionEvents bounds the events a second of all endpoints of a region,
	// each of which every node receives with about 45 bytes.
	regionEvents = 32
	// regionItems bounds the items a second of a region, since an item costs
	// about 200 bytes without its events.
	regionItems = 16
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
	// At is the time of the next reading; zero while one is under way.
	At time.Time
	// Last is the newest sequence that was read.
	Last uint64
	// ServedAt is when the endpoint was last seen to serve something.
	ServedAt time.Time
	// PushedAt is when events were last pushed.
	PushedAt time.Time
}

// eventsDue adds the readings that are due of the endpoints that this node
// observes.
func (t *Tracker) eventsDue(now time.Time) []Effect {
	var effects []Effect
	for _, instance := range t.List.Instances {
		poll, mine := t.Events[instance.Name]
		if !mine || poll.At.IsZero() || now.Before(poll.At) {
			continue
		}
		poll.At = time.Time{}
		t.Events[instance.Name] = poll
		effects = append(effects, PollEvents{Endpoint: instance.Name, Address: instance.Address, After: poll.Last})
	}
	return effects
}

// served notes that an endpoint works, and reads its events soon if it did not
// before.
func (t *Tracker) served(now time.Time, endpoint string) {
	poll, mine := t.Events[endpoint]
	if !mine {
		return
	}
	if now.Sub(poll.ServedAt) >= servedLately && poll.At.After(now.Add(EventsEvery)) {
		poll.At = now.Add(EventsEvery)
	}
	poll.ServedAt = now
	t.Events[endpoint] = poll
}

// eventsDone plans the next reading.
func (t *Tracker) eventsDone(now time.Time, poll EventsPoll) EventsPoll {
	poll.At = now.Add(t.eventsPeriod())
	if now.Sub(poll.ServedAt) >= servedLately {
		poll.At = now.Add(max(t.eventsPeriod(), eventsIdle))
	}
	return poll
}

// eventsPeriod grows with the number of engines of the region, so that the
// items of all of them stay within regionItems.
func (t *Tracker) eventsPeriod() time.Duration {
	return max(EventsEvery, time.Duration(t.engines())*time.Second/regionItems)
}

// engines counts the engines of this node's region.
func (t *Tracker) engines() int {
	count := 0
	for _, instance := range t.List.Instances {
		if instance.Kind == Engine && instance.Region == t.Self.Region {
			count++
		}
	}
	return count
}

func (t *Tracker) eventsFailed(now time.Time, endpoint string) {
	if poll, mine := t.Events[endpoint]; mine {
		t.Events[endpoint] = t.eventsDone(now, poll)
	}
}

// eventsRead passes new events on. A last sequence below the known one means
// that the endpoint has started again: its events are read from the beginning.
func (t *Tracker) eventsRead(now time.Time, read CacheEvents) []Effect {
	poll, mine := t.Events[read.Endpoint]
	switch {
	case !mine:
		return nil
	case read.Last < poll.Last:
		poll.Last, poll.At = 0, now
		t.Events[read.Endpoint] = poll
		return nil
	}
	unchanged := read.Last == poll.Last
	poll.Last = read.Last
	poll = t.eventsDone(now, poll)
	if unchanged {
		t.Events[read.Endpoint] = poll
		return nil
	}
	read.Events = read.Events[max(0, len(read.Events)-t.eventsBound(now, poll)):]
	poll.PushedAt = now
	t.Events[read.Endpoint] = poll
	return []Effect{PushEvents{read}}
}

// eventsBound is how many events of an endpoint may be pushed now: its part of
// regionEvents since the last time. What is left out shows as a gap.
func (t *Tracker) eventsBound(now time.Time, poll EventsPoll) int {
	since := min(now.Sub(poll.PushedAt), time.Minute)
	part := regionEvents * since.Seconds() / float64(max(1, t.engines()))
	return min(max(1, int(part)), MaxEvents)
}
