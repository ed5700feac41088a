package dispatcher

import (
	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Errors that end a stream.
var (
	// ErrWrongAttempt reports a line of another attempt.
	ErrWrongAttempt = merry.Sentinel("the endpoint answered with a line of another attempt")
	// ErrTokenSequence reports that tokens are missing or repeated.
	ErrTokenSequence = merry.Sentinel("the endpoint left out or repeated tokens")
)

// Line is a line of an answer.
type Line struct {
	// Attempt is the identity that the line carries.
	Attempt string
	Event   filter.Event
}

// SequenceChecker checks that the lines of an answer belong to one attempt and leave
// nothing out.
type SequenceChecker struct {
	Attempt string
	// Next is the index of the next token.
	NextIndex int
}

// Step returns the event that a line stands for. After an error nothing of
// the answer may be used any more.
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
			return nil, merry.Wrap(ErrTokenSequence, merry.AppendMessagef("the answer has %d tokens, %d arrived", event.CompletionTokens, f.NextIndex))
		}
	case filter.KeepAlive:
	}
	return line.Event, nil
}
