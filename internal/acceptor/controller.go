package acceptor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// graceTime is how long a connection may have waited and still counts as new. One that
	// has just been opened has delivered nothing yet, but is about to.
	graceTime = 500 * time.Millisecond
	// batchShare is the part of the connections that are closed at once for new ones, so
	// that a flood of connections does not make each of them search all.
	batchShare = 64
	// fullTime is how long the node counts as full after a connection was refused.
	fullTime = time.Second
	// noteInterval is the time between two lines of the log for a reason.
	noteInterval = 5 * time.Second
)

// Controller decides which connections are closed for others, when the node is full, and
// what is logged.
type Controller struct {
	// counts holds what is to be logged, and examples the address of one connection each.
	counts   map[Reason]int
	examples map[Reason]string
	// notesAt is when counts are logged, the zero time if there are none.
	notesAt time.Time
	// notedAt is when lines were last logged.
	notedAt time.Time
}

// NewController returns a controller.
func NewController() *Controller {
	return &Controller{counts: map[Reason]int{}, examples: map[Reason]string{}}
}

// Wake implements runner.Controller.
func (c *Controller) Wake() time.Time { return c.notesAt }

// Step implements runner.Controller.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case Crowded:
		return c.makeRoom(now, message)
	case Short:
		return c.freeMemory(now, message)
	case Refused:
		c.count(now, message.Reason, message.Address)
	case Tick:
		return c.note(now)
	}
	return nil
}

// makeRoom closes connections for a new one.
func (c *Controller) makeRoom(now time.Time, message Crowded) []Effect {
	victims := order(message.Connections)
	if len(victims) == 0 {
		c.count(now, Full, message.Address)
		return []Effect{SetFull{Until: now.Add(fullTime)}, Admit{Call: message.Call}}
	}
	var effects []Effect
	for _, victim := range victims[:min(len(victims), 1+len(message.Connections)/batchShare)] {
		c.count(now, ConnectionsScarce, victim.Address)
		effects = append(effects, Close{ID: victim.ID, Reason: ConnectionsScarce})
	}
	return append(effects, Admit{Call: message.Call, Accepted: true})
}

// freeMemory closes connections with an incomplete head, or body, until enough memory is
// free.
func (c *Controller) freeMemory(now time.Time, message Short) []Effect {
	var effects []Effect
	for _, victim := range order(message.Connections) {
		if message.Excess <= 0 {
			break
		}
		held := victim.Held
		if message.Bodies {
			held = victim.Received
		}
		if held == 0 {
			continue
		}
		message.Excess -= held
		c.count(now, MemoryScarce, victim.Address)
		effects = append(effects, Close{ID: victim.ID, Reason: MemoryScarce})
	}
	return effects
}

// order returns the connections without a whole request in progress, those that are closed
// first in front: those of the address with the most connections, and among these those that
// have delivered least for longest. New ones come last at their address.
func order(connections []Connection) []Connection {
	counts := map[string]int{}
	var victims []Connection
	for _, connection := range connections {
		counts[connection.Address]++
		if !connection.Whole {
			victims = append(victims, connection)
		}
	}
	slices.SortFunc(victims, func(a, b Connection) int {
		return cmp.Or(
			cmp.Compare(counts[b.Address], counts[a.Address]),
			cmp.Compare(a.Address, b.Address),
			cmp.Compare(newness(a), newness(b)),
			cmp.Compare(a.Delivered, b.Delivered),
			cmp.Compare(b.Waiting, a.Waiting),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return victims
}

func newness(connection Connection) int {
	if connection.Waiting < graceTime {
		return 1
	}
	return 0
}

func (c *Controller) count(now time.Time, reason Reason, address string) {
	c.counts[reason]++
	c.examples[reason] = address
	if c.notesAt.IsZero() {
		c.notesAt = now
		if next := c.notedAt.Add(noteInterval); next.After(now) {
			c.notesAt = next
		}
	}
}

// note returns the lines of the log for what was counted.
func (c *Controller) note(now time.Time) []Effect {
	if c.notesAt.IsZero() || now.Before(c.notesAt) {
		return nil
	}
	var effects []Effect
	for _, reason := range slices.Sorted(maps.Keys(c.counts)) {
		effects = append(effects, Note{Reason: reason, Count: c.counts[reason], Example: c.examples[reason]})
	}
	clear(c.counts)
	clear(c.examples)
	c.notesAt, c.notedAt = time.Time{}, now
	return effects
}
