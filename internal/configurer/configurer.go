package configurer

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Intervals and limits of the controller.
const (
	// WatchWait is how long one watch of the head waits for a change. A watch
	// that ends without a change only proves that the head was unchanged when
	// the watch began, so a relay's evidence can be up to twice as old.
	WatchWait = time.Second
	// PullInterval is how often a node pulls from its parent.
	PullInterval = time.Second
	// roundsPerRandomPull is the number of pull rounds per additional pull
	// from a random peer.
	roundsPerRandomPull = 3
	// directWatchDelay is the age of the last contact with the object API at
	// which a node that is not a relay reads from the API itself.
	directWatchDelay = 6 * time.Second
	// minBackOff is the lower bound of the back-off after a failed read, and
	// maxRelayBackOff and maxBackOff are the upper bounds for relays and for
	// other nodes. Relays thus recover soon after an outage, and the other
	// 3,500 nodes make fewer than 120 reads per second during one.
	minBackOff      = 500 * time.Millisecond
	maxRelayBackOff = 2 * time.Second
	maxBackOff      = 30 * time.Second
	// maxRecentChanges bounds the changes that a node retains for pulls by
	// its peers.
	maxRecentChanges = 256
)

// Configurer is the controller of the configuration in force.
type Configurer struct {
	DataCentre Source
	Relay      bool
	Parent     *spreader.Peer
	Local      []spreader.Peer
	Relays     []spreader.Peer
	// InForce is the configuration in force. Its version never decreases.
	InForce *releaser.Configuration
	// RecentChanges are consecutive changes up to the version in force, for
	// pulls by peers.
	RecentChanges []releaser.Change
	Contacts      Contacts
	// Synced reports whether this node has had every change known to the
	// object API or to a majority of the other data centres, and has been
	// current since. A relay counts as evidence for its data centre only if
	// it is synced, because a relay that has just started may lack changes
	// that its predecessor had.
	Synced bool
	// ObjectVersion is the object API's version of the newest confirmed head read in Era,
	// the latest era of the object API that this node knows of since EraKnownAt.
	ObjectVersion uint64
	Era           uint64
	EraKnownAt    time.Time
	// Watching reports whether a watch or a read of a base configuration is
	// in progress.
	Watching bool
	// WatchAt is when the next watch may start. BackOff is the back-off of
	// the last failed one before jitter, or 0.
	WatchAt time.Time
	BackOff time.Duration
	// PullAt is when the next round of pulls starts. PullCount is the number
	// of rounds started.
	PullAt    time.Time
	PullCount int
	// Suspicions holds the peers that did not respond, by name.
	Suspicions map[string]Suspicion
	Random     *rand.Rand
}

// New returns a configurer with the empty configuration in force. seed
// determines the choice of random peers and the jitter of the back-off.
func New(dataCentre string, seed uint64) *Configurer {
	return &Configurer{
		DataCentre: Source(dataCentre),
		InForce:    releaser.Empty(),
		Suspicions: map[string]Suspicion{},
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
		effects = c.handleHeadUnchanged(now, message)
	case HeadMissing:
		effects = c.handleHeadRead(now, message.head())
	case HeadRestored:
		c.Watching, c.WatchAt = false, now
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

// handleHeadRead adopts the changes in a head that was read. If the head no
// longer contains all missing changes, it reads the base configuration.
func (c *Configurer) handleHeadRead(now time.Time, message HeadRead) []Effect {
	effects := c.observeEra(now, message.Era)
	if c.Era > 0 && message.Head.Version < c.InForce.Version {
		return append(effects, c.restoreHead(now, message)...)
	}
	changes, complete := message.Head.Since(c.InForce.Version)
	if !complete {
		c.Watching = true
		return append(effects, ReadBase{message})
	}
	effects = append(effects, c.adopt(c.replay(changes), changes)...)
	return append(effects, c.recordHead(now, message)...)
}

func (c *Configurer) handleBaseRead(now time.Time, message BaseRead) []Effect {
	configuration, err := releaser.Replay(message.Base, message.Head.Head.Changes)
	if err != nil {
		c.scheduleWatchRetry(now)
		return nil
	}
	effects := c.adopt(configuration, message.Head.Head.Changes)
	return append(effects, c.recordHead(now, message.Head)...)
}

// recordHead records that the configuration in force includes a head that was read, and
// confirms the head if that is due.
func (c *Configurer) recordHead(now time.Time, message HeadRead) []Effect {
	c.retainHeadChanges(message.Head)
	if message.Head.Era < c.Era {
		return c.confirmHead(now, message)
	}
	c.ObjectVersion = max(c.ObjectVersion, message.ObjectVersion)
	return c.recordAPIContact(now, message.Started)
}

// retainHeadChanges retains the changes of a head for pulls by peers and for a restoration
// of the object API, if it has more of them than this node.
func (c *Configurer) retainHeadChanges(head releaser.Head) {
	if head.Version != c.InForce.Version || len(head.Changes) <= len(c.RecentChanges) || len(c.RecentChanges) >= maxRecentChanges {
		return
	}
	c.RecentChanges = slices.Clone(head.Changes[max(0, len(head.Changes)-maxRecentChanges):])
}

// recordAPIContact records that the configuration in force includes every
// change that the object API had at started, when a successful call began.
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
	// Jitter prevents synchronized retries of nodes that failed at the same
	// time.
	c.WatchAt = now.Add(c.BackOff/2 + time.Duration(c.Random.Int64N(int64(c.BackOff))))
}

// startWatch starts a watch if this node is a relay, or if its last contact with
// the object API is directWatchDelay old.
func (c *Configurer) startWatch(now time.Time) []Effect {
	if c.Watching || now.Before(c.WatchAt) {
		return nil
	}
	if !c.Relay {
		if contactAt, ok := c.Contacts.At[API]; ok && now.Sub(contactAt) < directWatchDelay {
			c.WatchAt = contactAt.Add(directWatchDelay)
			return nil
		}
	}
	c.Watching = true
	if !c.Contacts.isFresh(API, now) {
		// Without a recent contact with the object API, read without waiting
		// for a change, so that the node becomes current as soon as possible.
		return []Effect{WatchHead{After: c.ObjectVersion}}
	}
	return []Effect{WatchHead{After: c.ObjectVersion, Wait: WatchWait}}
}

// replay returns the configuration in force with changes applied, or nil if
// they cannot be applied to it.
func (c *Configurer) replay(changes []releaser.Change) *releaser.Configuration {
	configuration, err := releaser.Replay(c.InForce, changes)
	if err != nil {
		return nil
	}
	return configuration
}

// adopt puts a configuration in force if it is newer, and pushes the changes
// that were new to this node.
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

// recordRecentChanges adds changes to RecentChanges. RecentChanges stays
// consecutive: the older changes are discarded if the new ones leave a gap, and
// all of them if the new ones do not lead to toVersion.
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
