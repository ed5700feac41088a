package leaser

import (
	"bytes"
	"time"
)

// readDone handles what a read found.
func (c *Controller) readDone(now time.Time, entry *Entry, message ReadDone) []Effect {
	effects := c.settleRead(now, entry, message)
	if holder := entry.Lease.Holder; message.Outcome == Done && holder != entry.Told {
		entry.Told = holder
		effects = append([]Effect{Observed{entry.Name, holder}}, effects...)
	}
	return effects
}

func (c *Controller) settleRead(now time.Time, entry *Entry, message ReadDone) []Effect {
	entry.Busy = false
	if message.Outcome == Unavailable {
		entry.postpone(now)
		return nil
	}
	entry.MustRead = false
	entry.DueAt = entry.SentAt.Add(entry.Timing.Poll)
	changed := entry.see(now, message.Version, message.Lease)
	sentAt := entry.Unsettled
	if changed {
		entry.Unsettled = time.Time{}
	}
	switch {
	case entry.Leave != nil:
		entry.DueAt = now
	case entry.Tenure != nil:
		return c.confirm(now, entry, changed, sentAt)
	case changed && entry.isOf(c.Run) && entry.tookOver() && !sentAt.IsZero():
		return entry.begin(now, sentAt)
	}
	return nil
}

// confirm compares the tenure with the object that was read.
func (c *Controller) confirm(now time.Time, entry *Entry, changed bool, sentAt time.Time) []Effect {
	switch {
	case !entry.isOf(c.Run) || entry.Lease.Epoch != entry.Tenure.Epoch:
		return []Effect{entry.lose()}
	case changed && !sentAt.IsZero():
		return entry.extend(now, sentAt)
	}
	entry.DueAt = now
	return nil
}

// tookOver says whether the object is what the latest takeover wrote.
func (e *Entry) tookOver() bool {
	return e.Writing.Purpose == Takeover && e.Writing.Lease.Epoch == e.Lease.Epoch
}

// writeDone handles the result of a write.
func (c *Controller) writeDone(now time.Time, entry *Entry, message WriteDone) []Effect {
	entry.Busy = false
	switch message.Outcome {
	case Done:
		entry.Unsettled = time.Time{}
		entry.see(now, message.Version, entry.Writing.Lease)
		return c.written(now, entry)
	case Unavailable:
		entry.postpone(now)
		entry.MustRead = entry.MustRead || entry.Writing.Purpose == Takeover
		return nil
	case Uncertain:
		entry.Unsettled = earlier(entry.Unsettled, entry.SentAt)
	}
	entry.MustRead = true
	entry.DueAt = now
	return nil
}

// written handles a write that took effect.
func (c *Controller) written(now time.Time, entry *Entry) []Effect {
	switch entry.Writing.Purpose {
	case Takeover:
		return entry.begin(now, entry.SentAt)
	case Renewal:
		if entry.Tenure != nil {
			return entry.extend(now, entry.SentAt)
		}
	}
	entry.DueAt = now
	return nil
}

// begin starts the tenure of a takeover that was sent at the given time. If
// its validity has passed already, the run takes the lease again.
func (e *Entry) begin(now, sentAt time.Time) []Effect {
	until := sentAt.Add(e.Lease.Validity())
	switch {
	case e.Leave != nil:
		e.DueAt = now
		return nil
	case !now.Before(until):
		return nil
	}
	data := e.Lease.Data
	e.Tenure = &Tenure{Epoch: e.Lease.Epoch, Until: until, Inherited: data, Keep: data, Stored: true}
	e.DueAt = sentAt.Add(e.Timing.Renew)
	return []Effect{e.held()}
}

// extend prolongs the tenure by a renewal that was sent at the given time.
func (e *Entry) extend(now, sentAt time.Time) []Effect {
	e.DueAt = sentAt.Add(e.Timing.Renew)
	effects := e.stored()
	until := sentAt.Add(e.Lease.Validity())
	if !until.After(e.Tenure.Until) {
		return effects
	}
	e.Tenure.Until = until
	return append(effects, e.held())
}

// stored tells once that the object holds what the tenure wants to keep. If
// it holds older data, the next renewal is due at once.
func (e *Entry) stored() []Effect {
	if e.Tenure.Stored {
		return nil
	}
	if !bytes.Equal(e.Lease.Data, e.Tenure.Keep) {
		e.DueAt = time.Time{}
		return nil
	}
	e.Tenure.Stored = true
	return []Effect{Stored{Name: e.Name, Epoch: e.Tenure.Epoch, Data: e.Tenure.Keep}}
}

// postpone sets when to try again after a call that had no effect.
func (e *Entry) postpone(now time.Time) {
	e.DueAt = e.SentAt.Add(e.Timing.Poll)
	if e.Tenure != nil || e.Leave != nil {
		e.DueAt = now.Add(retryDelay)
	}
}
