package dispatcher

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// ErrMalformedLine reports a line that does not follow the protocol.
var ErrMalformedLine = merry.Sentinel("malformed response line")

type responseLine struct {
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
	// prefix is the start of a token line that the endpoint encodes with the
	// protocol's field order and without spaces.
	prefix []byte
}

func newLineDecoder(attempt string) lineDecoder {
	return lineDecoder{attempt: attempt, prefix: []byte(`{"Attempt":"` + attempt + `","Index":`)}
}

// decode decodes one line; more reports whether another token is buffered
// behind it. Token lines in the usual form take a fast path that allocates only
// the text and the event. Everything else goes through encoding/json, with the
// same result.
func (d lineDecoder) decode(data []byte, more bool) (Line, error) {
	if token, ok := d.tokenLine(data); ok {
		token.MoreReady = more
		return Line{Attempt: d.attempt, Event: token}, nil
	}
	var decoded responseLine
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Line{}, merry.Wrap(ErrMalformedLine, merry.AppendMessage(err.Error()))
	}
	event, err := decoded.event()
	return Line{Attempt: decoded.Attempt, Event: event}, err
}

func (l responseLine) event() (filter.Event, error) {
	switch {
	case l.Done && l.FinishReason != "stop" && l.FinishReason != "length":
		return nil, merry.Wrap(ErrMalformedLine, merry.AppendMessagef("FinishReason is %q", l.FinishReason))
	case l.Done:
		return filter.Finish{
			PromptTokens: l.PromptTokens, CompletionTokens: l.CompletionTokens, Reason: l.FinishReason,
		}, nil
	case l.KeepAlive:
		return filter.KeepAlive{}, nil
	case l.Index != nil && l.Text != nil:
		return filter.Token{Index: *l.Index, Text: *l.Text}, nil
	default:
		return nil, merry.Wrap(ErrMalformedLine, merry.AppendMessage("the line is not a token, a keep-alive or a finish"))
	}
}

// maxIndexDigits is small enough that an index cannot overflow an int.
const maxIndexDigits = 9

// tokenLine decodes a token line in the usual form. It returns false for any other
// line.
func (d lineDecoder) tokenLine(data []byte) (filter.Token, bool) {
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
	if !ok || !isUnescaped(text) {
		return filter.Token{}, false
	}
	return filter.Token{Index: index, Text: string(text)}, true
}

// leadingNumber parses the decimal number at the start of data. It rejects
// leading zeros, as JSON does.
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

// isUnescaped reports whether the content of a JSON string needs no unescaping.
func isUnescaped(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
