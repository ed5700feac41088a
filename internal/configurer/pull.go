package configurer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// startPulls starts the pulls of a round if one is due.
func (c *Configurer) startPulls(now time.Time) []Effect {
	if c.PullAt.IsZero() {
		c.PullAt = now
	}
	if now.Before(c.PullAt) {
		return nil
	}
	c.PullAt = now.Add(PullInterval)
	c.PullCount++
	var effects []Effect
	for _, peer := range c.choosePeers(now) {
		effects = append(effects, Pull{Peer: peer, Version: c.InForce.Version})
	}
	return effects
}

// choosePeers returns the peers to pull from: the parent, and in every
// roundsPerRandomPull-th round also a random peer. Without a parent that is not
// suspected, it returns a random peer in every round. The random pull does not
// replace the pull from the parent: with one pull fewer at each of three levels
// of the tree, the age of contacts came close to MaxAge.
func (c *Configurer) choosePeers(now time.Time) []spreader.Peer {
	randomRound := c.PullCount%roundsPerRandomPull == 0
	var chosen []spreader.Peer
	if c.Parent != nil && !c.isSuspected(now, *c.Parent) {
		chosen = append(chosen, *c.Parent)
		if !randomRound {
			return chosen
		}
	}
	if peer, ok := c.randomPeer(now, randomRound); ok {
		chosen = append(chosen, peer)
	}
	return chosen
}

func (c *Configurer) randomPeer(now time.Time, randomRound bool) (spreader.Peer, bool) {
	// Relays pull from other data centres, to obtain contacts with them for
	// their own data centre, except in random rounds. Other nodes pull within
	// their own data centre, and from other data centres only if all of its
	// nodes are suspected.
	preferred, fallback := c.Local, c.Relays
	if c.Relay && (!randomRound || len(c.Local) == 0) {
		preferred, fallback = fallback, preferred
	}
	if peer, ok := c.sampleStalestPeer(now, preferred); ok {
		return peer, true
	}
	if peer, ok := c.sampleStalestPeer(now, fallback); ok {
		return peer, true
	}
	return c.leastSuspected(slices.Concat(preferred, fallback))
}

// stalestSampleSize is the number of random peers that sampleStalestPeer selects
// from. It selects the one whose data centre has the oldest contact. With few
// data centres this reaches each of them in turn; with many it remains random,
// which propagates changes fast.
const stalestSampleSize = 3

func (c *Configurer) sampleStalestPeer(now time.Time, peers []spreader.Peer) (spreader.Peer, bool) {
	candidates := slices.DeleteFunc(slices.Clone(peers), func(peer spreader.Peer) bool {
		return c.isSuspected(now, peer)
	})
	if len(candidates) == 0 {
		return spreader.Peer{}, false
	}
	chosen := candidates[c.Random.IntN(len(candidates))]
	for range stalestSampleSize - 1 {
		other := candidates[c.Random.IntN(len(candidates))]
		if c.lastContact(other).Before(c.lastContact(chosen)) {
			chosen = other
		}
	}
	return chosen, true
}

func (c *Configurer) lastContact(peer spreader.Peer) time.Time {
	return c.Contacts.At[Source(peer.DataCentre)]
}

// leastSuspected returns the peer whose suspicion ends first. By pulling from it,
// a node that was cut off from all peers detects immediately that it is connected
// again.
func (c *Configurer) leastSuspected(peers []spreader.Peer) (spreader.Peer, bool) {
	if len(peers) == 0 {
		return spreader.Peer{}, false
	}
	return slices.MinFunc(peers, func(a, b spreader.Peer) int {
		return c.Suspicions[a.Name].Until.Compare(c.Suspicions[b.Name].Until)
	}), true
}

func (c *Configurer) isSuspected(now time.Time, peer spreader.Peer) bool {
	return now.Before(c.Suspicions[peer.Name].Until)
}

// suspect excludes a peer that did not respond from pulls. The duration doubles
// each time.
func (c *Configurer) suspect(now time.Time, peer string) {
	suspicion := c.Suspicions[peer]
	suspicion.Duration = min(max(2*suspicion.Duration, minSuspicion), maxSuspicion)
	suspicion.Until = now.Add(suspicion.Duration)
	c.Suspicions[peer] = suspicion
}

// Suspicion is the state of a peer that did not respond. Until is when it may be
// tried again, and Duration the length of the suspicion.
type Suspicion struct {
	Until    time.Time
	Duration time.Duration
}

// minSuspicion and maxSuspicion bound how long a peer that did not respond is
// excluded from pulls.
const (
	minSuspicion = 2 * time.Second
	maxSuspicion = 40 * time.Second
)

// answerPull answers a pull with the changes, or the configuration, that the
// peer lacks, and with the ages of this node's contacts.
func (c *Configurer) answerPull(now time.Time, message PullRequested) []Effect {
	var effects []Effect
	if c.Relay && c.updateSynced(now) {
		c.Contacts = c.Contacts.merge(now, map[Source]time.Duration{c.DataCentre: 0})
		effects = append(effects, PublishContacts{c.Contacts})
	}
	answer := Answer{Version: c.InForce.Version, Ages: c.Contacts.ages(now)}
	if message.Version < c.InForce.Version {
		answer.Changes = c.recentChangesSince(message.Version)
		if answer.Changes == nil {
			answer.Configuration = c.InForce
		}
	}
	return append(effects, AnswerPull{Call: message.Call, Answer: answer})
}

// recentChangesSince returns the changes above version, or nil if some are missing.
func (c *Configurer) recentChangesSince(version uint64) []releaser.Change {
	if len(c.RecentChanges) == 0 || c.RecentChanges[0].Version > version+1 {
		return nil
	}
	return changesAfter(c.RecentChanges, version)
}

// handlePullAnswered adopts a peer's answer. The peer's contacts are merged only
// if the version in force here is at least the peer's.
func (c *Configurer) handlePullAnswered(now time.Time, message PullAnswered) []Effect {
	delete(c.Suspicions, message.Peer)
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
	if c.Relay && c.updateSynced(now) {
		// Since this relay is synced, it is itself evidence for its data centre.
		c.Contacts = c.Contacts.merge(message.Started, map[Source]time.Duration{c.DataCentre: 0})
	}
	return append(effects, PublishContacts{c.Contacts})
}

// updateSynced updates Synced and returns it.
func (c *Configurer) updateSynced(now time.Time) bool {
	if c.Synced {
		c.Synced = c.Contacts.Current(now)
	}
	if !c.Synced {
		c.Synced = c.Contacts.withoutSource(c.DataCentre).Current(now)
	}
	return c.Synced
}
