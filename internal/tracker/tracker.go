package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
)

// Intervals and limits of the controller.
const (
	// ListWait is how long one watch of the list waits for a change.
	ListWait = 2 * time.Second
	// PollInterval is how often an endpoint's load report is requested.
	// loadingPollInterval applies while the endpoint loads a model or adapter,
	// since requests are waiting for the load to complete.
	PollInterval        = 250 * time.Millisecond
	loadingPollInterval = 50 * time.Millisecond
	// publishDelay is the delay from the first change to the publication of a
	// view, so that changes in quick succession result in one view.
	publishDelay = 20 * time.Millisecond
	// listRetryDelay is the delay before a retry after a failed read of the
	// list.
	listRetryDelay = time.Second
	// maxListAge is the time since the last confirmation of the list after
	// which a node that is not a relay reads the list from the platform
	// itself. directWatchInterval is how often such a node checks this.
	maxListAge          = 20 * time.Second
	directWatchInterval = 20 * time.Second
	// minSuspicion and maxSuspicion bound how long an endpoint that does not
	// respond gets no requests. maxNodeSuspicion bounds how long a node that
	// does not respond gets no messages: with 30 s, a node that had been
	// paused missed the messages that name the lease holders.
	minSuspicion     = 2 * time.Second
	maxSuspicion     = 30 * time.Second
	maxNodeSuspicion = 4 * time.Second
)

// Tracker is the controller that tracks the state of all instances.
type Tracker struct {
	Self spreader.Peer
	// List is the newest list. Its version never decreases.
	List InstanceList
	// ListConfirmedAt is when the list was last confirmed.
	ListConfirmedAt time.Time
	// Watching reports whether a watch of the list is in progress.
	Watching bool
	WatchAt  time.Time
	// Relay reports whether this node was a relay in the last published view.
	Relay bool
	// Reports is keyed by endpoint name.
	Reports map[string]Report
	// Suspicions is keyed by instance name.
	Suspicions map[string]Suspicion
	// NextPolls is the time of the next poll for each endpoint that this node
	// observes; zero while a poll is in progress.
	NextPolls map[string]time.Time
	// EventsPolls has the same keys as NextPolls.
	EventsPolls map[string]EventsPoll
	Loads       map[string]NodeLoad
	// LastPushed is the last report of each observed endpoint that was pushed
	// to the other nodes.
	LastPushed map[string]Report
	// PublishAt is when the next view is published; zero if nothing has
	// changed since the last one.
	PublishAt time.Time
}

// Suspicion is the state of an instance that did not respond.
type Suspicion struct {
	// Until is when the instance may be tried again.
	Until time.Time
	// Duration doubles with every failure. It is reset by a response, or when
	// no failure occurs for another Duration after Until.
	Duration time.Duration
	// EndPublished reports whether the end of the suspicion has been included
	// in a view, or in one that is scheduled.
	EndPublished bool
}

// New returns a tracker with an empty instance list.
func New(self spreader.Peer) *Tracker {
	return &Tracker{
		Self:        self,
		Reports:     map[string]Report{},
		Suspicions:  map[string]Suspicion{},
		NextPolls:   map[string]time.Time{},
		EventsPolls: map[string]EventsPoll{},
		Loads:       map[string]NodeLoad{},
		LastPushed:  map[string]Report{},
	}
}

// Wake implements runner.Controller.
func (t *Tracker) Wake() time.Time {
	wake := t.PublishAt
	if !t.Watching {
		wake = earliest(wake, t.WatchAt)
	}
	for _, at := range t.NextPolls {
		if !at.IsZero() {
			wake = earliest(wake, at)
		}
	}
	for _, poll := range t.EventsPolls {
		if !poll.NextAt.IsZero() {
			wake = earliest(wake, poll.NextAt)
		}
	}
	for _, suspicion := range t.Suspicions {
		if suspicion.EndPublished {
			wake = earliest(wake, suspicion.Until.Add(suspicion.Duration))
		} else {
			wake = earliest(wake, suspicion.Until)
		}
	}
	return wake
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Step implements runner.Controller.
func (t *Tracker) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case ListRead:
		t.Watching = false
		t.WatchAt = now
		effects = t.adoptList(now, message.List, true)
	case ListFailed:
		t.Watching = false
		t.WatchAt = now.Add(listRetryDelay)
	case ListPushed:
		effects = t.adoptList(now, message.List, false)
	case ReportRead:
		effects = t.handleReportRead(now, message.Report)
	case ReportFailed:
		t.schedulePoll(now, message.Endpoint, false)
		t.suspect(now, message.Endpoint, maxSuspicion)
	case EventsRead:
		effects = t.handleEventsRead(now, message.Events)
	case EventsFailed:
		t.handleEventsFailed(now, message.Endpoint)
	case ReportPushed:
		t.adoptReport(now, message.Report)
	case AttemptEnded:
		if message.Answered {
			t.recordServed(now, message.Endpoint)
		}
		t.recordOutcome(now, message.Endpoint, message.Answered, maxSuspicion)
	case ExchangeEnded:
		t.recordOutcome(now, message.Node, message.Answered, maxNodeSuspicion)
	case LoadPushed:
		// A node that publishes its load is able to receive messages again.
		t.recordOutcome(now, message.Load.Node, true, maxNodeSuspicion)
		message.Load.Received = now
		t.Loads[message.Load.Node] = message.Load
		t.schedulePublish(now)
	case Tick:
	}
	effects = append(effects, t.startWatch(now)...)
	effects = append(effects, t.startPolls(now)...)
	effects = append(effects, t.startEventsPolls(now)...)
	t.expireSuspicions(now)
	return append(effects, t.publish(now)...)
}

