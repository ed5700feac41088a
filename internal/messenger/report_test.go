package messenger

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// fleetState returns a state with the given number of replicas.
func fleetState(replicas int) *planner.State {
	state := &planner.State{Epoch: 3, Version: 7, Full: true, Active: make([]int, replicas), Peers: 300, Registered: 300}
	for i := range replicas {
		state.Replicas = append(state.Replicas, surveyor.Replica{
			ID: fmt.Sprintf("i-%08x", i*2654435761), StartedMS: 1_790_000_000_000 + int64(i), Service: "llm",
			Address: fmt.Sprintf("10.1.%d.%d:8308", i/250, i%250), DataCentre: "dc-1", Slots: 12,
			Models: []surveyor.LoadedModel{{Name: fmt.Sprintf("model%d", i%498)}, {Name: fmt.Sprintf("model%d", i*7%498)}},
		})
	}
	return state
}

// TestReportAnswers guards against states and views that arrive changed, whether they are
// compressed or not, and against a state with all replicas of a large fleet that is sent
// uncompressed: 300 nodes that ask a new holder for it exceed the holder's link.
func TestReportAnswers(t *testing.T) {
	for _, test := range []struct {
		name     string
		answer   planner.Answer
		maxBytes int
	}{
		{"no state", planner.Answer{Holder: "n1", HolderAddress: "10.1.0.1:7600"}, 200},
		{"view", planner.Answer{Holder: "n1", View: &planner.StoreView{ConfigurationRevision: 4, Evacuated: []string{"dc-1"}, EvacuationsKnown: true, EvacuationsAge: 7}}, 500},
		{"small", planner.Answer{Holding: true, Included: 9, StateAge: 5, State: fleetState(3)}, 2000},
		{"large", planner.Answer{Holding: true, Registered: true, Included: 9, State: fleetState(3000)}, 150_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			HandleReport(mux, ReportSettings{Answer: func(context.Context, planner.Report) (planner.Answer, error) { return test.answer, nil }})
			size := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorder := httptest.NewRecorder()
				mux.ServeHTTP(recorder, r)
				size = recorder.Body.Len()
				w.WriteHeader(recorder.Code)
				_, _ = w.Write(recorder.Body.Bytes())
			}))
			defer server.Close()
			client, closeClient := NewClient(clockwork.NewRealClock())
			defer closeClient()
			for range 2 { // the second answer uses the kept encoding
				answer, err := client.Report(t.Context(), strings.TrimPrefix(server.URL, "http://"), planner.Report{})
				if err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(answer, test.answer) {
					t.Fatalf("got another answer than was sent")
				}
			}
			if size > test.maxBytes {
				t.Errorf("the answer has %d bytes, want at most %d", size, test.maxBytes)
			}
		})
	}
}

// TestCompressedPartIsBounded guards against a node whose memory another node takes with
// a compressed value that expands without end.
func TestCompressedPartIsBounded(t *testing.T) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	block := bytes.Repeat([]byte(" "), 1<<20)
	for range 2 * maxMessageBytes >> 20 {
		if _, err := writer.Write(block); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := decodeShared[planner.State](sharedPart{Compressed: buffer.Bytes()}); !errors.Is(err, encoder.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, encoder.ErrTooLarge)
	}
	if _, err := decodeShared[planner.State](sharedPart{Compressed: []byte("no DEFLATE")}); !errors.Is(err, encoder.ErrMalformed) {
		t.Errorf("got %v, want %v", err, encoder.ErrMalformed)
	}
}
