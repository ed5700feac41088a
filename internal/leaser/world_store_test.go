package leaser_test

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/leaser"
)

// maxStall is how long after its decision a write may reach the store.
const maxStall = 6 * time.Second

// leg is the time of one direction of a call.
func (w *world) leg() time.Duration { return w.latency/2 + w.upTo(w.latency) }

// chance is true for a share of the calls while the network is faulty.
func (w *world) chance(share float64) bool {
	return w.now < w.faultyUntil && w.random.Float64() < share
}

func (w *world) read(n *node) {
	w.calls++
	run := n.run
	if w.chance(w.lost + w.replyLost) {
		w.after(callTimeout, func() { w.deliver(n, run, leaser.ReadDone{Name: name, Outcome: leaser.Unavailable}) })
		return
	}
	there, back := w.leg(), w.leg()
	w.after(there, func() {
		answer := leaser.ReadDone{Name: name, Outcome: leaser.Done, Version: w.version, Lease: w.lease}
		switch {
		case w.now < w.outageUntil:
			answer = leaser.ReadDone{Name: name, Outcome: leaser.Unavailable}
		case w.version == 0:
			answer.Outcome = leaser.Missing
		}
		w.after(back, func() { w.deliver(n, run, answer) })
	})
}

// write sends a write whose request or reply may be lost, that may take
// effect after its sender has given up, whose sender stalls before it is sent,
// or whose reply is slow.
func (w *world) write(n *node, write leaser.Write) {
	w.calls++
	run := n.run
	there, back := w.leg(), w.leg()
	uncertain := leaser.WriteDone{Name: name, Outcome: leaser.Uncertain}
	switch {
	case w.chance(w.lost):
		w.after(callTimeout, func() { w.deliver(n, run, uncertain) })
	case w.chance(w.replyLost):
		w.after(there, func() { w.apply(write) })
		w.after(callTimeout, func() { w.deliver(n, run, uncertain) })
	case w.chance(w.late):
		w.after(w.upTo(maxStall), func() { w.apply(write) })
		w.after(callTimeout, func() { w.deliver(n, run, uncertain) })
	default:
		if w.chance(w.stalled) {
			there += w.upTo(maxStall)
		}
		if w.chance(w.stalled) {
			back += w.upTo(callTimeout)
		}
		w.after(there, func() {
			done := w.apply(write)
			w.after(back, func() { w.deliver(n, run, done) })
		})
	}
}

func (w *world) apply(write leaser.Write) leaser.WriteDone {
	switch {
	case w.now < w.outageUntil:
		return leaser.WriteDone{Name: name, Outcome: leaser.Unavailable}
	case write.IfVersion != w.version:
		return leaser.WriteDone{Name: name, Outcome: leaser.Conflict}
	}
	w.version++
	w.lease = write.Lease
	return leaser.WriteDone{Name: name, Outcome: leaser.Done, Version: w.version}
}
