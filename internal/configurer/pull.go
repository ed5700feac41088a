package configurer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// pull asks the parent, or now and then a random peer, for what is new.
func (c *Configurer) pull(now time.Time) []Effect {
	if c.PullAt.IsZero() {
		c.PullAt = now
	}
	if now.Before(c.PullAt) {
		return nil
	}
	c.PullAt = now.Add(PullEvery)
	c.Pulls++
	peer, ok := c.choosePeer(now)
	if !ok {
		return nil
	}
	return []Effect{Pull{Peer: peer, Version: c.InForce.Version}}
}

func (c *Configurer) choosePeer(now time.Time) (spreader.Peer, bool) {
	random := c.Pulls%randomPullEvery == 0
	if c.Parent != nil && !random && !c.suspected(now, *c.Parent) {
		return *c.Parent, true
	}
	// Relays ask other data centres, whose contact they bring home; the
	// others ask in their own data centre, and elsewhere if nobody is left.
	first, second := c.Local, c.Relays
	if c.Relay && (!random || len(c.Local) == 0) {
		first, second = second, first
	}
	if peer, ok := c.randomPeer(now, first); ok {
		return peer, true
	}
	return c.randomPeer(now, second)
}

func (c *Configurer) randomPeer(now time.Time, peers []spreader.Peer) (spreader.Peer, bool) {
	var candidates []spreader.Peer
	for _, peer := range peers {
		if !c.suspected(now, peer) {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return spreader.Peer{}, false
	}
	return candidates[c.Random.IntN(len(candidates))], true
}

func (c *Configurer) suspected(now time.Time, peer spreader.Peer) bool {
	until, ok := c.Suspects[peer.Name]
	if ok && !now.Before(until) {
		delete(c.Suspects, peer.Name)
		return false
	}
	return ok
}

// answer tells a peer what it lacks and how old this node's contacts are.
func (c *Configurer) answer(now time.Time, message PullAsked) []Effect {
	var effects []Effect
	if c.Relay {
		c.Contacts = c.Contacts.merge(now, map[Source]time.Duration{c.DataCentre: 0})
		effects = append(effects, PublishContacts{c.Contacts})
	}
	answer := Answer{Version: c.InForce.Version, Ages: c.Contacts.ages(now)}
	if message.Version < c.InForce.Version {
		answer.Changes = c.recentSince(message.Version)
		if answer.Changes == nil {
			answer.Configuration = c.InForce
		}
	}
	return append(effects, AnswerPull{Call: message.Call, Answer: answer})
}

// recentSince returns the changes above version, or nil if some are missing.
func (c *Configurer) recentSince(version uint64) []releaser.Change {
	if len(c.Recent) == 0 || c.Recent[0].Version > version+1 {
		return nil
	}
	return after(c.Recent, version)
}

// pulled adopts a peer's answer. The peer's contacts count only if everything
// that the peer had in force is in force here.
func (c *Configurer) pulled(message PullAnswered) []Effect {
	answer := message.Answer
	configuration := answer.Configuration
	if configuration == nil {
		configuration = c.replay(answer.Changes)
	}
	effects := c.adopt(configuration, answer.Changes)
	if c.InForce.Version < answer.Version {
		return effects
	}
	ages := map[Source]time.Duration{}
	for source, age := range answer.Ages {
		ages[source] = age
	}
	if c.Relay {
		// The exchange is this relay's own evidence of its data centre.
		ages[c.DataCentre] = 0
	}
	c.Contacts = c.Contacts.merge(message.Started, ages)
	return append(effects, PublishContacts{c.Contacts})
}
