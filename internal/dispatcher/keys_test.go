package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Guards against passing on a caller's key to an endpoint in a header or in a
// query parameter, also in escaped form, and against dropping other parameters.
func TestNoKeyReachesAService(t *testing.T) {
	f := newFixture(t, emulator.EngineSettings{})
	key := releaser.NewKey()
	escaped := strings.ReplaceAll(key, "_", "%5f")
	for _, nonIdempotent := range []bool{false, true} {
		attempt := f.attempt("service")
		attempt.Idempotent = !nonIdempotent
		attempt.Workspace, attempt.Identity = "rescue", "booking-1"
		attempt.Call = filter.Call{
			Method: "POST", Path: "/bookings/7", ContentType: "text/plain", Body: []byte("seat"),
			Query: "day=2&key=" + key + "&a%20b=%3F&token=" + escaped + "&" + key + "=1&note=thk_you;x",
		}
		if _, err := f.dispatcher.Call(t.Context(), attempt); err != nil {
			t.Fatal(err)
		}
	}
	allowed := map[string]bool{
		"Accept-Encoding": true, "Connection": true, "Content-Length": true, "Content-Type": true,
		"Idempotency-Key": true, "Toucanhitch-Attempt": true, "Toucanhitch-Workspace": true, "User-Agent": true,
	}
	for _, request := range f.service.ReceivedRequests() {
		if strings.Contains(fmt.Sprint(request), strings.TrimPrefix(key, releaser.KeyPrefix)) {
			t.Errorf("request contains the key: %+v", request)
		}
		if want := "day=2&a%20b=%3F&note=thk_you;x"; request.Query != want {
			t.Errorf("query %q; want %q", request.Query, want)
		}
		for name := range request.Header {
			if !allowed[name] {
				t.Errorf("unexpected header %s", name)
			}
		}
	}
}
