package forwarder

import (
	"net/http"
	"testing"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// TestFingerprintIdentifiesRepetitions guards against repetitions of a request that are
// taken for other requests, and against other requests that are taken for a repetition.
func TestFingerprintIdentifiesRepetitions(t *testing.T) {
	request := func(change func(*filter.Forward)) string {
		forward := &filter.Forward{
			Attempt: "a1", Method: http.MethodPost, Target: "/p/x?y=1", Host: "h", Body: []byte("body"),
			Workspace: resolver.Workspace{Name: "w1"}, Header: http.Header{"Attempt-Id": {"a1"}},
		}
		change(forward)
		return fingerprint(forward)
	}
	first := request(func(*filter.Forward) {})
	repeated := request(func(f *filter.Forward) {
		f.Attempt, f.LastEventID, f.Header = "a2", "3", http.Header{"Attempt-Id": {"a2"}}
	})
	if repeated != first {
		t.Errorf("a repetition has fingerprint %s, want %s", repeated, first)
	}
	for name, change := range map[string]func(*filter.Forward){
		"workspace": func(f *filter.Forward) { f.Workspace.Name = "w2" },
		"method":    func(f *filter.Forward) { f.Method = http.MethodPut },
		"host":      func(f *filter.Forward) { f.Host = "h2" },
		"query":     func(f *filter.Forward) { f.Target = "/p/x?y=2" },
		"body":      func(f *filter.Forward) { f.Body = []byte("body2") },
		"no body":   func(f *filter.Forward) { f.Body = nil },
		"shifted":   func(f *filter.Forward) { f.Target, f.Body = "/p/x?y=1b", []byte("ody") },
	} {
		if other := request(change); other == first {
			t.Errorf("a request with another %s has the same fingerprint", name)
		}
	}
}
