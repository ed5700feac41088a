package forwarder

import (
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
)

// answeredText is the text of the event that reports an answered attempt.
const answeredText = "answered"

// progressEvents is the number of events after which the progress of a stream is reported.
// Their intervals show the speed of the replica about 0.2 s after the first event.
const progressEvents = 5

// observation is what an attempt shows about the speed of its replica.
type observation struct {
	placement balancer.Placement
	startedAt time.Time
	// valid is set unless the answer shows nothing: it is the rest of a stream that began
	// elsewhere, or an error.
	valid, stream bool
	// firstEvent is the time to the first event of a stream or to the first byte of
	// another answer. events counts the events of the stream, and lastEventAt is the time
	// of the latest one.
	firstEvent  time.Duration
	events      int
	lastEventAt time.Time
}

// silence returns the time since the latest event, 0 if there was none.
func (o observation) silence(now time.Time) time.Duration {
	if o.lastEventAt.IsZero() {
		return 0
	}
	return now.Sub(o.lastEventAt)
}

// Measurement compares the estimate of an attempt with what was measured. Its fields are 0
// where there is no estimate or no measurement.
type Measurement struct {
	ExpectedFirstEvent, FirstEvent time.Duration
	ExpectedEnd, End               time.Duration
	// CachedTokens is the number of tokens of the prompt that the replica was believed to
	// keep.
	CachedTokens int
}

func (j *job) beginObservation(placement balancer.Placement, startedAt time.Time) {
	j.observed = observation{placement: placement, startedAt: startedAt, valid: j.events.LastID < 0 && j.forward.LastEventID == ""}
}

// observeHead records the head of an answer, the first byte of which came after firstByte.
func (j *job) observeHead(head ResponseHead, firstByte time.Duration) {
	o := &j.observed
	o.stream = head.Stream
	o.valid = o.valid && head.Status < http.StatusBadRequest
	if !o.stream {
		o.firstEvent = firstByte
	}
}

// observeEvent records an event of a stream and reports the first one. Comments do not count,
// because a replica may send them before it has begun to read the prompt.
func (j *job) observeEvent(event []byte) {
	o := &j.observed
	if _, numbered := eventID(event); !numbered {
		return
	}
	o.events++
	o.lastEventAt = j.Clock.Now()
	switch {
	case !o.valid:
	case o.events == 1:
		o.firstEvent = j.Clock.Since(o.startedAt)
		// Without the message, the first event is learnt at the end of the answer.
		_ = j.Placer.Post(balancer.AnswerBegun{PlacementID: o.placement.ID, FirstEvent: o.firstEvent})
	case o.events == progressEvents:
		_ = j.Placer.Post(balancer.AnswerProgressed{PlacementID: o.placement.ID, Elapsed: j.Clock.Since(o.startedAt), Events: o.events})
	}
}

// attemptEnded returns the report of an attempt to the balancer.
func (j *job) attemptEnded(placement balancer.Placement, result balancer.Result) balancer.AttemptEnded {
	ended := balancer.AttemptEnded{PlacementID: placement.ID, Result: result}
	if o := j.observed; o.valid && result == balancer.Answered && o.placement.ID == placement.ID {
		ended.FirstByte, ended.Duration, ended.Events = o.firstEvent, j.Clock.Since(o.startedAt), o.events
	}
	return ended
}

// measurement compares the estimate with what was measured of an answered attempt.
func (o observation) measurement(answered bool, now time.Time) Measurement {
	if !answered || !o.valid || o.placement.Expected == 0 || o.firstEvent == 0 {
		return Measurement{}
	}
	measured := Measurement{ExpectedFirstEvent: o.placement.Expected, FirstEvent: o.firstEvent, CachedTokens: o.placement.Cached}
	if o.stream {
		measured.ExpectedEnd, measured.End = o.placement.ExpectedEnd, now.Sub(o.startedAt)
	}
	return measured
}
