package resumer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// recordedShare is the share of the lifetime of a list of replicas after which the
	// origins of streams are sent to keepers: before it proves nothing any more.
	recordedShare = 0.7
	// keeperCount is the number of keepers to which a record is sent, and askedKeepers the
	// number that are asked: one of them may have been replaced since.
	keeperCount  = 2
	askedKeepers = 3
	// maxStateWait is how long a request waits for the first state of a holder.
	maxStateWait = 1500 * time.Millisecond
	// maxStateAge is the age of the last state from which on streams begin at any version:
	// the versions that may begin them have perhaps left.
	maxStateAge = 10 * time.Second
	// maxStreams bounds the streams that are remembered.
	maxStreams = 50_000
)

// Controller remembers the origins of streams at one node and finds those of others.
type Controller struct {
	// Streams holds the remembered streams, and Order their identifiers by age.
	Streams map[string]stream
	Order   []string
	// Finds holds the questions that have not been answered.
	Finds map[runner.Call]*find
	// State is the last state of a holder, as of ReceivedAt. HasState is set once there is
	// one.
	State      StateReceived
	ReceivedAt time.Time
	HasState   bool
	// Recording holds the services whose streams are sent to keepers. "" stands for all.
	Recording map[string]bool
	// Beginning and Assignments are those of the last SetBeginning, nil if streams begin at any
	// version.
	Beginning   map[string][]string
	Assignments map[ModelKey]Assignment
}

type stream struct {
	origin Origin
	at     time.Time
	// own is set if the stream began at this node, split if its route leads to more than
	// one service, and sent once its origin was sent to keepers.
	own, split, sent bool
}

type find struct {
	Find
	since time.Time
	// asked is the number of keepers whose answers are awaited.
	asked       int
	unreachable bool
	// why is the reason why the question waits for another state.
	why string
}

// NewController returns a controller that knows no stream.
func NewController() *Controller {
	return &Controller{Streams: map[string]stream{}, Finds: map[runner.Call]*find{}, Recording: map[string]bool{}}
}

