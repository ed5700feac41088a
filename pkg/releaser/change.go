package releaser

import "time"

// Change is one accepted change. The log of changes is also the audit trail:
// it says who changed what, when, and, as versions are consecutive, from which
// version to which.
type Change struct {
	// Version is the configuration's version after the change.
	Version uint64
	// ID is a UUID chosen by the writer, by which it recognises its own
	// change after a lost reply.
	ID    string
	Actor string
	Time  time.Time
	Body  Body
}

// Body is what a change does: ApplyNote, GrantKey or WithdrawKey.
type Body interface{ isBody() }

// ApplyNote puts a release note in force.
type ApplyNote struct{ Note Note }

// GrantKey allows a key.
type GrantKey struct{ Grant Grant }

// WithdrawKey ends a grant.
type WithdrawKey struct{ GrantID string }

func (ApplyNote) isBody()   {}
func (GrantKey) isBody()    {}
func (WithdrawKey) isBody() {}

// Action says what a note's entry does.
type Action string

// The actions of a note's entries.
const (
	Add      Action = "Add"
	Alter    Action = "Change"
	Withdraw Action = "Withdraw"
)

// Note is a release note: a list of additions, changes and withdrawals that
// comes into force as a whole.
type Note struct {
	Name string
	// Base is the NoteVersion that the note was written against.
	Base       uint64
	Models     []ModelEntry
	Adapters   []AdapterEntry
	Services   []ServiceEntry
	Workspaces []WorkspaceEntry
}

// ModelEntry adds, changes or withdraws one version of a model.
type ModelEntry struct {
	Action Action
	Model
}

// AdapterEntry adds, changes or withdraws one version of an adapter.
type AdapterEntry struct {
	Action Action
	Adapter
}

// ServiceEntry adds, changes or withdraws a service.
type ServiceEntry struct {
	Action Action
	Service
}

// WorkspaceEntry adds, changes or withdraws a workspace.
type WorkspaceEntry struct {
	Action Action
	Workspace
}
