package messenger

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/relayer"
)

// TestPeerWithoutRelays guards against a peer of a build without relayed connections that
// ends the search for another one, and does not show in the log.
func TestPeerWithoutRelays(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	client, closeClient := NewClient(clockwork.NewRealClock())
	defer closeClient()
	var uses []FormUse
	client.Observe = func(use FormUse) { uses = append(uses, use) }
	for range 2 {
		_, err := client.Relay(t.Context(), server.Listener.Addr().String(), relayer.Replica{ID: "r1", Address: "127.0.0.1:1"})
		if !errors.Is(err, relayer.ErrPeerRefused) {
			t.Fatalf("got %v, want %v", err, relayer.ErrPeerRefused)
		}
	}
	if len(uses) != 2 || !uses[0].First || uses[1].First {
		t.Errorf("observed %+v", uses)
	}
}
