package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Settings configures a Dispatcher. Durations that are 0 get their defaults.
type Settings struct {
	Clock clockwork.Clock
	// Budget counts the attempts. It may be nil.
	Budget *Budget
	// FirstByteTimeout is the minimum time allowed until the first byte of a
	// response. A long estimate for the slot extends it.
	FirstByteTimeout time.Duration
	// NonIdempotentFirstByteTimeout is the minimum time allowed until the first
	// byte of the response to a non-idempotent call.
	NonIdempotentFirstByteTimeout time.Duration
	// ReadTimeout is the longest time between two lines of a response.
	ReadTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept open.
	IdleConnTimeout time.Duration
	// CancelTimeout bounds the request that cancels an attempt.
	CancelTimeout time.Duration
}

const (
	defaultFirstByteTimeout = 2 * time.Second
	// defaultNonIdempotentFirstByteTimeout is long because a plain service
	// sends nothing before its response, and the outcome of a call that times
	// out is unknown.
	defaultNonIdempotentFirstByteTimeout = 30 * time.Second
	// defaultReadTimeout is four times the keep-alive interval of the engines.
	defaultReadTimeout     = 2 * time.Second
	defaultDialTimeout     = time.Second
	defaultIdleConnTimeout = 5 * time.Second
	defaultCancelTimeout   = time.Second

	// firstByteEstimateFactor times the estimated time to the first token is
	// the time allowed until the first byte of a response.
	firstByteEstimateFactor = 4
	// maxIdleConnsPerEndpoint is more than the number of slots of any current
	// endpoint.
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

// nonIdempotentFirstByteTimeout returns the time allowed until the first byte
// of the response to a non-idempotent call.
func (s Settings) nonIdempotentFirstByteTimeout(estimate time.Duration) time.Duration {
	return max(s.NonIdempotentFirstByteTimeout, s.firstByteTimeout(estimate))
}

// firstByteTimeout returns the time allowed until the first byte of a response.
func (s Settings) firstByteTimeout(estimate time.Duration) time.Duration {
	return max(s.FirstByteTimeout, firstByteEstimateFactor*estimate)
}
