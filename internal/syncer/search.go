package syncer

import (
	"slices"
	"time"
)

// nextPeer returns the node for the next exchange. It sets Probing if the exchange is
// to find the holder of the lease while an acting node answers. The exchange after
// that goes to the acting node, so that its state stays current although other nodes
// may name each other as the holder.
func (c *Controller) nextPeer(now time.Time) string {
	c.Probing = false
	switch {
	case c.Holding:
		return c.Node
	case c.Hint != "" && (c.Holder == "" || !c.AfterProbe):
		c.Probing = c.Holder != ""
		return c.Hint
	case c.Holder == "":
		return c.nextCandidate(now, c.FailedAttempts)
	case c.HolderActing && !c.AfterProbe && !now.Before(c.ProbeAt):
		c.ProbeAt = now.Add(probeInterval)
		c.Probes++
		if peer := c.nextCandidate(now, c.Probes); peer != c.Node && peer != c.Holder {
			c.Probing = true
			return peer
		}
	}
	c.AfterProbe = false
	return c.Holder
}

// nextCandidate returns the candidate with a number, modulo their number. It leaves
// out a holder that did not answer a short time ago.
func (c *Controller) nextCandidate(now time.Time, number int) string {
	ranked := c.candidateNames(now)
	if len(ranked) > 1 && c.isLost(now, c.LostHolder) {
		ranked = slices.DeleteFunc(slices.Clone(ranked), func(name string) bool { return name == c.LostHolder })
	}
	return ranked[number%len(ranked)]
}

// isLost reports whether a node was found not to answer as the holder a short time
// ago.
func (c *Controller) isLost(now time.Time, name string) bool {
	return name != "" && name == c.LostHolder && now.Sub(c.LostAt) < lostHolderTimeout
}

// outranks reports whether a candidate precedes another one.
func (c *Controller) outranks(now time.Time, name, other string) bool {
	ranked := c.candidateNames(now)
	index := slices.Index(ranked, name)
	return index >= 0 && index < slices.Index(ranked, other)
}

// endProbe handles an exchange that was to find the holder of the lease while an
// acting node answers, and did not.
func (c *Controller) endProbe(now time.Time, message ExchangeEnded) []Effect {
	c.Hint, c.HintAddress, c.DueAt, c.AfterProbe = "", "", now, true
	if message.Failed {
		c.LostHolder, c.LostAt = message.Peer, now
	}
	if answer := message.Answer; !message.Failed && !answer.Holding && answer.Holder != message.Peer {
		c.followHint(now, answer.Holder, answer.HolderAddress)
	}
	return nil
}

// followHint directs the next exchange to a node that another one names as the
// holder.
func (c *Controller) followHint(now time.Time, name, address string) {
	if name != c.Node && name != c.Holder && !c.isLost(now, name) {
		c.Hint, c.HintAddress = name, address
	}
}