// Wake returns when a version begins streams, when the state becomes too old for some
// purpose, or when a question is given up.
func (c *Controller) Wake() time.Time {
	var wake time.Time
	for _, find := range c.Finds {
		if find.asked == 0 {
			wake = earlier(wake, find.since.Add(maxStateWait))
		}
	}
	if !c.HasState {
		return wake
	}
	if !c.Recording[""] {
		wake = earlier(wake, c.recordedFrom())
	}
	if c.Beginning == nil {
		return wake
	}
	wake = earlier(wake, c.ReceivedAt.Add(maxStateAge))
	for _, service := range c.State.Published.Services {
		for _, version := range service.Versions {
			if version.BeginsIn > 0 && !slices.Contains(c.Beginning[service.Name], version.Name) {
				wake = earlier(wake, c.ReceivedAt.Add(version.BeginsIn))
			}
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case Tick:
		return append(c.updateState(now, false), c.endFinds(now)...)
	case StateReceived:
		if !message.Published.Complete && len(message.Assignments) == 0 {
			// The node that publishes has just started. The others keep to what they have.
			message.Assignments = c.State.Assignments
		}
		reassigned := !SameList(c.State.Assignments, message.Assignments) || c.Assignments == nil
		c.State, c.ReceivedAt, c.HasState = message, now, true
		return append(c.updateState(now, reassigned), c.askWaiting(now)...)
	case StreamBegun:
		return c.begin(now, message)
	case Remember:
		for _, record := range message.Records {
			c.remember(record.Stream, stream{origin: record.Origin, at: now.Add(-record.Age)})
		}
		c.expire(now)
	case Find:
		return c.find(now, message)
	case CancelFind:
		delete(c.Finds, message.Call)
	case Lookup:
		known, ok := c.Streams[message.Stream]
		return []Effect{AnswerLookup{message.Call, known.origin, ok}}
	case KeeperAnswered:
		return c.applyAnswer(now, message)
	}
	return nil
}

// updateState starts and ends the recording of streams and publishes the versions that
// may begin them. Reassigned is set if the assignments have changed.
func (c *Controller) updateState(now time.Time, reassigned bool) []Effect {
	if !c.HasState {
		return nil
	}
	recording := map[string]bool{}
	if !c.State.Published.Complete || !now.Before(c.recordedFrom()) {
		recording[""] = true
	}
	beginning := map[string][]string{}
	for _, service := range c.State.Published.Services {
		recording[service.Name] = len(service.Versions) > 1
		versions := []string{}
		for _, version := range service.Versions {
			if now.Sub(c.ReceivedAt) >= version.BeginsIn {
				versions = append(versions, version.Name)
			}
		}
		beginning[service.Name] = versions
	}
	c.Recording = recording
	effects := c.sendRecords(now)
	assignments := c.State.Assignments
	if now.Sub(c.ReceivedAt) >= maxStateAge {
		beginning, assignments, c.Assignments = nil, nil, nil
	} else if reassigned {
		c.Assignments = make(map[ModelKey]Assignment, len(c.State.Assignments))
		for _, assignment := range c.State.Assignments {
			c.Assignments[assignment.ModelKey] = assignment
		}
	}
	if reassigned || !maps.EqualFunc(beginning, c.Beginning, slices.Equal[[]string]) || (beginning == nil) != (c.Beginning == nil) {
		c.Beginning = beginning
		effects = append(effects, SetBeginning{beginning, assignments})
	}
	return effects
}

// recordedFrom returns when the list of replicas is so old that streams are recorded.
func (c *Controller) recordedFrom() time.Time {
	return c.State.ListedAt.Add(time.Duration(recordedShare * float64(c.State.Published.ViewLifetime)))
}

// isRecorded reports whether the origin of a stream is sent to keepers.
func (c *Controller) isRecorded(s stream) bool {
	return s.split || c.Recording[""] || c.Recording[s.origin.Service]
}

// sendRecords sends the streams that began at this node to their keepers, as far as they
// are recorded and were not sent before. They are sent again once all keepers are known.
func (c *Controller) sendRecords(now time.Time) []Effect {
	if len(c.State.Peers) == 0 || c.State.Published.KeepersUnknown {
		return nil
	}
	records := map[string][]Record{}
	for _, id := range c.Order {
		s := c.Streams[id]
		if !s.own || s.sent || !c.isRecorded(s) || now.Sub(s.at) > StreamLifetime {
			continue
		}
		for _, address := range c.keepers(id, keeperCount) {
			records[address] = append(records[address], Record{id, s.origin, now.Sub(s.at)})
		}
		s.sent = true
		c.Streams[id] = s
	}
	var effects []Effect
	for _, address := range slices.Sorted(maps.Keys(records)) {
		effects = append(effects, SendRecords{address, records[address]})
	}
	return effects
}

// keepers returns the addresses of the nodes that remember a stream, by rendezvous hash.
func (c *Controller) keepers(id string, count int) []string {
	type candidate struct {
		address string
		weight  uint64
	}
	var best []candidate
	for _, address := range c.State.Peers {
		best = append(best, candidate{address, xxhash.Sum64String(id + "\x00" + address)})
		slices.SortFunc(best, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
		best = best[:min(count, len(best))]
	}
	addresses := make([]string, 0, len(best))
	for _, keeper := range best {
		addresses = append(addresses, keeper.address)
	}
	return addresses
}

func (c *Controller) begin(now time.Time, begun StreamBegun) []Effect {
	c.expire(now)
	s := stream{origin: begun.Origin, at: now, own: true, split: begun.Split}
	var effects []Effect
	if c.HasState && c.isRecorded(s) {
		for _, address := range c.keepers(begun.Stream, keeperCount) {
			effects = append(effects, SendRecords{address, []Record{{begun.Stream, begun.Origin, 0}}})
		}
		s.sent = len(effects) > 0 && !c.State.Published.KeepersUnknown
	}
	c.remember(begun.Stream, s)
	return effects
}

// remember records a stream unless it is known.
func (c *Controller) remember(id string, s stream) {
	if _, ok := c.Streams[id]; ok || id == "" {
		return
	}
	c.Streams[id] = s
	c.Order = append(c.Order, id)
}

// expire forgets the oldest streams. Records of keepers may be a little older than those
// before them in the order.
func (c *Controller) expire(now time.Time) {
	count := 0
	for _, id := range c.Order {
		if now.Sub(c.Streams[id].at) <= StreamLifetime && len(c.Order)-count <= maxStreams {
			break
		}
		delete(c.Streams, id)
		count++
	}
	c.Order = slices.Delete(c.Order, 0, count)
}
