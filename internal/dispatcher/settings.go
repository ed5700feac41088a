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
	FirstByteTimeout time.Duration
	// OnceFirstByte is the least time allowed until the answer to a
	// non-idempotent call begins.
	NonIdempotentFirstByteTimeout time.Duration
	// Silence is the longest time between the lines of an answer.
	ReadTimeout time.Duration
	// Dial bounds the opening of a connection.
	DialTimeout time.Duration
	// Idle is how long an unused connection is kept.
	IdleConnTimeout time.Duration
	// Cancel bounds a cancellation.
	CancelTimeout time.Duration
}

const (
	defaultFirstByteTimeout = 2 * time.Second
	// defaultOnceFirstByte is long, because a plain service shows no sign of
	// life before its answer, and a call that is given up has an unknown
	// outcome.
	defaultNonIdempotentFirstByteTimeout = 30 * time.Second
	// defaultSilence is four times the engines' keep-alive interval.
	defaultReadTimeout     = 2 * time.Second
	defaultDialTimeout     = time.Second
	defaultIdleConnTimeout = 5 * time.Second
	defaultCancelTimeout   = time.Second

	// estimateFactor is how many times the estimated time to the first token
	// an answer may take to begin.
	firstByteEstimateFactor = 4
	// maxIdlePerEndpoint is above the slots of the endpoints of today.
	maxIdleConnsPerEndpoint = 64
)

func (s Settings) withDefaults() Settings {
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	s.FirstByteTimeout = orDefault(s.FirstByteTimeout, defaultFirstByteTimeout)
	s.NonIdempotentFirstByteTimeout = orDefault(s.NonIdempotentFirstByteTimeout, defaultNonIdempotentFirstByteTimeout)
	s.ReadTimeout = orDefault(s.ReadTimeout, defaultReadTimeout)
	s.DialTimeout = orDefault(s.DialTimeout, defaultDialTimeout)
	s.IdleConnTimeout = orDefault(s.IdleConnTimeout, defaultIdleConnTimeout)
	s.CancelTimeout = orDefault(s.CancelTimeout, defaultCancelTimeout)
	return s
}

func orDefault(value, defaultValue time.Duration) time.Duration {
	if value == 0 {
		return defaultValue
	}
	return value
}

// onceFirstByte is the time until the answer to a non-idempotent call must
// begin.
func (s Settings) nonIdempotentFirstByteTimeout(estimate time.Duration) time.Duration {
	return max(s.NonIdempotentFirstByteTimeout, s.firstByteTimeout(estimate))
}

// firstByte is the time until an answer must begin.
func (s Settings) firstByteTimeout(estimate time.Duration) time.Duration {
	return max(s.FirstByteTimeout, firstByteEstimateFactor*estimate)
}
