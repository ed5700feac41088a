package tracker

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
)

// Intervals and limits of prefix-cache events.
const (
	// EventsPollInterval is the minimum interval between reads of the events
	// of an endpoint that serves requests. Other endpoints are read every
	// idleEventsPollInterval, because a request that is shorter than the
	// interval between two load reports is not visible in them.
	EventsPollInterval     = time.Second
	idleEventsPollInterval = 5 * time.Second
	// servingWindow is how long an endpoint counts as serving after its last
	// observed request. Events can be delayed by several seconds.
	servingWindow = 10 * time.Second
	// MaxEventsPerItem bounds the events in one item pushed to other nodes.
	MaxEventsPerItem = 64
	// regionEventsPerSecond bounds the events pushed per second for all
	// endpoints of a region. Every node of the region receives each event,
	// which takes about 45 bytes.
	regionEventsPerSecond = 32
	// regionItemsPerSecond bounds the items pushed per second for a region,
	// since an item takes about 200 bytes in addition to its events.
	regionItemsPerSecond = 16
)

// CacheEvents are prefix-cache events of one endpoint.
type CacheEvents struct {
	Endpoint string
	// Last is the newest sequence number at the endpoint.
	Last uint64
	// Events are sorted by sequence number. A missing number is a gap.
	Events []router.CacheEvent
}

// EventsPoll is the state of reading one endpoint's events.
type EventsPoll struct {
	// NextAt is the time of the next read; zero while a read is in progress.
	NextAt time.Time
	// Last is the newest sequence number that was read.
	Last uint64
	// ServedAt is when the endpoint was last observed to serve a request.
	ServedAt time.Time
	// PushedAt is when events were last pushed.
	PushedAt time.Time
}

// startEventsPolls starts the reads of events that are due, for the endpoints
// that this node observes.
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

// recordServed records that an endpoint serves requests. If it was idle before,
// its next read is moved forward to EventsPollInterval from now.
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

// scheduleEventsPoll sets the time of the next read.
func (t *Tracker) scheduleEventsPoll(now time.Time, poll EventsPoll) EventsPoll {
	poll.NextAt = now.Add(t.eventsPollInterval())
	if now.Sub(poll.ServedAt) >= servingWindow {
		poll.NextAt = now.Add(max(t.eventsPollInterval(), idleEventsPollInterval))
	}
	return poll
}

// eventsPollInterval returns the interval between reads of an endpoint that
// serves requests. It grows with the number of engines in the region, so that
// the items of all of them stay within regionItemsPerSecond.
func (t *Tracker) eventsPollInterval() time.Duration {
	return max(EventsPollInterval, time.Duration(t.countRegionEngines())*time.Second/regionItemsPerSecond)
}

// countRegionEngines returns the number of engines in this node's region.
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

// handleEventsRead pushes new events to the other nodes. If the endpoint's last
// sequence number is below the one read before, the endpoint has restarted, and
// its events are read again from the beginning.
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

// maxPushedEvents returns how many events of an endpoint may be pushed now: its
// share of regionEventsPerSecond for the time since its last push. Receivers see
// omitted events as a gap in the sequence numbers.
func (t *Tracker) maxPushedEvents(now time.Time, poll EventsPoll) int {
	elapsed := min(now.Sub(poll.PushedAt), time.Minute)
	share := regionEventsPerSecond * elapsed.Seconds() / float64(max(1, t.countRegionEngines()))
	return min(max(1, int(share)), MaxEventsPerItem)
}
