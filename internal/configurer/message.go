package configurer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Source names what a contact is with: the object API or a data centre.
type Source string

// API is the source of contacts with the object API. Data centres go by their
// names, which cannot contain a space.
const API Source = "object API"

// Answer is what a peer says to a pull.
type Answer struct {
	// Version is the peer's version in force.
	Version uint64
	// Changes follow the version that the pull named. It is empty if the
	// puller has them all or needs Configuration.
	Changes []releaser.Change
	// Configuration is set if the peer no longer has all changes that the
	// puller lacks.
	Configuration *releaser.Configuration
	// Ages says how long ago the peer, with Version in force, was in contact
	// with each source.
	Ages map[Source]time.Duration
}

// Message is what a Configurer reacts to.
type Message interface{ isMessage() }

// PeersChanged replaces the live nodes. Parent is nil for relays and for a
// node that is alone in its data centre.
type PeersChanged struct {
	// Relay says that this node watches the object API.
	Relay  bool
	Parent *spreader.Peer
	// Local holds the other nodes of the data centre, Relays those of other
	// data centres that watch the object API.
	Local  []spreader.Peer
	Relays []spreader.Peer
	// DataCentres is the number of data centres with entry instances.
	DataCentres int
}

// HeadRead brings the head of the change log. Started is when the call began.
type HeadRead struct {
	Started       time.Time
	ObjectVersion uint64
	Head          releaser.Head
}

// HeadUnchanged says that a watch ended without a change. Started is when the
// call began.
type HeadUnchanged struct{ Started time.Time }

// HeadMissing says that no change was ever made.
type HeadMissing struct{ Started time.Time }

// HeadFailed says that a watch failed.
type HeadFailed struct{}

// BaseRead brings the base configuration of a head that was read before.
type BaseRead struct {
	Head HeadRead
	Base *releaser.Configuration
}

// ChangesPushed brings changes from a peer.
type ChangesPushed struct{ Changes []releaser.Change }

// PullRequested asks for what a peer lacks.
type PullRequested struct {
	Call    runner.Call
	Version uint64
}

// PullAnswered brings a peer's answer. Started is when the pull began.
type PullAnswered struct {
	Peer    string
	Started time.Time
	Answer  Answer
}

// PullFailed says that a peer did not answer.
type PullFailed struct{ Peer string }

// Tick passes time on.
type Tick struct{}

func (PeersChanged) isMessage()  {}
func (HeadRead) isMessage()      {}
func (HeadUnchanged) isMessage() {}
func (HeadMissing) isMessage()   {}
func (HeadFailed) isMessage()    {}
func (BaseRead) isMessage()      {}
func (ChangesPushed) isMessage() {}
func (PullRequested) isMessage() {}
func (PullAnswered) isMessage()  {}
func (PullFailed) isMessage()    {}
func (Tick) isMessage()          {}

// Effect is what a Configurer wants done.
type Effect interface{ isEffect() }

// WatchHead waits for an object version of the head above After. Wait is 0 for
// a read that answers at once.
type WatchHead struct {
	After uint64
	Wait  time.Duration
}

// ReadBase reads the parts of a head's base configuration.
type ReadBase struct{ Head HeadRead }

// Pull asks a peer for what this node lacks above Version.
type Pull struct {
	Peer    spreader.Peer
	Version uint64
}

// AnswerPull answers a PullRequested.
type AnswerPull struct {
	Call   runner.Call
	Answer Answer
}

// Publish puts a configuration in force at this node.
type Publish struct{ Configuration *releaser.Configuration }

// PublishContacts replaces what Current is decided by.
type PublishContacts struct{ Contacts Contacts }

// PushChanges sends changes to the other nodes.
type PushChanges struct{ Changes []releaser.Change }

func (WatchHead) isEffect()       {}
func (ReadBase) isEffect()        {}
func (Pull) isEffect()            {}
func (AnswerPull) isEffect()      {}
func (Publish) isEffect()         {}
func (PublishContacts) isEffect() {}
func (PushChanges) isEffect()     {}
