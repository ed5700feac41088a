package assembler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/meter"
	"toucanhitch.example/toucanhitch/internal/permitter"
)

// TestGranterWithoutPermits guards against requests that never reach a brittle replica, because
// the node that grants the permits is of a build that does not know them (6c37a91 answers 404),
// and against a node that sends without bound then.
func TestGranterWithoutPermits(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	clock := clockwork.NewRealClock()
	logger, hook := logtest.NewNullLogger()
	metrics, endMeter, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	defer endMeter()
	peers, closePeers := messenger.NewClient(clock)
	defer closePeers()
	n := &Node{
		clock: clock, logger: logger, meter: metrics, peers: peers,
		permitter: permitter.New(permitter.Settings{Clock: clock, Send: peers.ReleasePermit, Log: func(permitter.Note) {}}),
	}
	n.granters.Store(&map[string]string{"granter": strings.TrimPrefix(server.URL, "http://")})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.permitter.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	acquire := func(id string, active int) bool {
		t.Helper()
		decision, err := permits{n}.Acquire(ctx, "granter", permitter.Request{
			Permit: permitter.Permit{ID: id, Replica: "r1"}, Capacity: 2, Active: active, TTL: time.Minute,
		})
		if err != nil {
			t.Fatal(err)
		}
		return decision.Granted
	}
	release := func(id string) {
		permits{n}.Release("granter", permitter.Release{Permit: permitter.Permit{ID: id, Replica: "r1"}})
	}
	if !acquire("a", 0) || !acquire("b", 0) {
		t.Error("got no permits")
	}
	if acquire("c", 0) {
		t.Error("got a third permit of two")
	}
	release("a")
	if acquire("d", 2) {
		t.Error("got a permit although other nodes use the capacity")
	}
	if !acquire("e", 1) {
		t.Error("got no permit after a release")
	}
	for _, id := range []string{"b", "e"} {
		release(id)
	}
	if len(n.ownPermits.permits) != 0 {
		t.Errorf("%d permits are remembered after their release", len(n.ownPermits.permits))
	}
	warnings := 0
	for _, entry := range hook.AllEntries() {
		if entry.Level == logrus.WarnLevel {
			warnings++
		}
	}
	if warnings != 1 {
		t.Errorf("%d warnings, want 1", warnings)
	}
}
