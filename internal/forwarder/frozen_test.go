package forwarder

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// slowPlacer returns a placement that was made before the process was frozen for a second,
// and then a refusal.
type slowPlacer struct {
	clock  *clockwork.FakeClock
	placed int
	posted []balancer.Message
}

func (p *slowPlacer) Place(context.Context, balancer.Need) (balancer.Placement, error) {
	if p.placed++; p.placed > 1 {
		return balancer.Placement{Refused: &balancer.Refusal{Reason: "replica is cold", RetryAfter: time.Second}}, nil
	}
	placement := balancer.Placement{ID: 7, Replica: "r", SendBy: p.clock.Now().Add(500 * time.Millisecond)}
	p.clock.Advance(time.Second)
	return placement, nil
}

func (p *slowPlacer) Post(message balancer.Message) error {
	p.posted = append(p.posted, message)
	return nil
}

type permissiveScreen struct{ Screen }

func (permissiveScreen) Admit(screener.Subject) (screener.Trait, time.Duration) { return "", 0 }

// TestOldPlacementIsNotUsed guards against a request that is sent after a freeze of the process
// to a replica that has become cold meanwhile. Without a pool, a request that is sent panics.
func TestOldPlacementIsNotUsed(t *testing.T) {
	clock := clockwork.NewFakeClockAt(tester.Start)
	placer := &slowPlacer{clock: clock}
	dispatch := &Dispatch{
		Placer: placer, Screen: permissiveScreen{}, View: oldView{}, Clock: clock, Budgets: &Budgets{Clock: clock}, Log: func(Event) {}, Observe: func(Wait) {},
	}
	forward := &filter.Forward{Route: resolver.Route{Public: true, Kind: resolver.Idempotent, MaxAttempts: 2}}
	verdict := dispatch.Filter(t.Context(), &filter.Request{Arrived: tester.Start, Deadline: tester.Start.Add(time.Minute), Work: forward})
	refuse, ok := verdict.(filter.Refuse)
	if !ok || refuse.Refusal.Run != filter.NotRun || refuse.Refusal.Detail != "replica is cold" {
		t.Errorf("verdict is %+v", verdict)
	}
	if want := []balancer.Message{balancer.AttemptEnded{PlacementID: 7, Result: balancer.Abandoned}}; !slices.Equal(placer.posted, want) {
		t.Errorf("posted %+v, want %+v", placer.posted, want)
	}
}
