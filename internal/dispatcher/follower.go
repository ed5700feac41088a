package dispatcher

import (
	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Errors that end a stream.
var (
	// ErrCrossed reports a line of another attempt.
	ErrCrossed = merry.Sentinel("the endpoint answered with a line of another attempt")
	// ErrGap reports that tokens are missing or repeated.
	ErrGap = merry.Sentinel("the endpoint left out or repeated tokens")
)

// Line is a line of an answer.
type Line struct {
	// Attempt is the identity that the line carries.
	Attempt string
	Event   filter.Event
}

// Follower checks that the lines of an answer belong to one attempt and leave
// nothing out.
type Follower struct {
	Attempt string
	// Next is the index of the next token.
	Next int
}

// Step returns the event that a line stands for. After an error nothing of
// the answer may be used any more.
func (f *Follower) Step(line Line) (filter.Event, error) {
	if line.Attempt != f.Attempt {
		return nil, merry.Wrap(ErrCrossed, merry.AppendMessagef("got %q, want %q", line.Attempt, f.Attempt))
	}
	switch event := line.Event.(type) {
	case filter.Token:
		if event.Index != f.Next {
			return nil, merry.Wrap(ErrGap, merry.AppendMessagef("got index %d, want %d", event.Index, f.Next))
		}
		f.Next++
	case filter.Finish:
		if event.CompletionTokens != f.Next {
			return nil, merry.Wrap(ErrGap, merry.AppendMessagef("the answer has %d tokens, %d arrived", event.CompletionTokens, f.Next))
		}
	case filter.KeepAlive:
	}
	return line.Event, nil
}
