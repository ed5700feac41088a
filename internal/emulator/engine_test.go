package emulator_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

func serveEngine(t *testing.T, settings emulator.EngineSettings) (*emulator.Engine, string) {
	t.Helper()
	engine, stop, err := emulator.NewEngine(settings, clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	server, closeServer, err := emulator.ServeEndpoint("127.0.0.1:0", engine)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeServer)
	return engine, "http://" + server.Address
}

func send(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// Guards against answers that do not conform to the engine protocol, and against
// resumed answers that do not continue the original one.
func TestEngineAnswersAndResumes(t *testing.T) {
	_, url := serveEngine(t, emulator.EngineSettings{
		Interval: 1000, Loaded: []emulator.EngineCheckpoint{{Model: "gusts@2", MemoryMB: 10}},
	})
	const bodyFormat = `{"Attempt":"%s","Model":"gusts","Version":"2","Prompt":"wind at noon","MaxTokens":4,"From":%d}`
	for _, from := range []int{0, 2, 4} {
		attempt := fmt.Sprintf("attempt-%d", from)
		want := ""
		for index := from; index < 4; index++ {
			want += fmt.Sprintf(`{"Attempt":"%s","Index":%d,"Text":"%s"}`+"\n", attempt, index, emulator.EngineText("wind at noon", index))
		}
		want += `{"Attempt":"` + attempt + `","Done":true,"PromptTokens":3,"CompletionTokens":4,"FinishReason":"length"}` + "\n"
		status, got := send(t, http.MethodPost, url+"/v1/generate", fmt.Sprintf(bodyFormat, attempt, from))
		if status != http.StatusOK || got != want {
			t.Errorf("from %d: %d\n%s\nwant\n%s", from, status, got, want)
		}
	}
	status, got := send(t, http.MethodPost, url+"/v1/generate", `{"Attempt":"x","Model":"gusts","Version":"1","MaxTokens":4}`)
	if status != http.StatusNotFound || got != `{"Error":"NotLoaded"}` {
		t.Errorf("model that is not loaded: %d %s", status, got)
	}
}

// Guards against a Silent fault that closes the connection or also affects new
// connections.
func TestSilentFaultKeepsTheConnectionOpen(t *testing.T) {
	engine, url := serveEngine(t, emulator.EngineSettings{
		Interval: 1000, Loaded: []emulator.EngineCheckpoint{{Model: "gusts@2", MemoryMB: 10}},
	})
	if err := engine.SetFaults(t.Context(), emulator.EngineFaults{Stream: emulator.EngineSilent, After: 2, Streams: 1}); err != nil {
		t.Fatal(err)
	}
	const bodyFormat = `{"Attempt":"%d","Model":"gusts","Version":"2","Prompt":"wind","MaxTokens":4}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/generate", strings.NewReader(fmt.Sprintf(bodyFormat, 1)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 10)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	<-lines
	<-lines
	status, got := send(t, http.MethodPost, url+"/v1/generate", fmt.Sprintf(bodyFormat, 2))
	if status != http.StatusOK || strings.Count(got, "\n") != 5 {
		t.Errorf("new connection: %d\n%s", status, got)
	}
	select {
	case line, ok := <-lines:
		t.Errorf("silent connection: got line %q (open %t); want none", line, ok)
	default:
	}
	response.Body.Close()
}
