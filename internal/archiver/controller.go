package archiver

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/screener"
)

const (
	// minRetryDelay is the delay after a call that failed. It doubles with each further one up
	// to maxRetryDelay.
	minRetryDelay = 400 * time.Millisecond
	maxRetryDelay = 3200 * time.Millisecond
	// writeInterval is the minimum time between two calls. It bounds the calls after a
	// restoration and a takeover, when all records are written again.
	writeInterval = 100 * time.Millisecond
	// recordsWait is how long requests wait for the records after the configuration is known.
	// The store answers in 4 ms, in 240 ms when it is slow, and a lost answer is noticed after
	// 800 ms.
	recordsWait = time.Second
)

// Controller decides about the calls of the store of one node.
type Controller struct {
	// Known is set when the records have been read, and Published when requests need not wait
	// for them, at PublishAt at the latest.
	Known, Published bool
	PublishAt        time.Time
	// Tenure and Wanted are those of the last SetRecords. Ended are the traits whose records
	// have to be removed.
	Tenure uint64
	Wanted map[screener.Trait]screener.Record
	Ended  map[screener.Trait]bool
	// Stored holds the records that the store has confirmed to this node in the tenure and
	// since the last restoration, of which Restorations is the number.
	Stored       map[screener.Trait]stored
	Restorations int
	// Reading and Writing are set while a call is in progress. ReadAt and WriteAt are the
	// earliest times of the next ones, and ReadFailures and WriteFailures count those that
	// failed in a row.
	Reading, Writing            bool
	ReadAt, WriteAt             time.Time
	ReadFailures, WriteFailures int
}

// stored is a record in the store.
type stored struct {
	Quarantined bool
	Revision    uint64
}

// NewController returns a controller. A node of a system that starts for the first time has no
// records to read.
func NewController(firstStart bool) *Controller {
	return &Controller{
		Known:  firstStart,
		Wanted: map[screener.Trait]screener.Record{},
		Ended:  map[screener.Trait]bool{},
		Stored: map[screener.Trait]stored{},
	}
}

// Wake returns when the next call or the end of the wait is due.
func (c *Controller) Wake() time.Time {
	wake := time.Time{}
	for _, due := range []time.Time{c.publishDueAt(), c.readDueAt(), c.writeDueAt()} {
		if !due.IsZero() && (wake.IsZero() || due.Before(wake)) {
			wake = due
		}
	}
	return wake
}

func (c *Controller) publishDueAt() time.Time {
	if c.Published {
		return time.Time{}
	}
	return c.PublishAt
}

func (c *Controller) readDueAt() time.Time {
	if c.Known || c.Reading {
		return time.Time{}
	}
	return c.ReadAt
}

func (c *Controller) writeDueAt() time.Time {
	if _, pending := c.nextWrite(); c.Writing || !pending {
		return time.Time{}
	}
	return c.WriteAt
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if c.ReadAt.IsZero() {
		c.ReadAt, c.WriteAt = now, now
	}
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case ConfigurationKnown:
		if c.PublishAt.IsZero() {
			c.PublishAt = now.Add(recordsWait)
		}
	case SetRecords:
		c.setRecords(message)
	case StoreRestored:
		c.Restorations++
		clear(c.Stored)
		c.WriteAt = now
	case ReadEnded:
		effects = c.endRead(now, message)
	case WriteEnded:
		effects = c.endWrite(now, message)
	}
	return append(effects, c.startDue(now)...)
}

func (c *Controller) startDue(now time.Time) []Effect {
	var effects []Effect
	if c.Known && !c.Published {
		c.Published = true
		effects = append(effects, Publish{})
	}
	if due := c.publishDueAt(); !due.IsZero() && !now.Before(due) {
		c.Published = true
		effects = append(effects, Publish{}, Note{Text: "quarantines not read from the store in time; requests no longer wait for them"})
	}
	if due := c.readDueAt(); !due.IsZero() && !now.Before(due) {
		c.Reading = true
		effects = append(effects, Read{})
	}
	if due := c.writeDueAt(); !due.IsZero() && !now.Before(due) {
		effect, _ := c.nextWrite()
		c.Writing = true
		effects = append(effects, effect)
	}
	return effects
}

// setRecords sets what is to be written and removed. A node that decides for the first time
// does not know what its predecessors have written, and writes everything.
func (c *Controller) setRecords(message SetRecords) {
	if message.Tenure != c.Tenure {
		c.Tenure = message.Tenure
		clear(c.Wanted)
		clear(c.Ended)
		clear(c.Stored)
	}
	previous := c.Wanted
	c.Wanted = make(map[screener.Trait]screener.Record, len(message.Records))
	for _, record := range message.Records {
		c.Wanted[record.Trait] = record
		delete(c.Ended, record.Trait)
	}
	for trait := range previous {
		if _, wanted := c.Wanted[trait]; !wanted {
			c.Ended[trait] = true
		}
	}
}

// nextWrite returns the next write, and false if there is none. Quarantines go first, and
// removals last.
func (c *Controller) nextWrite() (Effect, bool) {
	var suspect *screener.Record
	for _, trait := range slices.Sorted(maps.Keys(c.Wanted)) {
		record := c.Wanted[trait]
		if known, ok := c.Stored[trait]; ok && known.Quarantined == record.Quarantined {
			continue
		}
		if record.Quarantined {
			return Write{Record: record, Tenure: c.Tenure, Restorations: c.Restorations}, true
		}
		if suspect == nil {
			suspect = &record
		}
	}
	if suspect != nil {
		return Write{Record: *suspect, Tenure: c.Tenure, Restorations: c.Restorations}, true
	}
	for _, trait := range slices.Sorted(maps.Keys(c.Ended)) {
		return Remove{Trait: trait, Revision: c.Stored[trait].Revision, Tenure: c.Tenure, Restorations: c.Restorations}, true
	}
	return nil, false
}

func (c *Controller) endRead(now time.Time, message ReadEnded) []Effect {
	c.Reading = false
	if message.Failed {
		c.ReadFailures++
		c.ReadAt = now.Add(retryDelay(c.ReadFailures))
		return nil
	}
	c.Known, c.Published = true, true
	return []Effect{Publish{Records: message.Records}}
}

// endWrite handles the result of a write. One from before a restoration may be lost, and one
// of an earlier tenure does not count in this one.
func (c *Controller) endWrite(now time.Time, message WriteEnded) []Effect {
	c.Writing = false
	if message.Failed {
		c.WriteFailures++
		c.WriteAt = now.Add(retryDelay(c.WriteFailures))
		if known, ok := c.Stored[message.Trait]; ok {
			// The record may have another revision than this node knows.
			known.Revision = 0
			c.Stored[message.Trait] = known
		}
		return []Effect{Note{Text: "record of a quarantine not written to the store; will retry", Trait: message.Trait}}
	}
	c.WriteFailures, c.WriteAt = 0, now.Add(writeInterval)
	if message.Tenure != c.Tenure || message.Restorations != c.Restorations {
		return nil
	}
	if message.Removed {
		delete(c.Ended, message.Trait)
		delete(c.Stored, message.Trait)
		return nil
	}
	c.Stored[message.Trait] = stored{Quarantined: message.Quarantined, Revision: message.Revision}
	return nil
}

// retryDelay returns the delay after a number of failures in a row.
func retryDelay(failures int) time.Duration {
	delay := minRetryDelay
	for range failures - 1 {
		if delay *= 2; delay >= maxRetryDelay {
			return maxRetryDelay
		}
	}
	return delay
}
