package configurer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Source identifies the other side of a contact: the object API or a data
// centre.
type Source string

// API is the source for contacts with the object API. The source for a data
// centre is its name, which cannot contain a space, so the two do not collide.
const API Source = "object API"

// Answer is a peer's response to a pull.
type Answer struct {
	// Version is the peer's version in force.
	Version uint64
	// Changes are the changes after the version in the pull request. It is
	// empty if the requesting node has them all or needs Configuration.
	Changes []releaser.Change
	// Configuration is set if the peer no longer has all changes that the
	// requesting node lacks.
	Configuration *releaser.Configuration
	// Ages is the age of the peer's last contact with each source, with
	// Version in force.
	Ages map[Source]time.Duration
}

// Message is an input of a Configurer.
type Message interface{ isMessage() }

// PeersChanged replaces the live nodes. Parent is nil for relays, which include
// a node that is alone in its data centre.
type PeersChanged struct {
	// Relay reports whether this node watches the object API.
	Relay  bool
	Parent *spreader.Peer
	// Local are the other nodes of the data centre. Relays are the nodes of
	// other data centres that watch the object API.
	Local  []spreader.Peer
	Relays []spreader.Peer
	// DataCentres is the number of data centres with entry instances.
	DataCentres int
}

// HeadRead carries the head of the change log. Started is when the call began.
type HeadRead struct {
	Started time.Time
	// Era is the era of the object API, 0 if it is not known.
	Era           uint64
	ObjectVersion uint64
	Head          releaser.Head
}

// HeadUnchanged reports that a watch ended without a change. Started is when
// the call began, and Era the era of the object API.
type HeadUnchanged struct {
	Started time.Time
	Era     uint64
}

// HeadMissing reports that the change log has no head because no change has been
// made yet. Started is when the call began, and Era the era of the object API.
type HeadMissing struct {
	Started time.Time
	Era     uint64
}

// HeadFailed reports that a watch or a read of the base configuration failed.
type HeadFailed struct{}

// HeadRestored reports that changes that the object API had lost were written again.
type HeadRestored struct{}

// BaseRead carries the base configuration of a head that was read before.
type BaseRead struct {
	Head HeadRead
	Base *releaser.Configuration
}

// ChangesPushed carries changes received from a peer.
type ChangesPushed struct{ Changes []releaser.Change }

// PullRequested requests the changes above Version, the version in force at the
// requesting peer.
type PullRequested struct {
	Call    runner.Call
	Version uint64
}

// PullAnswered carries a peer's answer. Started is when the pull began.
type PullAnswered struct {
	Peer    string
	Started time.Time
	Answer  Answer
}

// PullFailed reports that a pull from a peer failed.
type PullFailed struct{ Peer string }

// Tick is delivered at the time that Wake returns.
type Tick struct{}

func (PeersChanged) isMessage()  {}
func (HeadRead) isMessage()      {}
func (HeadUnchanged) isMessage() {}
func (HeadMissing) isMessage()   {}
func (HeadFailed) isMessage()    {}
func (HeadRestored) isMessage()  {}
func (BaseRead) isMessage()      {}
func (ChangesPushed) isMessage() {}
func (PullRequested) isMessage() {}
func (PullAnswered) isMessage()  {}
func (PullFailed) isMessage()    {}
func (Tick) isMessage()          {}

// Effect is an action that a Configurer requests from its task.
type Effect interface{ isEffect() }

// WatchHead reads the head once its object version is above After. Wait is the
// maximum time to wait for that; 0 returns immediately.
type WatchHead struct {
	After uint64
	Wait  time.Duration
}

// ReadBase reads the parts of a head's base configuration.
type ReadBase struct{ Head HeadRead }

// RestoreHead writes a head, to which the changes that the object API had lost were
// appended or which is confirmed to lack none, if the object has the given version.
type RestoreHead struct {
	IfVersion uint64
	Head      releaser.Head
}

// Pull requests the changes above Version from a peer.
type Pull struct {
	Peer    spreader.Peer
	Version uint64
}

// AnswerPull sends the answer to a PullRequested.
type AnswerPull struct {
	Call   runner.Call
	Answer Answer
}

// Publish puts a configuration in force at this node.
type Publish struct{ Configuration *releaser.Configuration }

// PublishContacts replaces the published contacts, on which View.Current is
// based.
type PublishContacts struct{ Contacts Contacts }

// PushChanges sends changes to the other nodes.
type PushChanges struct{ Changes []releaser.Change }

// Note is a log entry about a restoration of the object API.
type Note struct {
	Text string
	Era  uint64
	// From and To are the versions between which changes are written again, 0 if the note
	// is not about changes.
	From, To uint64
}

func (Note) isEffect()            {}
func (WatchHead) isEffect()       {}
func (ReadBase) isEffect()        {}
func (RestoreHead) isEffect()     {}
func (Pull) isEffect()            {}
func (AnswerPull) isEffect()      {}
func (Publish) isEffect()         {}
func (PublishContacts) isEffect() {}
func (PushChanges) isEffect()     {}
