package emulator_test

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against concurrent transfers that do not share the store's bandwidth,
// also after one has completed or was cancelled.
func TestTransfersShareSpeed(t *testing.T) {
	store := emulator.NewWeightStore(emulator.PlatformSettings{TransferMBPerSecond: 1000, FullSpeedTransfers: 2})
	done := map[runner.Call]time.Duration{}
	for call := runner.Call(1); call <= 4; call++ {
		store.Start(tester.Start, call, 1000)
	}
	store.Start(tester.Start, 5, 500)
	store.Cancel(tester.Start, 4)
	for range 100 {
		wake := store.Wake()
		if wake.IsZero() {
			break
		}
		for _, call := range store.Advance(wake) {
			done[call] = wake.Sub(tester.Start).Round(time.Millisecond)
		}
	}
	// Four transfers run at half speed until the short one completes after 1 s.
	// The other three then have 500 MB left at two thirds of the full speed.
	want := map[runner.Call]time.Duration{
		1: 1750 * time.Millisecond, 2: 1750 * time.Millisecond, 3: 1750 * time.Millisecond, 5: time.Second,
	}
	for call, at := range want {
		if done[call] != at {
			t.Errorf("transfer %d done after %s; want %s", call, done[call], at)
		}
	}
	if len(done) != len(want) {
		t.Errorf("transfers done: %v; want %v", done, want)
	}
}

// Guards against a store that ignores its rate limit, and against a slowdown that
// applies to the data transferred before it was set.
func TestStoreRateAndSlowdown(t *testing.T) {
	store := emulator.NewWeightStore(emulator.PlatformSettings{
		TransferMBPerSecond: 1000, FullSpeedTransfers: 2, TransfersPerSecond: 1,
	})
	if !store.Start(tester.Start, 1, 1000) || store.Start(tester.Start, 2, 1000) {
		t.Error("want the first transfer accepted and the second refused")
	}
	store.SetSlowdown(tester.Start.Add(500*time.Millisecond), 10)
	if got, want := store.Wake().Sub(tester.Start), 5500*time.Millisecond; got != want {
		t.Errorf("done after %s; want %s", got, want)
	}
}
