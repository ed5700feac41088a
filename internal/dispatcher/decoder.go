package dispatcher

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// ErrMalformedLine reports a line that is none of the protocol's.
var ErrMalformedLine = merry.Sentinel("malformed line of an answer")

type lineWire struct {
	Attempt          string
	Index            *int
	Text             *string
	KeepAlive        bool
	Done             bool
	PromptTokens     int
	CompletionTokens int
	FinishReason     string
}

// lineDecoder decodes the lines of one attempt.
type lineDecoder struct {
	attempt string
	// prefix is how a token's line begins if the endpoint encodes it in the
	// protocol's order and without spaces.
	prefix []byte
}

func newLineDecoder(attempt string) lineDecoder {
	return lineDecoder{attempt: attempt, prefix: []byte(`{"Attempt":"` + attempt + `","Index":`)}
}

// decode decodes one line, behind which more tokens may wait. Token lines in the usual form take a short path
// that allocates only the text and the event; everything else goes through
// encoding/json, with the same result.
func (d lineDecoder) decode(data []byte, more bool) (Line, error) {
	if token, ok := d.token(data); ok {
		token.MoreReady = more
		return Line{Attempt: d.attempt, Event: token}, nil
	}
	var wire lineWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Line{}, merry.Wrap(ErrMalformedLine, merry.AppendMessage(err.Error()))
	}
	event, err := wire.event()
	return Line{Attempt: wire.Attempt, Event: event}, err
}

func (w lineWire) event() (filter.Event, error) {
	switch {
	case w.Done && w.FinishReason != "stop" && w.FinishReason != "length":
		return nil, merry.Wrap(ErrMalformedLine, merry.AppendMessagef("FinishReason is %q", w.FinishReason))
	case w.Done:
		return filter.Finish{
			PromptTokens: w.PromptTokens, CompletionTokens: w.CompletionTokens, Reason: w.FinishReason,
		}, nil
	case w.KeepAlive:
		return filter.KeepAlive{}, nil
	case w.Index != nil && w.Text != nil:
		return filter.Token{Index: *w.Index, Text: *w.Text}, nil
	default:
		return nil, merry.Wrap(ErrMalformedLine, merry.AppendMessage("neither a token, a keep-alive nor the end"))
	}
}

// maxIndexDigits keeps an index far from overflowing an int.
const maxIndexDigits = 9

// token decodes a token's line of the usual form.
func (d lineDecoder) token(data []byte) (filter.Token, bool) {
	rest, ok := bytes.CutPrefix(data, d.prefix)
	if !ok {
		return filter.Token{}, false
	}
	index, rest, ok := leadingNumber(rest)
	if !ok {
		return filter.Token{}, false
	}
	rest, ok = bytes.CutPrefix(rest, []byte(`,"Text":"`))
	if !ok {
		return filter.Token{}, false
	}
	text, ok := bytes.CutSuffix(rest, []byte(`"}`))
	if !ok || !plain(text) {
		return filter.Token{}, false
	}
	return filter.Token{Index: index, Text: string(text)}, true
}

// leadingNumber reads digits without a leading zero.
func leadingNumber(data []byte) (number int, rest []byte, ok bool) {
	digits := 0
	for digits < len(data) && data[digits] >= '0' && data[digits] <= '9' {
		number = number*10 + int(data[digits]-'0')
		digits++
		if digits > maxIndexDigits {
			return 0, nil, false
		}
	}
	if digits == 0 || (digits > 1 && data[0] == '0') {
		return 0, nil, false
	}
	return number, data[digits:], true
}

// plain says whether a JSON string's content stands for itself.
func plain(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
