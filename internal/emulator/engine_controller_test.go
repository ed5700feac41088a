package emulator_test

import (
	"encoding/json"
	"testing"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// Replays the scripts of testdata/engine. Their first lines state the failures
// that they guard against.
func TestEngineScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[emulator.EngineMessage, emulator.EngineEffect]{
		Directory: "testdata/engine",
		New: func(t *testing.T, setup []byte) tester.Controller[emulator.EngineMessage, emulator.EngineEffect] {
			var settings emulator.EngineSettings
			if err := json.Unmarshal(setup, &settings); err != nil {
				t.Fatal(err)
			}
			return emulator.NewEngineController(settings)
		},
		Messages: []emulator.EngineMessage{
			emulator.EngineSubmit{},
			emulator.EngineCancel{},
			emulator.EngineSubmitOrder{},
			emulator.EngineGetReport{},
			emulator.EngineGetEvents{},
			emulator.EngineSetFaults{},
			emulator.EngineFetched{},
		},
		Tick: emulator.EngineTick{},
	})
}
