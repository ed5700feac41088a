package configurer

import (
	"math/rand/v2"
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Periods of the controller.
const (
	// WatchWait is how long one watch of the head waits. Its end without a
	// change is evidence that nothing had changed at its beginning, so that a
	// relay's evidence is up to twice as old.
	WatchWait = time.Second
	// PullInterval is how often a node pulls from its parent.
	PullInterval = time.Second
	// roundsPerRandomPull is the number of rounds of which one also pulls from a
	// random peer.
	roundsPerRandomPull = 3
	// directWatchDelay is the age of the last contact with the object API after
	// which a node that is no relay asks the API itself.
	directWatchDelay = 6 * time.Second
	// minBackOff bounds the delay after a failed read from below, the other
	// two from above: relays come back soon after an outage, and the other
	// 3,500 nodes stay below 120 reads a second during one.
	minBackOff      = 500 * time.Millisecond
	maxRelayBackOff = 2 * time.Second
	maxBackOff      = 30 * time.Second
	// maxRecentChanges bounds the changes that a node keeps for its peers.
	maxRecentChanges = 256
)

// Configurer is the controller of the configuration in force.
type Configurer struct {
	DataCentre Source
	Relay      bool
	Parent     *spreader.Peer
	Local      []spreader.Peer
	Relays     []spreader.Peer
	// InForce is the configuration in force. Its version only grows.
	InForce *releaser.Configuration
	// RecentChanges holds consecutive changes up to the version in force, for peers.
	RecentChanges []releaser.Change
	Contacts      Contacts
	// Synced says that this node has had everything that the object API
	// or a majority of the other data centres had, and has been current
	// since. Only then a relay is evidence for its data centre: one that has
	// just started does not know what its predecessor knew.
	Synced bool
	// ObjectVersion is the platform's version of the newest head read.
	ObjectVersion uint64
	// Watching says that a watch or a read of a base is under way.
	Watching bool
	// WatchAt is when the next watch may start, BackOff its last delay.
	WatchAt time.Time
	BackOff time.Duration
	// PullAt is when the next pull starts; PullCount counts them.
	PullAt    time.Time
	PullCount int
	// Suspects holds peers that did not answer, by name.
	Suspects map[string]Suspicion
	Random   *rand.Rand
}

// New returns a configurer with nothing in force. The seed decides which peers
// it asks.
func New(dataCentre string, seed uint64) *Configurer {
	return &Configurer{
		DataCentre: Source(dataCentre),
		InForce:    releaser.Empty(),
		Suspects:   map[string]Suspicion{},
		Random:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Wake implements runner.Controller.
func (c *Configurer) Wake() time.Time {
	wake := c.PullAt
	if !c.Watching && (wake.IsZero() || c.WatchAt.Before(wake)) {
		wake = c.WatchAt
	}
	return wake
}

// Step implements runner.Controller.
func (c *Configurer) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case PeersChanged:
		effects = c.handlePeersChanged(now, message)
	case HeadRead:
		effects = c.handleHeadRead(now, message)
	case HeadUnchanged:
		effects = c.recordAPIContact(now, message.Started)
	case HeadMissing:
		effects = c.recordAPIContact(now, message.Started)
	case HeadFailed:
		c.scheduleWatchRetry(now)
	case BaseRead:
		effects = c.handleBaseRead(now, message)
	case ChangesPushed:
		effects = c.adopt(c.replay(message.Changes), message.Changes)
	case PullRequested:
		effects = c.answerPull(now, message)
	case PullAnswered:
		effects = c.handlePullAnswered(now, message)
	case PullFailed:
		c.suspect(now, message.Peer)
	case Tick:
	}
	effects = append(effects, c.startWatch(now)...)
	return append(effects, c.startPulls(now)...)
}

func (c *Configurer) handlePeersChanged(now time.Time, message PeersChanged) []Effect {
	if message.Relay && !c.Relay {
		c.WatchAt = now
	}
	c.Relay = message.Relay
	c.Parent = message.Parent
	c.Local = message.Local
	c.Relays = message.Relays
	c.Contacts.DataCentres = message.DataCentres
	return []Effect{PublishContacts{c.Contacts}}
}

// handleHeadRead adopts what a read or watch of the head brought.
func (c *Configurer) handleHeadRead(now time.Time, message HeadRead) []Effect {
	changes, complete := message.Head.Since(c.InForce.Version)
	if !complete {
		c.Watching = true
		return []Effect{ReadBase{message}}
	}
	c.ObjectVersion = max(c.ObjectVersion, message.ObjectVersion)
	effects := c.adopt(c.replay(changes), changes)
	return append(effects, c.recordAPIContact(now, message.Started)...)
}

func (c *Configurer) handleBaseRead(now time.Time, message BaseRead) []Effect {
	c.ObjectVersion = max(c.ObjectVersion, message.Head.ObjectVersion)
	configuration, err := releaser.Replay(message.Base, message.Head.Head.Changes)
	if err != nil {
		c.scheduleWatchRetry(now)
		return nil
	}
	effects := c.adopt(configuration, message.Head.Head.Changes)
	return append(effects, c.recordAPIContact(now, message.Head.Started)...)
}

// recordAPIContact records that the configuration in force held everything that the
// object API had when a successful call began.
func (c *Configurer) recordAPIContact(now, started time.Time) []Effect {
	c.Watching = false
	c.WatchAt = now
	c.BackOff = 0
	if !c.Relay {
		c.WatchAt = now.Add(directWatchDelay)
	}
	c.Contacts = c.Contacts.merge(started, map[Source]time.Duration{API: 0})
	return []Effect{PublishContacts{c.Contacts}}
}

func (c *Configurer) scheduleWatchRetry(now time.Time) {
	c.Watching = false
	maxDelay := maxBackOff
	if c.Relay {
		maxDelay = maxRelayBackOff
	}
	c.BackOff = min(max(2*c.BackOff, minBackOff), maxDelay)
	// The jitter keeps nodes that failed together from trying again together.
	c.WatchAt = now.Add(c.BackOff/2 + time.Duration(c.Random.Int64N(int64(c.BackOff))))
}

// startWatch starts a watch if this node is a relay, or if it has heard nothing of
// the object API for a while.
func (c *Configurer) startWatch(now time.Time) []Effect {
	if c.Watching || now.Before(c.WatchAt) {
		return nil
	}
	if !c.Relay {
		if at, ok := c.Contacts.At[API]; ok && now.Sub(at) < directWatchDelay {
			c.WatchAt = at.Add(directWatchDelay)
			return nil
		}
	}
	c.Watching = true
	if !c.Contacts.isFresh(API, now) {
		// A node that is not current must not wait to become so.
		return []Effect{WatchHead{After: c.ObjectVersion}}
	}
	return []Effect{WatchHead{After: c.ObjectVersion, Wait: WatchWait}}
}

// replay returns the configuration after changes, or nil if they do not lead
// to a newer one.
func (c *Configurer) replay(changes []releaser.Change) *releaser.Configuration {
	configuration, err := releaser.Replay(c.InForce, changes)
	if err != nil {
		return nil
	}
	return configuration
}

// adopt puts a configuration in force if it is newer, and passes on the
// changes that were new here.
func (c *Configurer) adopt(configuration *releaser.Configuration, changes []releaser.Change) []Effect {
	if configuration == nil || configuration.Version <= c.InForce.Version {
		return nil
	}
	newChanges := changesAfter(changes, c.InForce.Version)
	c.recordRecentChanges(newChanges, c.InForce.Version, configuration.Version)
	c.InForce = configuration
	effects := []Effect{Publish{configuration}}
	if len(newChanges) > 0 {
		effects = append(effects, PushChanges{newChanges})
	}
	return effects
}

func changesAfter(changes []releaser.Change, version uint64) []releaser.Change {
	for i, change := range changes {
		if change.Version > version {
			return changes[i:]
		}
	}
	return nil
}

// recordRecentChanges keeps changes for peers. RecentChanges stays consecutive: if the fresh
// changes leave a gap to it, it starts anew.
func (c *Configurer) recordRecentChanges(newChanges []releaser.Change, fromVersion, toVersion uint64) {
	if len(newChanges) == 0 || newChanges[len(newChanges)-1].Version != toVersion {
		c.RecentChanges = nil
		return
	}
	if newChanges[0].Version != fromVersion+1 {
		c.RecentChanges = nil
	}
	c.RecentChanges = append(c.RecentChanges, newChanges...)
	if excess := len(c.RecentChanges) - maxRecentChanges; excess > 0 {
		c.RecentChanges = append([]releaser.Change(nil), c.RecentChanges[excess:]...)
	}
}
