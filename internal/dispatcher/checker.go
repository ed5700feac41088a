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
func (c *SequenceChecker) Check(line Line) (filter.Event, error) {
	if line.Attempt != c.Attempt {
		return nil, merry.Wrap(ErrWrongAttempt, merry.AppendMessagef("got %q, want %q", line.Attempt, c.Attempt))
	}
	switch event := line.Event.(type) {
	case filter.Token:
		if event.Index != c.NextIndex {
			return nil, merry.Wrap(ErrTokenSequence, merry.AppendMessagef("got index %d, want %d", event.Index, c.NextIndex))
		}
		c.NextIndex++
	case filter.Finish:
		if event.CompletionTokens != c.NextIndex {
			return nil, merry.Wrap(ErrTokenSequence, merry.AppendMessagef("the endpoint reports %d tokens, but %d were received", event.CompletionTokens, c.NextIndex))
		}
	case filter.KeepAlive:
	}
	return line.Event, nil
}
