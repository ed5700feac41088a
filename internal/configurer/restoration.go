package configurer

import (
	"slices"
	"time"
)

// ConfirmationDelay is how long a relay waits after it has learned of a restoration of the
// object API until it confirms that the change log is complete. Relays that have lost
// changes write them again before: their longest back-off is 3 s, and a call takes 1 s.
const ConfirmationDelay = 5 * time.Second

// observeEra records the era of an answer of the object API. An API that is restored
// from an older copy gives versions out again, so those of the era before are forgotten.
func (c *Configurer) observeEra(now time.Time, era uint64) []Effect {
	if era <= c.Era {
		return nil
	}
	c.Era, c.EraKnownAt, c.ObjectVersion = era, now, 0
	if _, contacted := c.Contacts.At[API]; !contacted {
		return nil
	}
	return []Effect{Note{Text: "object API was restored from an older copy", Era: era}}
}

// handleHeadUnchanged records a contact with the object API, unless the watch waited
// for a version of an earlier era, in which case the head may have changed, or there is no
// head.
func (c *Configurer) handleHeadUnchanged(now time.Time, message HeadUnchanged) []Effect {
	switch {
	case message.Era > c.Era:
		c.Watching, c.WatchAt = false, now
		return c.observeEra(now, message.Era)
	case c.Era > 0 && c.ObjectVersion == 0:
		return c.handleHeadRead(now, HeadRead{Started: message.Started, Era: message.Era})
	}
	return c.recordAPIContact(now, message.Started)
}

// restoreHead handles a head that lacks changes that are in force. The object API
// has lost them, so a relay that has them writes them again. Until they are in the
// head, a read does not prove that the configuration in force is the newest.
func (c *Configurer) restoreHead(now time.Time, message HeadRead) []Effect {
	lost := c.recentChangesSince(message.Head.Version)
	if !c.Relay || len(lost) == 0 {
		c.scheduleWatchRetry(now)
		return nil
	}
	c.Watching = true
	head := message.Head
	head.Changes = append(slices.Clone(head.Changes), lost...)
	head.Version = c.InForce.Version
	return []Effect{
		Note{Text: "writing lost changes again", Era: c.Era, From: message.Head.Version, To: head.Version},
		RestoreHead{IfVersion: message.ObjectVersion, Head: head},
	}
}

// confirmHead handles a head that no relay has confirmed since the object API was
// restored. It may lack changes, so that a read proves nothing. A relay confirms it once
// the others have had time to write lost changes again.
func (c *Configurer) confirmHead(now time.Time, message HeadRead) []Effect {
	if !c.Relay {
		c.scheduleWatchRetry(now)
		return nil
	}
	if dueAt := c.EraKnownAt.Add(ConfirmationDelay); now.Before(dueAt) {
		c.Watching, c.WatchAt = false, earlier(now.Add(WatchWait), dueAt)
		return nil
	}
	c.Watching = true
	head := message.Head
	head.Era = c.Era
	return []Effect{
		Note{Text: "confirming the change log", Era: c.Era},
		RestoreHead{IfVersion: message.ObjectVersion, Head: head},
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// head returns the read of an empty change log.
func (m HeadMissing) head() HeadRead { return HeadRead{Started: m.Started, Era: m.Era} }
