package emulator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrSettings reports settings that a stand-in cannot run with.
var ErrPlatformSettings = merry.Sentinel("invalid settings")

// PlatformSettings describes a platform. A rate of 0 means no limit.
type PlatformSettings struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Latency is added to every answer of the object API and the instance
	// list.
	Latency time.Duration
	// ListLag is the time after which a change of the instance list shows.
	ListLag time.Duration
	// TransfersPerSecond is the rate at which the weight store accepts loads.
	TransfersPerSecond float64
	// TransferMBPerSecond is the full speed of one transfer.
	TransferMBPerSecond float64
	// FullSpeedTransfers is the number of transfers that run at full speed
	// at once. More transfers share the speed of that many.
	FullSpeedTransfers int
}

// DefaultPlatformSettings returns the platform of a small deployment.
func DefaultPlatformSettings() PlatformSettings {
	return PlatformSettings{
		ReadsPerSecond:      2000,
		WritesPerSecond:     400,
		Latency:             2 * time.Millisecond,
		ListLag:             time.Second,
		TransfersPerSecond:  3,
		TransferMBPerSecond: 2000,
		FullSpeedTransfers:  4,
	}
}

func (s PlatformSettings) validate() error {
	switch {
	case s.ReadsPerSecond < 0 || s.WritesPerSecond < 0 || s.TransfersPerSecond < 0:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessage("rates must not be negative"))
	case s.Latency < 0 || s.ListLag < 0:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessage("Latency and ListLag must not be negative"))
	case s.TransferMBPerSecond <= 0:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessage("TransferMBPerSecond must be above 0"))
	case s.FullSpeedTransfers < 1:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessage("FullSpeedTransfers must be at least 1"))
	}
	return nil
}

// PlatformFaults are the faults in force. Setting them replaces all of them.
type PlatformFaults struct {
	// Outage refuses every call of the object API and the instance list and
	// ends waiting watches.
	Outage bool
	// Latency is added to the latency of the settings.
	Latency time.Duration
	// LoseReplies is the number of coming writes that take effect and whose
	// connection is closed without an answer. While Silent is set they get
	// no answer at all.
	LoseReplies int
	// Silent leaves calls of the object API and the instance list without an
	// answer and, unless LoseReplies is set, without effect. Watches that wait stay silent for good.
	Silent bool
	// SilenceOpen makes every connection that has been used so far silent for
	// good, while new connections work.
	SilenceOpen bool
	// ListLag is added to the lag of the settings.
	ListLag time.Duration
	// StoreSlowdown divides the speed of the weight store; 0 means 1.
	StoreSlowdown float64
}

// PlatformCalls counts the calls that arrived, by kind, whatever their
// outcome.
type PlatformCalls struct {
	Get       int
	Put       int
	Delete    int
	List      int
	Watch     int
	Instances int
	Transfers int
	// Throttled and Unavailable count the calls refused for these reasons.
	Throttled   int
	Unavailable int
}
