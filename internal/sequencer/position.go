package sequencer

// Position is a position in the history of an object API.
type Position struct {
	// Era increases each time that the API is restored from an older copy. It is 0 if
	// the API does not name it.
	Era uint64 `json:",omitempty"`
	// Revision is the number of a change. Revisions of different eras cannot be
	// compared.
	Revision uint64 `json:",omitempty"`
}

// eraShift leaves room for 2^40 revisions in an era.
const eraShift = 40

// Ordinal returns a number that grows with the position across eras. It equals Revision
// while Era is 0. Position.Era must be below 2^24 and Position.Revision below 2^40.
func (p Position) Ordinal() uint64 { return p.Era<<eraShift | p.Revision }

// PositionAt returns the position with an ordinal.
func PositionAt(ordinal uint64) Position {
	return Position{Era: ordinal >> eraShift, Revision: ordinal & (1<<eraShift - 1)}
}

// After reports whether p is later than other.
func (p Position) After(other Position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Revision > other.Revision
}
