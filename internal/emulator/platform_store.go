package emulator

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// WeightStore is a store of checkpoints whose concurrent transfers share its
// bandwidth.
type WeightStore struct {
	// MBPerSecond is the maximum speed of one transfer.
	MBPerSecond float64
	// FullSpeedTransfers is the number of concurrent transfers that reach the
	// maximum speed.
	FullSpeedTransfers int
	// Slowdown is the divisor of the speed.
	Slowdown float64
	// RemainingMB holds the remaining size of each transfer at UpdatedAt.
	RemainingMB map[runner.Call]float64
	UpdatedAt   time.Time

	startLimiter *rate.Limiter
}

// completionToleranceMB is the remaining size at which a transfer counts as
// complete. It compensates for the rounding of wake times to nanoseconds.
const completionToleranceMB = 1e-3

// NewWeightStore returns a weight store without transfers.
func NewWeightStore(settings PlatformSettings) WeightStore {
	startLimiter := rate.NewLimiter(rate.Inf, 0)
	if settings.TransfersPerSecond > 0 {
		// The burst is the number of transfers per second, at least 1.
		startLimiter = rate.NewLimiter(rate.Limit(settings.TransfersPerSecond), max(1, int(settings.TransfersPerSecond)))
	}
	return WeightStore{
		MBPerSecond:        settings.TransferMBPerSecond,
		FullSpeedTransfers: settings.FullSpeedTransfers,
		Slowdown:           1,
		RemainingMB:        map[runner.Call]float64{},
		startLimiter:       startLimiter,
	}
}

// Start starts a transfer. It returns false if the store's rate is exceeded.
func (s *WeightStore) Start(now time.Time, call runner.Call, sizeMB float64) bool {
	s.updateRemaining(now)
	if !s.startLimiter.AllowN(now, 1) {
		return false
	}
	s.RemainingMB[call] = sizeMB
	return true
}

// Cancel ends a transfer whose caller has disconnected.
func (s *WeightStore) Cancel(now time.Time, call runner.Call) {
	s.updateRemaining(now)
	delete(s.RemainingMB, call)
}

// SetSlowdown sets the divisor of the speed from now on; 0 or less means 1.
func (s *WeightStore) SetSlowdown(now time.Time, slowdown float64) {
	s.updateRemaining(now)
	s.Slowdown = slowdown
	if slowdown <= 0 {
		s.Slowdown = 1
	}
}

// Advance removes the completed transfers and returns their calls in ascending
// order.
func (s *WeightStore) Advance(now time.Time) []runner.Call {
	s.updateRemaining(now)
	var done []runner.Call
	for _, call := range slices.Sorted(maps.Keys(s.RemainingMB)) {
		if s.RemainingMB[call] <= completionToleranceMB {
			delete(s.RemainingMB, call)
			done = append(done, call)
		}
	}
	return done
}

// Wake returns when the next transfer completes at the current speed, or the
// zero time if there is none.
func (s *WeightStore) Wake() time.Time {
	if len(s.RemainingMB) == 0 {
		return time.Time{}
	}
	leastMB := slices.Min(slices.Collect(maps.Values(s.RemainingMB)))
	return s.UpdatedAt.Add(time.Duration(max(0, leastMB) / s.speed() * float64(time.Second)))
}

func (s *WeightStore) updateRemaining(now time.Time) {
	transferredMB := now.Sub(s.UpdatedAt).Seconds() * s.speed()
	for call := range s.RemainingMB {
		s.RemainingMB[call] -= transferredMB
	}
	s.UpdatedAt = now
}

// speed returns the current speed of each transfer in MB per second.
func (s *WeightStore) speed() float64 {
	share := min(1, float64(s.FullSpeedTransfers)/float64(max(1, len(s.RemainingMB))))
	return s.MBPerSecond * share / s.Slowdown
}
