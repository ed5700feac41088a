package releaser

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Errors that users of the package can test for.
var (
	// ErrUnknown reports a name that is not in force.
	ErrUnknown = merry.Sentinel("not in force")
	// ErrInvalid reports a change that violates a rule. For a note, the message
	// lists every violation with its location.
	ErrInvalid = merry.Sentinel("invalid change")
	// ErrConflict reports a note that was written against an older note.
	ErrConflict = merry.Sentinel("another note was accepted first")
)

func wrapf(err error, format string, arguments ...any) error {
	return merry.Wrap(err, merry.PrependMessage(fmt.Sprintf(format, arguments...)))
}
