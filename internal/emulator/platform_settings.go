package emulator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPlatformSettings reports invalid settings of a platform stand-in.
var ErrPlatformSettings = merry.Sentinel("invalid settings")

// PlatformSettings describes a platform. A request rate of 0 means no limit.
type PlatformSettings struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Latency is the delay of every answer of the object API and the instance
	// list.
	Latency time.Duration
	// ListLag is the delay after which a change of the instance list is visible.
	ListLag time.Duration
	// TransfersPerSecond is the rate at which the weight store accepts
	// transfers.
	TransfersPerSecond float64
	// TransferMBPerSecond is the maximum speed of one transfer.
	TransferMBPerSecond float64
	// FullSpeedTransfers is the number of concurrent transfers that reach the
	// maximum speed. More transfers share the total speed of that many.
	FullSpeedTransfers int
}

// DefaultPlatformSettings returns settings that model the platform of a small
// deployment.
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
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessagef("ReadsPerSecond is %v, WritesPerSecond %v and TransfersPerSecond %v; they must not be negative",
			s.ReadsPerSecond, s.WritesPerSecond, s.TransfersPerSecond))
	case s.Latency < 0 || s.ListLag < 0:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessagef("Latency is %s and ListLag %s; they must not be negative", s.Latency, s.ListLag))
	case s.TransferMBPerSecond <= 0:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessagef("TransferMBPerSecond is %v; it must be above 0", s.TransferMBPerSecond))
	case s.FullSpeedTransfers < 1:
		return merry.Wrap(ErrPlatformSettings, merry.AppendMessagef("FullSpeedTransfers is %d; it must be at least 1", s.FullSpeedTransfers))
	}
	return nil
}

// PlatformFaults are the faults of a platform. Setting them replaces all
// previous ones.
type PlatformFaults struct {
	// Outage refuses every call of the object API and the instance list and
	// ends pending watches.
	Outage bool
	// Latency is added to the latency of the settings.
	Latency time.Duration
	// LoseReplies is the number of following writes that take effect and whose
	// connection is closed without an answer. While Silent is set, the
	// connection stays open without an answer instead.
	LoseReplies int
	// Silent leaves calls of the object API and the instance list without an
	// answer and, unless LoseReplies is set, without effect. Connections with
	// pending watches stay silent also after Silent is cleared.
	Silent bool
	// SilenceOpen permanently stops answering on every connection that has been
	// used so far. New connections work.
	SilenceOpen bool
	// ListLag is added to the lag of the settings.
	ListLag time.Duration
	// StoreSlowdown is the divisor of the weight store's speed; 0 means 1.
	StoreSlowdown float64
}

// PlatformCalls counts the received calls by kind, whatever their outcome.
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
