package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

func TestPoolScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[dispatcher.PoolMessage, dispatcher.PoolEffect]{
		Directory: "testdata/pool",
		New: func(*testing.T, []byte) tester.Controller[dispatcher.PoolMessage, dispatcher.PoolEffect] {
			return dispatcher.NewPool()
		},
		Messages: []dispatcher.PoolMessage{
			dispatcher.Open{}, dispatcher.Renew{}, dispatcher.Abandon{}, dispatcher.Cancelled{}, dispatcher.Unused{},
		},
		Tick: dispatcher.Tick{},
	})
}

// Guards against an attempt that waits forever for connections, reuse of a
// generation that has stopped responding, and cancellations that are lost or
// unbounded in number.
func TestPoolInvariants(t *testing.T) {
	tester.Check(t, 3, func(t *rapid.T) {
		pool := dispatcher.NewPool()
		model := poolModel{silent: map[uint64]bool{}, current: map[string]uint64{}}
		now := tester.Start
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			model.check(t, model.drawMessage(t, step), pool, now)
		}
	})
}

// poolModel is the reference model of a pool, derived from its messages and
// effects.
type poolModel struct {
	silent    map[uint64]bool
	current   map[string]uint64
	newest    uint64
	running   int
	abandoned uint64
	cancelled uint64
}

func (m *poolModel) drawMessage(t *rapid.T, step int) dispatcher.PoolMessage {
	address := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 3).Draw(t, "address"))
	call := runner.Call(step + 1)
	switch rapid.IntRange(0, 5).Draw(t, "message") {
	case 0:
		return dispatcher.Open{Call: call, Address: address}
	case 1:
		generation := uint64(rapid.IntRange(0, int(m.newest)).Draw(t, "generation"))
		if generation == m.current[address] {
			m.silent[generation] = true
		}
		return dispatcher.Renew{Call: call, Address: address, Generation: generation}
	case 2:
		m.abandoned++
		return dispatcher.Abandon{Address: address, Attempt: fmt.Sprint(step)}
	case 3:
		if m.running == 0 {
			return dispatcher.Tick{}
		}
		m.running--
		return dispatcher.Cancelled{}
	case 4:
		return dispatcher.Unused{Addresses: []string{address}}
	default:
		return dispatcher.Tick{}
	}
}

func (m *poolModel) check(t *rapid.T, message dispatcher.PoolMessage, pool *dispatcher.Pool, now time.Time) {
	repliedTo := runner.Call(0)
	for _, effect := range pool.Step(now, message) {
		switch effect := effect.(type) {
		case dispatcher.Create:
			if effect.Generation <= m.newest {
				t.Fatalf("generation %d after %d", effect.Generation, m.newest)
			}
			m.newest, m.current[effect.Address] = effect.Generation, effect.Generation
		case dispatcher.Retire:
			if m.current[effect.Address] != effect.Generation {
				t.Fatalf("retired generation %d, but %d is current", effect.Generation, m.current[effect.Address])
			}
			delete(m.current, effect.Address)
		case dispatcher.Ready:
			repliedTo = effect.Call
			if m.silent[m.current[effect.Address]] && m.current[effect.Address] != 0 {
				t.Fatalf("Ready for %s, whose generation has stopped responding", effect.Address)
			}
		case dispatcher.Cancel:
			m.running++
			m.cancelled++
		}
	}
	m.checkReply(t, message, repliedTo)
	if m.running > 32 {
		t.Fatalf("%d concurrent cancellations; want at most 32", m.running)
	}
	if m.cancelled+uint64(len(pool.QueuedCancels))+pool.DroppedCancels != m.abandoned {
		t.Fatalf("%d abandoned, but %d cancelled, %d queued, %d dropped", m.abandoned, m.cancelled, len(pool.QueuedCancels), pool.DroppedCancels)
	}
	if len(m.current) > 0 && pool.Wake().IsZero() {
		t.Fatal("connections exist, but no sweep is due")
	}
}

func (m *poolModel) checkReply(t *rapid.T, message dispatcher.PoolMessage, repliedTo runner.Call) {
	switch message := message.(type) {
	case dispatcher.Open:
		if repliedTo != message.Call || m.current[message.Address] == 0 {
			t.Fatalf("%+v: Ready for call %d, current generations %v", message, repliedTo, m.current)
		}
	case dispatcher.Renew:
		if repliedTo != message.Call {
			t.Fatalf("%+v: Ready for call %d", message, repliedTo)
		}
	}
}
