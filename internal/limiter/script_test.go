package limiter_test

import (
	"encoding/json"
	"testing"

	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// setup is the content of a script's setup section.
type setup struct {
	SlotCount int
}

func parseSetup(t *testing.T, data []byte) setup {
	var s setup
	if err := json.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against unintended changes of the owner's decisions; the head of each
// script states the failure that it guards against.
func TestOwnerScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[limiter.OwnerMessage, limiter.OwnerEffect]{
		Directory: "testdata/owner",
		New: func(t *testing.T, data []byte) tester.Controller[limiter.OwnerMessage, limiter.OwnerEffect] {
			return limiter.NewOwner(parseSetup(t, data).SlotCount)
		},
		Messages: []limiter.OwnerMessage{
			limiter.LeaseHeld{},
			limiter.LeaseLost{},
			limiter.LeaseDataStored{},
			limiter.WorkspacesChanged{},
			limiter.InstancesListed{},
			limiter.ExchangeReceived{},
			limiter.AttainedReceived{},
			limiter.HandoverRequested{},
			limiter.StateRequested{},
		},
		Tick: limiter.OwnerTick{},
	})
}

// Guards against unintended changes of the holder's decisions; the head of each
// script states the failure that it guards against.
func TestHolderScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[limiter.HolderMessage, limiter.HolderEffect]{
		Directory: "testdata/holder",
		New: func(t *testing.T, data []byte) tester.Controller[limiter.HolderMessage, limiter.HolderEffect] {
			return limiter.NewHolder("a", 1, parseSetup(t, data).SlotCount)
		},
		Messages: []limiter.HolderMessage{
			limiter.ReserveRequested{},
			limiter.ConfirmRequested{},
			limiter.Settled{},
			limiter.Cancelled{},
			limiter.OwnerChanged{},
			limiter.WorkspacesChanged{},
			limiter.ExchangeCompleted{},
			limiter.ExchangeFailed{},
		},
		Tick: limiter.HolderTick{},
	})
}
