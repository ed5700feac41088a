package releaser

import "time"

// Change is one accepted change. The change log is also the audit trail: it
// records who changed what and when and, as versions are consecutive, from which
// version to which.
type Change struct {
	// Version is the configuration's version after the change.
	Version uint64
	// ID is a UUID chosen by the writer. A writer that lost the reply to its
	// write uses it to recognise its own change.
	ID    string
	Actor string
	Time  time.Time
	Body  Body
}

// Body is the operation of a change: ApplyNote, GrantKey or WithdrawKey.
type Body interface{ isBody() }

// ApplyNote puts a release note in force.
type ApplyNote struct{ Note Note }

// GrantKey adds a grant.
type GrantKey struct{ Grant Grant }

// WithdrawKey removes a grant.
type WithdrawKey struct{ GrantID string }

func (ApplyNote) isBody()   {}
func (GrantKey) isBody()    {}
func (WithdrawKey) isBody() {}

// Action is the operation of an entry in a note.
type Action string

// The actions of a note's entries.
const (
	Add      Action = "Add"
	Alter    Action = "Change"
	Withdraw Action = "Withdraw"
)

// Note is a release note: a list of additions, changes and withdrawals that
// takes effect as a whole.
type Note struct {
	Name string
	// Base is the NoteVersion of the configuration that the note was written
	// for.
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
