package forwarder

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// recordingPlacer records the messages that it gets.
type recordingPlacer struct {
	Placer
	posted []balancer.Message
}

func (p *recordingPlacer) Post(message balancer.Message) error {
	p.posted = append(p.posted, message)
	return nil
}

// TestObservations guards against answers that are taken for measurements of a replica's
// speed although they show nothing about it, such as errors, refusals, comments and the rest
// of a stream, and against measurements that are not reported.
func TestObservations(t *testing.T) {
	stream := ResponseHead{Stream: true, Status: 200}
	cases := []struct {
		name       string
		head       ResponseHead
		result     balancer.Result
		lastEvent  string
		passedLast int64
		events     []string
		begun      time.Duration
		progressed time.Duration
		ended      balancer.AttemptEnded
	}{
		{
			name: "stream", head: stream, result: balancer.Answered, passedLast: -1, events: []string{": comment\n\n", "id: 0\n\n", "id: 1\n\n"},
			begun: 30 * time.Millisecond, ended: balancer.AttemptEnded{FirstByte: 30 * time.Millisecond, Duration: 40 * time.Millisecond, Events: 2},
		},
		{
			name: "long stream", head: stream, result: balancer.Answered, passedLast: -1, events: []string{"id: 0\n\n", "id: 1\n\n", "id: 2\n\n", ": comment\n\n", "id: 3\n\n", "id: 4\n\n", "id: 5\n\n"},
			begun: 20 * time.Millisecond, progressed: 70 * time.Millisecond,
			ended: balancer.AttemptEnded{FirstByte: 20 * time.Millisecond, Duration: 80 * time.Millisecond, Events: 6},
		},
		{
			name: "broken stream", head: stream, result: balancer.Failed, passedLast: -1, events: []string{"id: 0\n\n"},
			begun: 20 * time.Millisecond,
		},
		{name: "rest of the caller's stream", head: stream, result: balancer.Answered, lastEvent: "4", passedLast: 4, events: []string{"id: 5\n\n"}},
		{name: "rest of a broken stream", head: stream, result: balancer.Answered, passedLast: 7, events: []string{"id: 8\n\n"}},
		{
			name: "whole answer", head: ResponseHead{Status: 200}, result: balancer.Answered, passedLast: -1,
			ended: balancer.AttemptEnded{FirstByte: 10 * time.Millisecond, Duration: 10 * time.Millisecond},
		},
		{name: "error", head: ResponseHead{Status: 404}, result: balancer.Answered, passedLast: -1},
		{name: "refusal", head: ResponseHead{Status: 200, NotRun: true}, result: balancer.Refused, passedLast: -1},
	}
	for _, c := range cases {
		clock, placer := clockwork.NewFakeClock(), &recordingPlacer{}
		j := &job{Dispatch: &Dispatch{Clock: clock, Placer: placer}, forward: &filter.Forward{LastEventID: c.lastEvent}}
		j.events.LastID = c.passedLast
		placement := balancer.Placement{ID: 7, Expected: 15 * time.Millisecond}
		j.beginObservation(placement, clock.Now())
		clock.Advance(10 * time.Millisecond)
		j.observeHead(c.head, 10*time.Millisecond)
		for _, event := range c.events {
			clock.Advance(10 * time.Millisecond)
			j.observeEvent([]byte(event))
		}
		c.ended.PlacementID, c.ended.Result = 7, c.result
		if got := j.attemptEnded(placement, c.result); got != c.ended {
			t.Errorf("%s: end %+v, want %+v", c.name, got, c.ended)
		}
		var want []balancer.Message
		if c.begun > 0 {
			want = append(want, balancer.AnswerBegun{PlacementID: 7, FirstEvent: c.begun})
		}
		if c.progressed > 0 {
			want = append(want, balancer.AnswerProgressed{PlacementID: 7, Elapsed: c.progressed, Events: 5})
		}
		if !slices.Equal(placer.posted, want) {
			t.Errorf("%s: reported %+v, want %+v", c.name, placer.posted, want)
		}
		measured := j.observed.measurement(c.result == balancer.Answered, clock.Now())
		if measured.FirstEvent != c.ended.FirstByte {
			t.Errorf("%s: measurement %+v", c.name, measured)
		}
	}
}
