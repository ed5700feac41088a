package leaser

import (
	"bytes"
	"time"
)

// handleReadDone handles the result of a read and publishes the holder if it
// has changed.
func (c *Controller) handleReadDone(now time.Time, entry *Entry, message ReadDone) []Effect {
	effects := c.applyRead(now, entry, message)
	if holder := entry.Lease.Holder; message.Outcome == Done && holder != entry.PublishedHolder && !entry.showsEarlierHolder(now) {
		entry.PublishedHolder = holder
		effects = append([]Effect{Observed{Name: entry.Name, Holder: holder, Era: entry.Era, Data: entry.Lease.Data}}, effects...)
	}
	return effects
}

func (c *Controller) applyRead(now time.Time, entry *Entry, message ReadDone) []Effect {
	entry.InFlight = false
	if message.Outcome == Unavailable {
		entry.scheduleRetry(now)
		return nil
	}
	entry.MustRead = false
	entry.DueAt = entry.SentAt.Add(entry.Timing.PollInterval)
	restored := c.observeEra(now, entry, message.Era)
	changed := entry.observe(now, message.Version, message.Lease)
	sentAt := entry.UncertainSince
	if changed {
		entry.UncertainSince = time.Time{}
	}
	switch {
	case entry.Release != nil:
		entry.DueAt = now
	case entry.Tenure != nil && restored:
		// No other node can take the lease in the new era before this tenure ends, so
		// a renewal on the object as it is now makes the lease valid again.
		entry.DueAt = now
	case entry.Tenure != nil:
		return c.verifyTenure(now, entry, changed, sentAt)
	case changed && entry.belongsTo(c.Run) && entry.isLastTakeover() && !sentAt.IsZero():
		return entry.beginTenure(now, sentAt)
	}
	return nil
}

// verifyTenure compares the current tenure with the object that was read.
func (c *Controller) verifyTenure(now time.Time, entry *Entry, changed bool, sentAt time.Time) []Effect {
	switch {
	case !entry.belongsTo(c.Run) || entry.Lease.Epoch != entry.Tenure.Epoch:
		return []Effect{entry.endTenure()}
	case changed && !sentAt.IsZero():
		return entry.extendTenure(now, sentAt)
	}
	entry.DueAt = now
	return nil
}

// isLastTakeover reports whether the latest write was a takeover with the
// object's epoch.
func (e *Entry) isLastTakeover() bool {
	return e.LastWrite.Purpose == Takeover && e.LastWrite.Lease.Epoch == e.Lease.Epoch
}

// handleWriteDone handles the result of a write.
func (c *Controller) handleWriteDone(now time.Time, entry *Entry, message WriteDone) []Effect {
	entry.InFlight = false
	switch message.Outcome {
	case Done:
		entry.UncertainSince = time.Time{}
		if c.observeEra(now, entry, message.Era) {
			// The version on which the write was conditional is of an earlier era.
			// The write may have replaced the lease of another holder.
			break
		}
		entry.observe(now, message.Version, entry.LastWrite.Lease)
		return c.handleWritten(now, entry)
	case Unavailable:
		entry.scheduleRetry(now)
		entry.MustRead = entry.MustRead || entry.LastWrite.Purpose == Takeover
		return nil
	case Uncertain:
		entry.UncertainSince = earlier(entry.UncertainSince, entry.SentAt)
	}
	entry.MustRead = true
	entry.DueAt = now
	return nil
}

// handleWritten handles a write that took effect.
func (c *Controller) handleWritten(now time.Time, entry *Entry) []Effect {
	switch entry.LastWrite.Purpose {
	case Takeover:
		return entry.beginTenure(now, entry.SentAt)
	case Renewal:
		if entry.Tenure != nil {
			return entry.extendTenure(now, entry.SentAt)
		}
	}
	entry.DueAt = now
	return nil
}

// beginTenure starts the tenure of a takeover that was sent at the given time.
// If its validity has already ended, this node takes the lease again.
func (e *Entry) beginTenure(now, sentAt time.Time) []Effect {
	until := sentAt.Add(e.Lease.Validity())
	switch {
	case e.Release != nil:
		e.DueAt = now
		return nil
	case !now.Before(until):
		return nil
	}
	data := e.Lease.Data
	isFirst := e.LastWrite.IfVersion == 0 && !e.MayHaveHadHolder
	e.Tenure = &Tenure{Epoch: e.Lease.Epoch, First: isFirst, Until: until, InheritedData: data, DesiredData: data, DataStored: true}
	e.DueAt = sentAt.Add(e.Timing.RenewInterval)
	return []Effect{e.heldEvent()}
}

// extendTenure extends the tenure by a renewal that was sent at the given time.
func (e *Entry) extendTenure(now, sentAt time.Time) []Effect {
	e.DueAt = sentAt.Add(e.Timing.RenewInterval)
	effects := e.reportStored()
	until := sentAt.Add(e.Lease.Validity())
	if !until.After(e.Tenure.Until) {
		return effects
	}
	e.Tenure.Until = until
	return append(effects, e.heldEvent())
}

// reportStored reports once that the object contains the tenure's desired data.
// If the object contains older data, it makes the next renewal due immediately.
func (e *Entry) reportStored() []Effect {
	if e.Tenure.DataStored {
		return nil
	}
	if !bytes.Equal(e.Lease.Data, e.Tenure.DesiredData) {
		e.DueAt = time.Time{}
		return nil
	}
	e.Tenure.DataStored = true
	return []Effect{Stored{Name: e.Name, Epoch: e.Tenure.Epoch, Data: e.Tenure.DesiredData}}
}

// scheduleRetry sets when to retry after a call that had no effect.
func (e *Entry) scheduleRetry(now time.Time) {
	e.DueAt = e.SentAt.Add(e.Timing.PollInterval)
	if e.Tenure != nil || e.Release != nil {
		e.DueAt = now.Add(retryDelay)
	}
}
