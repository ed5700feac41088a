package configurer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// pull asks the parent, and now and then a random peer, for what is new.
func (c *Configurer) pull(now time.Time) []Effect {
	if c.PullAt.IsZero() {
		c.PullAt = now
	}
	if now.Before(c.PullAt) {
		return nil
	}
	c.PullAt = now.Add(PullEvery)
	c.Pulls++
	var effects []Effect
	for _, peer := range c.choosePeers(now) {
		effects = append(effects, Pull{Peer: peer, Version: c.InForce.Version})
	}
	return effects
}

// choosePeers returns the parent, and now and then a random peer beside it.
// The random pull does not replace the one from the parent: with a pull less
// at each of three levels, contacts came near MaxAge.
func (c *Configurer) choosePeers(now time.Time) []spreader.Peer {
	random := c.Pulls%randomPullEvery == 0
	var chosen []spreader.Peer
	if c.Parent != nil && !c.suspected(now, *c.Parent) {
		chosen = append(chosen, *c.Parent)
		if !random {
			return chosen
		}
	}
	if peer, ok := c.randomPeer(now, random); ok {
		chosen = append(chosen, peer)
	}
	return chosen
}

func (c *Configurer) randomPeer(now time.Time, random bool) (spreader.Peer, bool) {
	// Relays ask other data centres, whose contact they bring home; the
	// others ask in their own data centre, and elsewhere if nobody is left.
	first, second := c.Local, c.Relays
	if c.Relay && (!random || len(c.Local) == 0) {
		first, second = second, first
	}
	if peer, ok := c.stalest(now, first); ok {
		return peer, true
	}
	if peer, ok := c.stalest(now, second); ok {
		return peer, true
	}
	return c.leastSuspected(slices.Concat(first, second))
}

// stalestOf is the number of random peers of which the one is asked whose data
// centre has not been heard of for longest. With few data centres this reaches
// each of them in turn; with many it stays random, which spreads news fast.
const stalestOf = 3

func (c *Configurer) stalest(now time.Time, peers []spreader.Peer) (spreader.Peer, bool) {
	candidates := slices.DeleteFunc(slices.Clone(peers), func(peer spreader.Peer) bool {
		return c.suspected(now, peer)
	})
	if len(candidates) == 0 {
		return spreader.Peer{}, false
	}
	chosen := candidates[c.Random.IntN(len(candidates))]
	for range stalestOf - 1 {
		other := candidates[c.Random.IntN(len(candidates))]
		if c.heard(other).Before(c.heard(chosen)) {
			chosen = other
		}
	}
	return chosen, true
}

func (c *Configurer) heard(peer spreader.Peer) time.Time {
	return c.Contacts.At[Source(peer.DataCentre)]
}

// leastSuspected returns the peer whose suspicion ends first, so that a node
// that was cut off notices at once when it no longer is.
func (c *Configurer) leastSuspected(peers []spreader.Peer) (spreader.Peer, bool) {
	if len(peers) == 0 {
		return spreader.Peer{}, false
	}
	return slices.MinFunc(peers, func(a, b spreader.Peer) int {
		return c.Suspects[a.Name].Until.Compare(c.Suspects[b.Name].Until)
	}), true
}

func (c *Configurer) suspected(now time.Time, peer spreader.Peer) bool {
	return now.Before(c.Suspects[peer.Name].Until)
}

// suspect keeps a silent peer from being asked again, for longer each time.
func (c *Configurer) suspect(now time.Time, peer string) {
	suspicion := c.Suspects[peer]
	suspicion.Length = min(max(2*suspicion.Length, minSuspicion), maxSuspicion)
	suspicion.Until = now.Add(suspicion.Length)
	c.Suspects[peer] = suspicion
}

// Suspicion is the evidence against a peer.
type Suspicion struct {
	Until  time.Time
	Length time.Duration
}

// minSuspicion and maxSuspicion bound how long a silent peer is not asked.
const (
	minSuspicion = 2 * time.Second
	maxSuspicion = 40 * time.Second
)

// answer tells a peer what it lacks and how old this node's contacts are.
func (c *Configurer) answer(now time.Time, message PullAsked) []Effect {
	var effects []Effect
	if c.Relay && c.establish(now) {
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
func (c *Configurer) pulled(now time.Time, message PullAnswered) []Effect {
	delete(c.Suspects, message.Peer)
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
	c.Contacts = c.Contacts.merge(message.Started, ages)
	if c.Relay && c.establish(now) {
		// The exchange is this relay's own evidence of its data centre.
		c.Contacts = c.Contacts.merge(message.Started, map[Source]time.Duration{c.DataCentre: 0})
	}
	return append(effects, PublishContacts{c.Contacts})
}

// establish updates and returns Established.
func (c *Configurer) establish(now time.Time) bool {
	if c.Established {
		c.Established = c.Contacts.Current(now)
	}
	if !c.Established {
		c.Established = c.Contacts.without(c.DataCentre).Current(now)
	}
	return c.Established
}
