package forwarder

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// TestDrainLeavesTimeForLongAnswers guards against a leaving node that takes what has lately
// taken longer than it has left, and that refuses it for good after one long answer.
func TestDrainLeavesTimeForLongAnswers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cutoffAt := clock.Now().Add(4 * time.Second)
	durations := &Durations{Clock: clock}
	drain := Drain{Clock: clock, CutoffAt: func() time.Time { return cutoffAt }, Grace: func() time.Duration { return 8 * time.Second }, Durations: durations}
	accepts := func(kind resolver.Kind, resumable bool) bool {
		route := resolver.Route{Name: "r", Kind: kind, Resumable: resumable, Objective: 200 * time.Millisecond}
		request := &filter.Request{Deadline: clock.Now().Add(time.Minute), Work: &filter.Forward{Route: route}}
		_, refused := drain.Filter(t.Context(), request).(filter.Refuse)
		return !refused
	}
	if !accepts(resolver.Streaming, false) || !accepts(resolver.Idempotent, false) || accepts(resolver.NonIdempotent, false) {
		t.Error("with 4 s left, streams and repeatable requests are refused or a request that may take a minute once is accepted")
	}
	durations.Record("r", 3*time.Second)
	durations.Record("r", time.Second)
	if accepts(resolver.Streaming, false) || accepts(resolver.Idempotent, false) || !accepts(resolver.Streaming, true) {
		t.Error("after an answer of 3 s, one that cannot be taken up elsewhere is accepted or a resumable stream is refused")
	}
	clock.Advance(2 * durationWindow)
	cutoffAt = clock.Now().Add(4 * time.Second)
	durations.Record("r", time.Second)
	if !accepts(resolver.Streaming, false) {
		t.Error("an answer of 3 s counts for more than two windows")
	}
}
