package emulator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// platform is a client of a stand-in that serves on a real listener.
type platform struct {
	t      *testing.T
	url    string
	client *http.Client
}

func startPlatform(t *testing.T, change func(*emulator.PlatformSettings)) platform {
	t.Helper()
	settings := emulator.PlatformSettings{TransferMBPerSecond: 1000, FullSpeedTransfers: 2}
	if change != nil {
		change(&settings)
	}
	handler, stop, err := emulator.NewPlatform(settings, clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		stop()
		server.Close()
	})
	return platform{t, server.URL, server.Client()}
}

// call sends a request and returns the status, or 0 if there was no answer within
// 1 s, and the body.
func (p platform) call(method, path, body string) (int, string) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, p.url+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

func (p platform) want(method, path, body string, status int, text string) {
	p.t.Helper()
	gotStatus, gotText := p.call(method, path, body)
	if gotStatus != status || text != "" && gotText != text {
		p.t.Errorf("%s %s %s: %d %s; want %d %s", method, path, body, gotStatus, gotText, status, text)
	}
}

// Guards against writes that ignore IfVersion, and against version numbers that
// restart after a deletion.
func TestConditionalWrites(t *testing.T) {
	p := startPlatform(t, nil)
	p.want("GET", "/objects/Lease/a", "", 404, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":{"N":1}}`, 200, `{"Version":1}`)
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":{"N":2}}`, 409, `{"Version":1}`)
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":1,"Value":{"N":2}}`, 200, `{"Version":2}`)
	p.want("DELETE", "/objects/Lease/a?IfVersion=1", "", 409, `{"Version":2}`)
	p.want("DELETE", "/objects/Lease/a?IfVersion=2", "", 204, "")
	p.want("DELETE", "/objects/Lease/a?IfVersion=2", "", 404, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":2,"Value":1}`, 409, `{"Version":0}`)
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":1}`, 200, `{"Version":4}`)
	p.want("GET", "/objects/Lease/a", "", 200, `{"Kind":"Lease","Name":"a","Version":4,"Value":1}`)
	p.want("GET", "/objects/Lease?Prefix=a", "", 200, `{"Objects":[{"Kind":"Lease","Name":"a","Version":4}]}`)
	p.want("GET", "/objects/Lease?Prefix=b", "", 200, `{"Objects":[]}`)
}

// Guards against invalid requests that are accepted or partly applied.
func TestBadInputIsRefused(t *testing.T) {
	p := startPlatform(t, nil)
	large := `{"IfVersion":0,"Value":"` + strings.Repeat("x", 1<<20) + `"}`
	p.want("PUT", "/objects/Lease/a", large, 413, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Valeu":1}`, 400, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0}`, 400, "")
	p.want("PUT", "/objects/Lease/a%20b", `{"IfVersion":0,"Value":1}`, 400, "")
	p.want("GET", "/objects/Lease/a?After=x", "", 400, "")
	p.want("PUT", "/faults", `{"Latency":"5"}`, 400, "")
	p.want("GET", "/objects/Lease/a", "", 404, "")
}

// Guards against a watch that misses a write or ends before its wait.
func TestWatch(t *testing.T) {
	p := startPlatform(t, nil)
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":1}`, 200, `{"Version":1}`)
	p.want("GET", "/objects/Lease/a?After=0&Wait=1s", "", 200, `{"Kind":"Lease","Name":"a","Version":1,"Value":1}`)
	p.want("GET", "/objects/Lease/a?After=1&Wait=20ms", "", 304, "")
	done := make(chan string, 1)
	go func() {
		_, text := p.call("GET", "/objects/Lease/a?After=1&Wait=900ms", "")
		done <- text
	}()
	time.Sleep(20 * time.Millisecond)
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":1,"Value":2}`, 200, `{"Version":2}`)
	if got, want := <-done, `{"Kind":"Lease","Name":"a","Version":2,"Value":2}`; got != want {
		t.Errorf("watch: %q; want %q", got, want)
	}
}

// Guards against changes of the instance list that are visible before the lag.
func TestInstanceListLags(t *testing.T) {
	p := startPlatform(t, func(s *emulator.PlatformSettings) { s.ListLag = 600 * time.Millisecond })
	p.want("PUT", "/instances/e1", `{"Name":"e1","Kind":"Engine","Phase":"Live","MemoryMB":10}`, 204, "")
	p.want("GET", "/instances?After=0&Wait=10ms", "", 304, "")
	p.want("GET", "/instances?After=0&Wait=9s", "", 200,
		`{"Version":1,"Instances":[{"Name":"e1","Kind":"Engine","Address":"","DataCentre":"","Region":"","Phase":"Live",`+
			`"MemoryMB":10,"HonoursFence":false,"ChecksOrders":false}]}`)
	p.want("DELETE", "/instances/e1", "", 204, "")
	p.want("GET", "/instances?After=1&Wait=9s", "", 200, `{"Version":2,"Instances":[]}`)
}

// Guards against rate limits that throttle too late, and against throttled calls
// that take effect or are not counted as throttled.
func TestThrottling(t *testing.T) {
	p := startPlatform(t, func(s *emulator.PlatformSettings) { s.WritesPerSecond = 1 })
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":1}`, 200, "")
	p.want("PUT", "/objects/Lease/b", `{"IfVersion":0,"Value":1}`, 429, "")
	p.want("GET", "/objects/Lease/b", "", 404, "")
	p.want("GET", "/calls", "", 200,
		`{"Get":1,"Put":2,"Delete":0,"List":0,"Watch":0,"Instances":0,"Transfers":0,"Throttled":1,"Unavailable":0}`)
}

// Guards against a new connection that is silent because it has the address of a
// silent connection that was closed.
func TestClosedConnectionStateIsRemoved(t *testing.T) {
	p := emulator.NewPlatformController(emulator.PlatformSettings{TransferMBPerSecond: 1000, FullSpeedTransfers: 2})
	watch := emulator.Origin{Call: 1, Connection: "127.0.0.1:1000"}
	read := emulator.Origin{Call: 2, Connection: "127.0.0.1:1001"}
	p.Step(tester.Start, emulator.WatchObject{Origin: watch, Wait: time.Second})
	p.Step(tester.Start, emulator.GetObject{Origin: read})
	p.Step(tester.Start, emulator.SetPlatformFaults{Faults: emulator.PlatformFaults{SilenceOpen: true}})
	read.Call = 3
	if effects := p.Step(tester.Start, emulator.GetObject{Origin: read}); effects != nil {
		t.Errorf("silent connection: got %+v; want no answer", effects)
	}
	p.Step(tester.Start, emulator.CancelPlatformCall{Call: watch.Call})
	p.Step(tester.Start, emulator.CancelPlatformCall{Call: read.Call})
	for _, origin := range []emulator.Origin{watch, read} {
		if effects := p.Step(tester.Start, emulator.GetObject{Origin: origin}); len(effects) != 1 {
			t.Errorf("new connection from %s: got %+v; want an answer", origin.Connection, effects)
		}
	}
}

// Guards against faults whose effect differs from their documentation, such as a
// refused write that takes effect.
func TestFaults(t *testing.T) {
	p := startPlatform(t, nil)
	p.want("PUT", "/faults", `{"Outage":true}`, 204, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":1}`, 503, "")
	p.want("PUT", "/faults", `{"LoseReplies":1}`, 204, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":0,"Value":1}`, 0, "")
	p.want("GET", "/objects/Lease/a", "", 200, `{"Kind":"Lease","Name":"a","Version":1,"Value":1}`)
	p.want("PUT", "/faults", `{"Silent":true}`, 204, "")
	p.want("PUT", "/objects/Lease/a", `{"IfVersion":1,"Value":2}`, 0, "")
	p.want("PUT", "/faults", `{}`, 204, "")
	p.want("GET", "/objects/Lease/a", "", 200, `{"Kind":"Lease","Name":"a","Version":1,"Value":1}`)
	p.want("PUT", "/faults", `{"SilenceOpen":true}`, 204, "")
	p.want("GET", "/objects/Lease/a", "", 0, "")
	p.client.CloseIdleConnections()
	p.want("GET", "/objects/Lease/a", "", 200, `{"Kind":"Lease","Name":"a","Version":1,"Value":1}`)
	p.want("GET", "/faults", "", 200,
		`{"Outage":false,"Latency":"0s","LoseReplies":0,"Silent":false,"SilenceOpen":true,"ListLag":"0s","StoreSlowdown":0}`)
}
