package messenger_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/recorder"
)

// Guards against an operation or a result that the wire encoding turns into a
// different one, and against an error of the writer that arrives as a result.
func TestIntentsArriveUnchanged(t *testing.T) {
	reply := filter.Reply{Status: 201, ContentType: "text/plain", Body: []byte{0, 255, 'x'}}
	tests := []struct {
		action recorder.Action
		result recorder.Result
		err    error
	}{
		{recorder.Begin{}, recorder.Done{Record: filter.Fresh{}}, nil},
		{recorder.Begin{}, recorder.Done{Record: filter.Known{Reply: reply}}, nil},
		{recorder.Begin{}, recorder.Done{Record: filter.Uncertain{}}, nil},
		{recorder.Begin{}, recorder.Mismatch{}, nil},
		{recorder.Begin{}, recorder.Failed{Detail: "down"}, nil},
		{recorder.Begin{}, nil, errors.New("inbox is full")},
		{recorder.Finish{Reply: reply}, recorder.Done{Record: filter.Known{Reply: reply}}, nil},
		{recorder.Abandon{}, recorder.Done{Record: filter.Fresh{}}, nil},
	}
	for _, test := range tests {
		sent := recorder.Operation{Key: "key", ID: "id", Digest: "digest", Action: test.action}
		mux := http.NewServeMux()
		messenger.HandleIntents(mux, func(_ context.Context, got recorder.Operation) (recorder.Result, error) {
			if !reflect.DeepEqual(got, sent) {
				t.Errorf("received %+v; want %+v", got, sent)
			}
			return test.result, test.err
		})
		server := httptest.NewServer(mux)
		client, closeClient := messenger.NewClient(clockwork.NewRealClock())
		got, err := client.SendOperation(t.Context(), strings.TrimPrefix(server.URL, "http://"), sent)
		if !reflect.DeepEqual(got, test.result) || (err != nil) != (test.err != nil) {
			t.Errorf("%T: got %#v, %v; want %#v, %v", test.action, got, err, test.result, test.err)
		}
		closeClient()
		server.Close()
	}
}
