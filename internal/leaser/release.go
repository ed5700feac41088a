package leaser

import "time"

// release ends the tenure before the lease is released, so that nobody acts
// on it when the next holder starts.
func (c *Controller) release(now time.Time, message Release) []Effect {
	entry := c.entry(message.Name)
	if entry == nil || entry.Leave != nil {
		return []Effect{AnswerRelease{Call: message.Call}}
	}
	entry.Leave = &Leave{Call: message.Call, GiveUpAt: now.Add(entry.Timing.Duration)}
	entry.DueAt = now
	switch {
	case entry.Tenure != nil:
		entry.Leave.Epoch = entry.Tenure.Epoch
		entry.Leave.Data = message.Data
		return []Effect{entry.lose()}
	case entry.Busy && entry.Writing.Purpose == Takeover, !entry.Unsettled.IsZero():
		// The takeover may succeed yet; what was inherited is passed on.
		entry.Leave.Epoch = entry.Writing.Lease.Epoch
		entry.Leave.Data = entry.Writing.Lease.Data
		return nil
	case entry.isOf(c.Run):
		// The tenure ended in an outage.
		entry.Leave.Epoch = entry.Lease.Epoch
		entry.Leave.Data = entry.Lease.Data
		return nil
	}
	return entry.finishLeave(false)
}

// continueLeave starts the next call of a release.
func (c *Controller) continueLeave(now time.Time, entry *Entry) []Effect {
	switch {
	case now.Before(entry.DueAt):
		return nil
	case entry.MustRead:
		return []Effect{entry.read(now)}
	case entry.isOf(c.Run) && entry.Lease.Epoch == entry.Leave.Epoch:
		released := Lease{Epoch: entry.Leave.Epoch, Duration: entry.Timing.Duration, Data: entry.Leave.Data}
		return []Effect{entry.write(now, Handover, released)}
	}
	return entry.finishLeave(entry.Lease.Holder == "" && entry.Lease.Epoch == entry.Leave.Epoch)
}

func (e *Entry) finishLeave(released bool) []Effect {
	e.Leave.Over = true
	return []Effect{AnswerRelease{Call: e.Leave.Call, Released: released}}
}
