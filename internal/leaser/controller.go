package leaser

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/ranker"
)

// Controller decides when one node reads and writes its leases.
type Controller struct {
	Node string
	// Run identifies this run of the node's process.
	Run    string
	Timing Timing
	// FirstStart is set if the system starts for the first time, so that no lease can
	// have been lost before. StartedAt is the time of the first message.
	FirstStart bool
	StartedAt  time.Time
	Entries    []*Entry
}

// NewController returns the controller of a node for the named leases. The node
// is not a candidate until the first SetNodes message.
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

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if c.StartedAt.IsZero() {
		c.StartedAt = now
	}
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
	case Resume:
		c.resume(now, message)
	case SetData:
		c.setData(now, message)
	case ReadDone:
		if entry := c.entry(message.Name); entry != nil {
			effects = append(effects, c.handleReadDone(now, entry, message)...)
		}
	case WriteDone:
		if entry := c.entry(message.Name); entry != nil {
			effects = append(effects, c.handleWriteDone(now, entry, message)...)
		}
	}
	for _, entry := range c.Entries {
		effects = append(effects, c.advance(now, entry)...)
	}
	return effects
}

func (c *Controller) entry(name string) *Entry {
	index, found := slices.BinarySearchFunc(c.Entries, name, func(entry *Entry, name string) int {
		return cmp.Compare(entry.Name, name)
	})
	if !found {
		return nil
	}
	return c.Entries[index]
}

func (c *Controller) setNodes(now time.Time, nodes []string) {
	for _, entry := range c.Entries {
		wasCandidate := entry.Candidate
		entry.Candidate = slices.Contains(firstN(ranker.Rank(entry.Name, nodes), candidateCount), c.Node)
		if entry.Candidate && !wasCandidate && entry.Tenure == nil {
			entry.MustRead = true // the version seen during an earlier candidacy may be old
			entry.DueAt = now
		}
	}
}

// advance starts the next call for a lease if it is due and no call is in
// progress.
func (c *Controller) advance(now time.Time, entry *Entry) []Effect {
	due := !now.Before(entry.DueAt)
	switch {
	case entry.InFlight || !entry.isActive():
		return nil
	case entry.Release != nil:
		return c.continueRelease(now, entry)
	case entry.MustRead:
		return effectIf(due, func() Effect { return entry.read(now) })
	case entry.Tenure != nil:
		return effectIf(due, func() Effect { return c.renew(now, entry) })
	case !now.Before(entry.takeoverAt(c.Run)):
		return []Effect{c.takeOver(now, entry)}
	}
	return effectIf(due, func() Effect { return entry.read(now) })
}

func effectIf(condition bool, effect func() Effect) []Effect {
	if !condition {
		return nil
	}
	return []Effect{effect()}
}

func (e *Entry) read(now time.Time) Effect {
	e.InFlight, e.SentAt = true, now
	return Read{e.Name}
}

func (e *Entry) write(now time.Time, purpose Purpose, lease Lease) Effect {
	e.InFlight, e.SentAt = true, now
	e.LastWrite = Write{Name: e.Name, Purpose: purpose, IfVersion: e.Version, Lease: lease}
	return e.LastWrite
}

func (c *Controller) setData(now time.Time, message SetData) {
	entry := c.entry(message.Name)
	if entry == nil || entry.Tenure == nil {
		return
	}
	entry.Tenure.DesiredData, entry.Tenure.DataStored = message.Data, false
	entry.DueAt = now
}

func (c *Controller) renew(now time.Time, entry *Entry) Effect {
	return entry.write(now, Renewal, c.newLease(entry.Tenure.Epoch, entry.Tenure.DesiredData))
}

func (c *Controller) takeOver(now time.Time, entry *Entry) Effect {
	return entry.write(now, Takeover, c.newLease(entry.nextEpoch(), entry.Lease.Data))
}

func (c *Controller) newLease(epoch uint64, data []byte) Lease {
	return Lease{Holder: c.Node, Run: c.Run, Epoch: epoch, Duration: c.Timing.Duration, Data: data}
}

func firstN(nodes []string, count int) []string { return nodes[:min(count, len(nodes))] }
