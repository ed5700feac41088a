package dispatcher

import (
	"bufio"
	"strings"
	"testing"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Guards against setting MoreReady on a token although the next line is incomplete
// or not a token: such a token would be buffered with nothing to flush it.
func TestNextTokenBuffered(t *testing.T) {
	const attempt = "a"
	for rest, want := range map[string]bool{
		"":                                     false,
		`{"Attempt":"a","Index":1,"Te`:         false,
		`{"Attempt":"a","Index":1,"Text":"x"}`: false,
		`{"Attempt":"a","Index":1,"Text":"x"}` + "\n": true,
		`{"Attempt":"b","Index":1,"Text":"x"}` + "\n": false,
		`{"Attempt":"a","KeepAlive":true}` + "\n":     false,
		`{"Attempt":"a","Done":true}` + "\n":          false,
	} {
		reader := bufio.NewReader(strings.NewReader("\n" + rest))
		if _, err := reader.ReadByte(); err != nil {
			t.Fatal(err)
		}
		decoder := newLineDecoder(attempt)
		got, err := decoder.decode([]byte(`{"Attempt":"a","Index":0,"Text":"w"}`), nextTokenBuffered(decoder, reader))
		if err != nil || got.Event != (filter.Token{Text: "w", MoreReady: want}) {
			t.Errorf("before %q: %+v, %v; want MoreReady %v", rest, got, err, want)
		}
	}
}
