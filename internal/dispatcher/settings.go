package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Settings describes a dispatcher. Durations that are 0 get their defaults.
type Settings struct {
	Clock clockwork.Clock
	// Budget counts the attempts, nil for none.
	Budget *Budget
	// FirstByte is the least time allowed until an answer begins.
	FirstByte time.Duration
	// OnceFirstByte is the least time allowed until the answer to a
	// non-idempotent call begins.
	OnceFirstByte time.Duration
	// Silence is the longest time between the lines of an answer.
	Silence time.Duration
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// Cancel bounds a cancellation.
	Cancel time.Duration
}

const (
	defaultFirstByte = 2 * time.Second
	// defaultOnceFirstByte is long, because a plain service shows no sign of
	// life before its answer, and a call that is given up has an unknown
	// outcome.
	defaultOnceFirstByte = 30 * time.Second
	// defaultSilence is four times the engines' keep-alive interval.
	defaultSilence = 2 * time.Second
	defaultDial    = time.Second
	defaultIdle    = 5 * time.Second
	defaultCancel  = time.Second

	// estimateFactor is how many times the estimated time to the first token
	// an answer may take to begin.
	estimateFactor = 4
	// maxIdlePerEndpoint is above the slots of the endpoints of today.
	maxIdlePerEndpoint = 64
)

func (s Settings) withDefaults() Settings {
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	s.FirstByte = orDefault(s.FirstByte, defaultFirstByte)
	s.OnceFirstByte = orDefault(s.OnceFirstByte, defaultOnceFirstByte)
	s.Silence = orDefault(s.Silence, defaultSilence)
	s.Dial = orDefault(s.Dial, defaultDial)
	s.Idle = orDefault(s.Idle, defaultIdle)
	s.Cancel = orDefault(s.Cancel, defaultCancel)
	return s
}

func orDefault(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}

// onceFirstByte is the time until the answer to a non-idempotent call must
// begin.
func (s Settings) onceFirstByte(estimate time.Duration) time.Duration {
	return max(s.OnceFirstByte, s.firstByte(estimate))
}

// firstByte is the time until an answer must begin.
func (s Settings) firstByte(estimate time.Duration) time.Duration {
	return max(s.FirstByte, estimateFactor*estimate)
}
