package leaser

import "time"

// release ends the tenure before it releases the lease, so that this node no
// longer acts on the lease when the next holder starts.
func (c *Controller) release(now time.Time, message Release) []Effect {
	entry := c.entry(message.Name)
	if entry == nil {
		return []Effect{AnswerRelease{Call: message.Call}}
	}
	if entry.Release != nil {
		// A node that shuts down must not become a candidate again.
		entry.Release.Resume = false
		return []Effect{AnswerRelease{Call: message.Call}}
	}
	entry.Release = &ReleaseState{Call: message.Call, Deadline: now.Add(entry.Timing.Duration)}
	entry.DueAt = now
	switch {
	case entry.Tenure != nil:
		entry.Release.Epoch = entry.Tenure.Epoch
		entry.Release.Data = message.Data
		return []Effect{entry.endTenure()}
	case entry.InFlight && entry.LastWrite.Purpose == Takeover, !entry.UncertainSince.IsZero():
		// The takeover may still succeed; the inherited data is passed on.
		entry.Release.Epoch = entry.LastWrite.Lease.Epoch
		entry.Release.Data = entry.LastWrite.Lease.Data
		return nil
	case entry.belongsTo(c.Run):
		// The tenure ended during an outage.
		entry.Release.Epoch = entry.Lease.Epoch
		entry.Release.Data = entry.Lease.Data
		return nil
	}
	return entry.finishRelease(now, false)
}

// continueRelease starts the next call of a release, or completes the release.
func (c *Controller) continueRelease(now time.Time, entry *Entry) []Effect {
	switch {
	case now.Before(entry.DueAt):
		return nil
	case entry.MustRead:
		return []Effect{entry.read(now)}
	case entry.belongsTo(c.Run) && entry.Lease.Epoch == entry.Release.Epoch:
		released := Lease{Epoch: entry.Release.Epoch, Duration: entry.Timing.Duration, Data: entry.Release.Data}
		return []Effect{entry.write(now, Handover, released)}
	}
	return entry.finishRelease(now, entry.Lease.Holder == "" && entry.Lease.Epoch == entry.Release.Epoch)
}

func (e *Entry) finishRelease(now time.Time, released bool) []Effect {
	answer := AnswerRelease{Call: e.Release.Call, Released: released}
	e.Release.Done = true
	if e.Release.Resume {
		e.endRelease(now)
	}
	return []Effect{answer}
}

// resume ends a release that is done, and otherwise lets it end when it is.
func (c *Controller) resume(now time.Time, message Resume) {
	entry := c.entry(message.Name)
	if entry == nil || entry.Release == nil {
		return
	}
	entry.Release.Resume = true
	if entry.Release.Done {
		entry.endRelease(now)
	}
}

// endRelease makes this node a candidate again. What it knows of the lease may be old.
func (e *Entry) endRelease(now time.Time) {
	e.Release, e.MustRead, e.DueAt = nil, true, now
}
