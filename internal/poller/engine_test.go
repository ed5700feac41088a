package poller_test

import (
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/poller"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Guards against a difference between the load report that the emulated engine
// sends and the one that the poller decodes, by which reports would be refused
// or lose fields.
func TestPollReadsTheWholeReport(t *testing.T) {
	clock := clockwork.NewRealClock()
	engine, stop, err := emulator.NewEngine(emulator.EngineSettings{
		Name: "e1", Interval: time.Microsecond, MemoryMB: 100,
		Loaded:     []emulator.EngineCheckpoint{{Model: "m@1", MemoryMB: 10, Adapters: []string{"a@2"}}},
		CachedDisk: []emulator.EngineCheckpoint{{Model: "n@1", MemoryMB: 10}}, CacheDiskMB: 10,
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	server, closeServer, err := emulator.ServeEndpoint("127.0.0.1:0", engine)
	if err != nil {
		t.Fatal(err)
	}
	defer closeServer()
	response, err := http.Post("http://"+server.Address+"/v1/generate", "application/json", strings.NewReader(
		`{"Attempt":"x","Model":"m","Version":"1","Adapter":"a","AdapterVersion":"2","MaxTokens":1}`))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	client, closeClient := poller.New(clock)
	defer closeClient()
	report, err := client.PollReport(t.Context(), "e1", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	wantModels := []tracker.ModelState{{
		Model: "m@1", State: tracker.Loaded, Served: 1,
		Adapters: []tracker.AdapterState{{Adapter: "a@2", State: tracker.Loaded, Served: 1}},
	}}
	wantCached := []tracker.CachedModel{{Model: "n@1", Tier: tracker.Disk}}
	if !reflect.DeepEqual(report.Models, wantModels) || !reflect.DeepEqual(report.Cached, wantCached) || report.UsedMB != 10 {
		t.Errorf("got %+v; want models %+v and cached %+v", report, wantModels, wantCached)
	}
}
