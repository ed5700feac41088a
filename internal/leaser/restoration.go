package leaser

import "time"

// epochsPerEra separates the epochs of different eras, so that none is used twice
// although a restored object API has lost the last ones.
const epochsPerEra = 1 << 20

// observeEra records the era of an answer. In an era that is new to this node, the
// lease object may show a state from before the current tenure of another node, which
// must have expired before this node takes the lease. observeEra reports whether the
// object API was restored since the last answer.
func (c *Controller) observeEra(now time.Time, entry *Entry, era uint64) bool {
	if era <= entry.Era {
		return false
	}
	restored := entry.Era != 0
	entry.Restored = entry.Restored || restored
	delay := Lease{Duration: entry.Timing.Duration}.TakeoverDelay()
	entry.Era, entry.NotBefore = era, now.Add(delay)
	entry.MayHaveHadHolder = restored || !c.FirstStart || now.Sub(c.StartedAt) >= delay
	// A version of an earlier era may have been given out again, and writes of that
	// era are lost.
	entry.SeenAt, entry.UncertainSince = time.Time{}, time.Time{}
	return restored
}

// showsEarlierHolder reports whether the holder in the object may be one that an older
// copy has brought back. No node can take the lease before NotBefore.
func (e *Entry) showsEarlierHolder(now time.Time) bool {
	return e.Restored && now.Before(e.NotBefore)
}

// nextEpoch returns the epoch of a tenure that starts now.
func (e *Entry) nextEpoch() uint64 { return max(e.Epoch+1, e.Era*epochsPerEra+1) }
