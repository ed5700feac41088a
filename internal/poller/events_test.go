package poller_test

import (
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/poller"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Guards against engines and nodes that compute different identifiers for a
// prefix, and against an engine restart that is not visible in the last
// sequence number.
func TestEventPrefixesMatchNodes(t *testing.T) {
	clock := clockwork.NewRealClock()
	engine, stop, err := emulator.NewEngine(emulator.EngineSettings{
		Interval: 1000, Loaded: []emulator.EngineCheckpoint{{Model: "spot@1", MemoryMB: 10}},
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	server, closeServer, err := emulator.ServeEndpoint("127.0.0.1:0", engine)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeServer)
	// Two prompts with the same first 256 bytes, the last of which is the
	// first byte of a multi-byte character.
	prompt := strings.Repeat("w", 255) + "\u0119"
	for _, suffix := range []string{" at noon", " at night"} {
		body := `{"Attempt":"a` + suffix[4:] + `","Model":"spot","Version":"1","Prompt":"` + prompt + suffix + `","MaxTokens":1}`
		response, err := http.Post("http://"+server.Address+"/v1/generate", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	client, closeClient := poller.New(clock)
	defer closeClient()
	want := tracker.CacheEvents{Endpoint: "e", Last: 1, Events: []router.CacheEvent{
		{Sequence: 1, Model: "spot@1", Prefix: filter.Prefix(prompt), Stored: true},
	}}
	got, err := client.PollEvents(t.Context(), "e", server.Address, 0)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("events %+v, %v; want %+v", got, err, want)
	}
	if got, err = client.PollEvents(t.Context(), "e", server.Address, 100); err != nil || got.Last != 1 || len(got.Events) > 0 {
		t.Errorf("events after 100: %+v, %v; want none and the last sequence 1", got, err)
	}
}
