package dispatcher_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

func TestHedgeScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[dispatcher.HedgeMessage, dispatcher.HedgeEffect]{
		Directory: "testdata/hedge",
		New: func(*testing.T, []byte) tester.Controller[dispatcher.HedgeMessage, dispatcher.HedgeEffect] {
			return dispatcher.NewHedge()
		},
		Messages: []dispatcher.HedgeMessage{
			dispatcher.HedgeBegin{},
			dispatcher.HedgeFirstByte{},
			dispatcher.HedgeEnded{},
			dispatcher.HedgeSlotGranted{},
			dispatcher.HedgeSlotDenied{},
		},
		Tick: dispatcher.HedgeTick{},
	})
}

// hedgeModel is the reference model of a hedged request: which attempts run,
// which was adopted, and whether the request has finished.
type hedgeModel struct {
	running         map[int]bool
	responded       map[int]bool
	adopted         []int
	finished        []int
	slotRequested   bool
	slotsReleased   int
	attemptsStarted int
}

// Guards against responses of both attempts reaching a caller, a request that
// never finishes or finishes twice, and a slot that is never released.
func TestHedgeInvariants(t *testing.T) {
	tester.Check(t, 5, func(t *rapid.T) {
		hedge := dispatcher.NewHedge()
		model := &hedgeModel{running: map[int]bool{}, responded: map[int]bool{}}
		now := tester.Start
		granted := 0
		model.apply(t, hedge.Step(now, dispatcher.HedgeBegin{Slot: filter.Slot{ID: 1, Endpoint: "e1"}, HedgeDelay: time.Second}))
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			message := model.drawMessage(t)
			if _, ok := message.(dispatcher.HedgeSlotGranted); ok {
				granted++
			}
			model.apply(t, hedge.Step(now, message))
		}
		model.drain(t, hedge, now)
		if len(model.finished) != 1 || model.attemptsStarted+model.slotsReleased != granted+1 {
			t.Fatalf("%+v with %d slots granted", model, granted)
		}
	})
}

// drawMessage draws a message that is valid in the current state.
func (m *hedgeModel) drawMessage(t *rapid.T) dispatcher.HedgeMessage {
	attempt := rapid.IntRange(0, 1).Draw(t, "attempt")
	switch kind := rapid.IntRange(0, 5).Draw(t, "message"); {
	case kind == 0 && m.running[attempt]:
		m.responded[attempt] = true
		return dispatcher.HedgeFirstByte{Attempt: attempt}
	case kind == 1 && m.running[attempt]:
		delete(m.running, attempt)
		return dispatcher.HedgeEnded{Attempt: attempt, Failed: rapid.Bool().Draw(t, "failed")}
	case kind == 2 && m.slotRequested:
		m.slotRequested = false
		return dispatcher.HedgeSlotGranted{Slot: filter.Slot{ID: 2, Endpoint: "e2"}}
	case kind == 3 && m.slotRequested:
		m.slotRequested = false
		return dispatcher.HedgeSlotDenied{}
	default:
		return dispatcher.HedgeTick{}
	}
}

func (m *hedgeModel) apply(t *rapid.T, effects []dispatcher.HedgeEffect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case dispatcher.HedgeStartAttempt:
			if len(m.adopted) > 0 || len(m.finished) > 0 {
				t.Fatalf("%+v after an attempt was adopted or the request finished: %+v", effect, m)
			}
			m.running[effect.Attempt] = true
			m.attemptsStarted++
		case dispatcher.HedgeRequestSlot:
			m.slotRequested = true
		case dispatcher.HedgeAdopt:
			m.adopted = append(m.adopted, effect.Attempt)
		case dispatcher.HedgeReleaseSlot:
			m.slotsReleased++
		case dispatcher.HedgeFinish:
			m.finished = append(m.finished, effect.Attempt)
		}
	}
	if len(m.adopted) > 1 || len(m.finished) > 1 {
		t.Fatalf("more than one attempt adopted, or finished more than once: %+v", m)
	}
	if len(m.adopted) == 1 && len(m.finished) == 1 && m.adopted[0] != m.finished[0] {
		t.Fatalf("finished with an attempt other than the adopted one: %+v", m)
	}
}

// drain ends the running attempts and denies a pending slot request.
func (m *hedgeModel) drain(t *rapid.T, hedge *dispatcher.Hedge, now time.Time) {
	for attempt := range 2 {
		if m.running[attempt] {
			delete(m.running, attempt)
			m.apply(t, hedge.Step(now, dispatcher.HedgeEnded{Attempt: attempt, Failed: true}))
		}
	}
	if m.slotRequested {
		m.slotRequested = false
		m.apply(t, hedge.Step(now, dispatcher.HedgeSlotDenied{}))
	}
}