func (t *Tracker) schedulePublish(now time.Time) {
	if t.PublishAt.IsZero() {
		t.PublishAt = now.Add(publishDelay)
	}
}

// adoptList replaces the list by a newer one. A list that was read from the
// platform is pushed to the other nodes.
func (t *Tracker) adoptList(now time.Time, list InstanceList, fromPlatform bool) []Effect {
	t.ListConfirmedAt = now
	if list.Version <= t.List.Version {
		return nil
	}
	t.List = list
	t.removeAbsent()
	t.updateObservedEndpoints(now)
	t.schedulePublish(now)
	if !fromPlatform {
		return nil
	}
	return []Effect{PushList{list}}
}

func (t *Tracker) removeAbsent() {
	present := map[string]bool{}
	for _, instance := range t.List.Instances {
		present[instance.Name] = true
	}
	maps.DeleteFunc(t.Reports, func(name string, _ Report) bool { return !present[name] })
	maps.DeleteFunc(t.LastPushed, func(name string, _ Report) bool { return !present[name] })
	maps.DeleteFunc(t.Suspicions, func(name string, _ Suspicion) bool { return !present[name] })
	maps.DeleteFunc(t.Loads, func(name string, _ NodeLoad) bool { return !present[name] })
}

func (t *Tracker) handleReportRead(now time.Time, report Report) []Effect {
	t.schedulePoll(now, report.Endpoint, report.isLoading())
	t.recordOutcome(now, report.Endpoint, true, maxSuspicion)
	if report.Running+report.Queued > 0 {
		t.recordServed(now, report.Endpoint)
	}
	t.adoptReport(now, report)
	if last, ok := t.LastPushed[report.Endpoint]; ok && report.isRepeatOf(last) {
		return nil
	}
	t.LastPushed[report.Endpoint] = report
	return []Effect{PushReport{report}}
}

// adoptReport keeps the more recently measured of two reports. Sequence numbers
// are not compared, since they restart with the endpoint.
func (t *Tracker) adoptReport(now time.Time, report Report) {
	previous, ok := t.Reports[report.Endpoint]
	if ok && previous.Measured.After(report.Measured) {
		return
	}
	t.Reports[report.Endpoint] = report
	t.schedulePublish(now)
}

func (t *Tracker) recordOutcome(now time.Time, name string, answered bool, maxDuration time.Duration) {
	if !answered {
		t.suspect(now, name, maxDuration)
		return
	}
	if _, ok := t.Suspicions[name]; ok {
		delete(t.Suspicions, name)
		t.schedulePublish(now)
	}
}

func (t *Tracker) suspect(now time.Time, name string, maxDuration time.Duration) {
	suspicion := t.Suspicions[name]
	if now.Sub(suspicion.Until.Add(-suspicion.Duration)) < minSuspicion {
		// Concurrent attempts fail together, so they count as one failure.
		return
	}
	suspicion.Duration = min(max(2*suspicion.Duration, minSuspicion), maxDuration)
	suspicion.Until = now.Add(suspicion.Duration)
	suspicion.EndPublished = false
	t.Suspicions[name] = suspicion
	t.schedulePublish(now)
}

// expireSuspicions schedules a view when a suspicion ends. It deletes the
// suspicion after another Duration without a failure.
func (t *Tracker) expireSuspicions(now time.Time) {
	for name, suspicion := range t.Suspicions {
		switch {
		case now.Before(suspicion.Until):
		case !suspicion.EndPublished:
			suspicion.EndPublished = true
			t.Suspicions[name] = suspicion
			t.schedulePublish(now)
		case !now.Before(suspicion.Until.Add(suspicion.Duration)):
			delete(t.Suspicions, name)
		}
	}
}

// startWatch starts a watch of the list if this node is a relay, or if the list
// was last confirmed maxListAge ago or earlier.
func (t *Tracker) startWatch(now time.Time) []Effect {
	if t.Watching || now.Before(t.WatchAt) {
		return nil
	}
	if !t.isRelay(now) && !t.ListConfirmedAt.IsZero() && now.Sub(t.ListConfirmedAt) < maxListAge {
		t.WatchAt = now.Add(directWatchInterval)
		return nil
	}
	t.Watching = true
	return []Effect{WatchList{After: t.List.Version}}
}

func (t *Tracker) publish(now time.Time) []Effect {
	if t.PublishAt.IsZero() || now.Before(t.PublishAt) {
		return nil
	}
	t.PublishAt = time.Time{}
	peers := t.buildPeers(now)
	if peers.Relay && !t.Relay {
		t.WatchAt = now
	}
	t.Relay = peers.Relay
	t.updateObservedEndpoints(now)
	return []Effect{PublishFleet{t.buildFleet()}, PublishPeers{peers}}
}

func (t *Tracker) buildFleet() *Fleet {
	fleet := &Fleet{ListVersion: t.List.Version}
	for _, instance := range t.List.Instances {
		if instance.Kind == Entry {
			fleet.Nodes = append(fleet.Nodes, instance)
			continue
		}
		endpoint := Endpoint{Instance: instance, SuspectUntil: t.Suspicions[instance.Name].Until}
		if report, ok := t.Reports[instance.Name]; ok {
			endpoint.Report = &report
			if report.Leaving {
				endpoint.Phase = Leaving
			}
		}
		fleet.Endpoints = append(fleet.Endpoints, endpoint)
	}
	slices.SortFunc(fleet.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return fleet
}
