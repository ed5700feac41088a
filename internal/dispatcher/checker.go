package dispatcher

import (
	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Errors that end a response stream.
var (
	// ErrWrongAttempt reports a line of another attempt.
	ErrWrongAttempt = merry.Sentinel("the endpoint sent a line of another attempt")
	// ErrTokenSequence reports that tokens are missing or repeated.
	ErrTokenSequence = merry.Sentinel("tokens from the endpoint are missing or repeated")
)

// Line is a decoded line of a response.
type Line struct {
	// Attempt is the attempt ID in the line.
	Attempt string
	Event   filter.Event
}

// SequenceChecker checks that the lines of a response belong to one attempt and
// that no token is missing or repeated.
type SequenceChecker struct {
	Attempt string
	// NextIndex is the index of the next token.
	NextIndex int
}

// Check returns the event of a line. It returns ErrWrongAttempt or
// ErrTokenSequence if the line does not continue the response; nothing that
// follows in the response may then be used.
func (f *SequenceChecker) Check(line Line) (filter.Event, error) {
	if line.Attempt != f.Attempt {
		return nil, merry.Wrap(ErrWrongAttempt, merry.AppendMessagef("got %q, want %q", line.Attempt, f.Attempt))
	}
	switch event := line.Event.(type) {
	case filter.Token:
		if event.Index != f.NextIndex {
			return nil, merry.Wrap(ErrTokenSequence, merry.AppendMessagef("got index %d, want %d", event.Index, f.NextIndex))
		}
		f.NextIndex++
	case filter.Finish:
		if event.CompletionTokens != f.NextIndex {
			return nil, merry.Wrap(ErrTokenSequence, merry.AppendMessagef("the endpoint reports %d tokens, but %d were received", event.CompletionTokens, f.NextIndex))
		}
	case filter.KeepAlive:
	}
	return line.Event, nil
}
