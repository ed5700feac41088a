package dispatcher

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

const attemptID = "6f1c3f0e-8a55-4f0b-9e0c-0d8f6f2f9a11"

// FuzzDecodeLine guards against a fast path whose result differs from that of
// encoding/json, and against lines that crash the decoder.
func FuzzDecodeLine(f *testing.F) {
	for _, line := range []string{
		`{"Attempt":"` + attemptID + `","Index":0,"Text":" wind"}`,
		`{"Attempt":"` + attemptID + `","Index":12345678901,"Text":"x"}`,
		`{"Attempt":"` + attemptID + `","Index":01,"Text":"x"}`,
		`{"Attempt":"` + attemptID + `","Index":-1,"Text":"x"}`,
		`{"Attempt":"` + attemptID + `","Index":7,"Text":"a\"b\\"}`,
		`{"Attempt":"` + attemptID + `","Index":7,"Text":"é` + "\xff" + `"}`,
		`{"Attempt":"` + attemptID + `","Index":7,"Text":"x","Attempt":"another"}`,
		`{"Text":"x","Index":3,"Attempt":"` + attemptID + `"}`,
		`{"Attempt":"` + attemptID + `","KeepAlive":true}`,
		`{"Attempt":"` + attemptID + `","Done":true,"PromptTokens":1,"CompletionTokens":2,"FinishReason":"stop"}`,
		`{"Attempt":"` + attemptID + `","Done":true,"FinishReason":"tired"}`,
		`{"Attempt":"another","Index":0,"Text":"x"}`,
		`{`, ``, `null`, `[]`, `{"Attempt":"` + attemptID + `"}`,
	} {
		f.Add([]byte(line))
	}
	decoder := newLineDecoder(attemptID)
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decoder.decode(data, false)
		want, wantErr := decodeWithJSON(data)
		if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got.Event, want.Event) {
			t.Fatalf("%q: got %+v, %v; want %+v, %v", data, got, err, want, wantErr)
		}
		if err == nil && got.Attempt != want.Attempt {
			t.Fatalf("%q: attempt %q, want %q", data, got.Attempt, want.Attempt)
		}
		if err != nil && !errors.Is(err, ErrMalformedLine) {
			t.Fatalf("%q: %v is not ErrMalformedLine", data, err)
		}
	})
}

// decodeWithJSON is the decoder without its fast path.
func decodeWithJSON(data []byte) (Line, error) {
	var decoded responseLine
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Line{}, err
	}
	event, err := decoded.event()
	return Line{Attempt: decoded.Attempt, Event: event}, err
}

// Guards against more allocations for a token than its text and its event.
func TestDecoderAllocations(t *testing.T) {
	decoder := newLineDecoder(attemptID)
	line := []byte(`{"Attempt":"` + attemptID + `","Index":1234,"Text":" harbour"}`)
	const maxAllocations = 2
	got := testing.AllocsPerRun(1000, func() {
		if _, err := decoder.decode(line, false); err != nil {
			t.Fatal(err)
		}
	})
	if got > maxAllocations {
		t.Errorf("%v allocations a line; want at most %d", got, maxAllocations)
	}
}

func BenchmarkDecodeLine(b *testing.B) {
	decoder := newLineDecoder(attemptID)
	checker := SequenceChecker{Attempt: attemptID, NextIndex: 1234}
	line := []byte(`{"Attempt":"` + attemptID + `","Index":1234,"Text":" harbour"}`)
	b.ReportAllocs()
	b.SetBytes(int64(len(line)))
	for b.Loop() {
		checker.NextIndex = 1234
		decoded, err := decoder.decode(line, false)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := checker.Check(decoded); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a first-byte timeout below the estimate or below the minimum.
func TestFirstByteTimeout(t *testing.T) {
	settings := Settings{}.withDefaults()
	for estimate, want := range map[time.Duration]time.Duration{
		0:                      2 * time.Second,
		400 * time.Millisecond: 2 * time.Second,
		time.Second:            4 * time.Second,
	} {
		if got := settings.firstByteTimeout(estimate); got != want {
			t.Errorf("estimate %s: %s; want %s", estimate, got, want)
		}
	}
}

// Guards against a response that is taken as complete although its last tokens
// are missing.
func TestSequenceCheckerRejectsIncompleteAnswer(t *testing.T) {
	checker := SequenceChecker{Attempt: "a", NextIndex: 3}
	incomplete := Line{Attempt: "a", Event: filter.Finish{CompletionTokens: 4, Reason: "stop"}}
	if _, err := checker.Check(incomplete); !errors.Is(err, ErrTokenSequence) {
		t.Errorf("finish of 4 tokens after 3: %v; want %v", err, ErrTokenSequence)
	}
}
