package leaser

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/ranker"
)

// Controller decides for one node about all leases.
type Controller struct {
	Node string
	// Run identifies this run of the node's process.
	Run     string
	Timing  Timing
	Entries []*Entry
}

// NewController returns the controller of a node for the named leases. It is
// no candidate before it is told the nodes.
func NewController(node, run string, names []string, timing Timing) *Controller {
	controller := &Controller{Node: node, Run: run, Timing: timing}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		controller.Entries = append(controller.Entries, &Entry{Name: name, Timing: timing, MustRead: true})
	}
	return controller
}

// Wake returns when the next renewal, read, takeover or expiry is due.
func (c *Controller) Wake() time.Time {
	var wake time.Time
	for _, entry := range c.Entries {
		wake = earlier(wake, entry.wake(c.Run))
	}
	return wake
}

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	for _, entry := range c.Entries {
		effects = append(effects, entry.expire(now)...)
	}
	switch message := message.(type) {
	case Tick:
	case SetNodes:
		c.setNodes(now, message.Names)
	case Release:
		effects = append(effects, c.release(now, message)...)
	case Keep:
		c.keep(now, message)
	case ReadDone:
		if entry := c.entry(message.Name); entry != nil {
			effects = append(effects, c.readDone(now, entry, message)...)
		}
	case WriteDone:
		if entry := c.entry(message.Name); entry != nil {
			effects = append(effects, c.writeDone(now, entry, message)...)
		}
	}
	for _, entry := range c.Entries {
		effects = append(effects, c.act(now, entry)...)
	}
	return effects
}

func (c *Controller) entry(name string) *Entry {
	at, found := slices.BinarySearchFunc(c.Entries, name, func(entry *Entry, name string) int {
		return cmp.Compare(entry.Name, name)
	})
	if !found {
		return nil
	}
	return c.Entries[at]
}

func (c *Controller) setNodes(now time.Time, nodes []string) {
	for _, entry := range c.Entries {
		was := entry.Candidate
		entry.Candidate = slices.Contains(first(ranker.Rank(entry.Name, nodes), candidateCount), c.Node)
		if entry.Candidate && !was && entry.Tenure == nil {
			entry.MustRead = true // what was seen as a candidate before may be old
			entry.DueAt = now
		}
	}
}

// act starts the next call for a lease if one is due and none is under way.
func (c *Controller) act(now time.Time, entry *Entry) []Effect {
	due := !now.Before(entry.DueAt)
	switch {
	case entry.Busy || !entry.isActive():
		return nil
	case entry.Leave != nil:
		return c.continueLeave(now, entry)
	case entry.MustRead:
		return when(due, func() Effect { return entry.read(now) })
	case entry.Tenure != nil:
		return when(due, func() Effect { return c.renew(now, entry) })
	case !now.Before(entry.takeAt(c.Run)):
		return []Effect{c.take(now, entry)}
	}
	return when(due, func() Effect { return entry.read(now) })
}

func when(condition bool, effect func() Effect) []Effect {
	if !condition {
		return nil
	}
	return []Effect{effect()}
}

func (e *Entry) read(now time.Time) Effect {
	e.Busy, e.SentAt = true, now
	return Read{e.Name}
}

func (e *Entry) write(now time.Time, purpose Purpose, lease Lease) Effect {
	e.Busy, e.SentAt = true, now
	e.Writing = Write{Name: e.Name, Purpose: purpose, IfVersion: e.Version, Lease: lease}
	return e.Writing
}

func (c *Controller) keep(now time.Time, message Keep) {
	entry := c.entry(message.Name)
	if entry == nil || entry.Tenure == nil {
		return
	}
	entry.Tenure.Keep, entry.Tenure.Stored = message.Data, false
	entry.DueAt = now
}

func (c *Controller) renew(now time.Time, entry *Entry) Effect {
	return entry.write(now, Renewal, c.lease(entry.Tenure.Epoch, entry.Tenure.Keep))
}

func (c *Controller) take(now time.Time, entry *Entry) Effect {
	return entry.write(now, Takeover, c.lease(entry.Epoch+1, entry.Lease.Data))
}

func (c *Controller) lease(epoch uint64, data []byte) Lease {
	return Lease{Holder: c.Node, Run: c.Run, Epoch: epoch, Duration: c.Timing.Duration, Data: data}
}

func first(nodes []string, count int) []string { return nodes[:min(count, len(nodes))] }
