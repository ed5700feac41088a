package dispatcher

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// HedgeMessage is an input of a Hedge.
type HedgeMessage interface{ isHedgeMessage() }

// HedgeBegin starts the first attempt.
type HedgeBegin struct {
	Slot filter.Slot
	// Bound is how long the first byte may take before a second attempt.
	Bound time.Duration
}

// HedgeHeard reports the first byte of an attempt's answer.
type HedgeHeard struct{ Attempt int }

// HedgeEnded reports the end of an attempt.
type HedgeEnded struct {
	Attempt int
	// Failed says that the attempt did not give the whole answer.
	Failed bool
}

// HedgeGranted reports a slot for the second attempt.
type HedgeGranted struct{ Slot filter.Slot }

// HedgeDenied reports that there is no slot or no budget for a second attempt.
type HedgeDenied struct{}

// HedgeTick reports that the wake time has come.
type HedgeTick struct{}

func (HedgeBegin) isHedgeMessage()   {}
func (HedgeHeard) isHedgeMessage()   {}
func (HedgeEnded) isHedgeMessage()   {}
func (HedgeGranted) isHedgeMessage() {}
func (HedgeDenied) isHedgeMessage()  {}
func (HedgeTick) isHedgeMessage()    {}

// HedgeEffect is an output of a Hedge.
type HedgeEffect interface{ isHedgeEffect() }

// HedgeSend starts an attempt, 0 or 1, in a slot.
type HedgeSend struct {
	Attempt int
	Slot    filter.Slot
}

// HedgeAsk asks the budget and then the scheduler for a second slot on another
// endpoint. It is answered by HedgeGranted or HedgeDenied.
type HedgeAsk struct{ Avoid string }

// HedgeAdopt makes an attempt's answer the answer of the request.
type HedgeAdopt struct{ Attempt int }

// HedgeCancel stops an attempt that lost.
type HedgeCancel struct{ Attempt int }

// HedgeReturn gives back a slot that came too late.
type HedgeReturn struct{ Slot filter.Slot }

// HedgeStopAsking ends a question whose answer is not needed any more. It is
// still answered.
type HedgeStopAsking struct{}

// HedgeFinish ends the request with the result of an attempt.
type HedgeFinish struct{ Attempt int }

func (HedgeSend) isHedgeEffect()       {}
func (HedgeAsk) isHedgeEffect()        {}
func (HedgeAdopt) isHedgeEffect()      {}
func (HedgeCancel) isHedgeEffect()     {}
func (HedgeReturn) isHedgeEffect()     {}
func (HedgeStopAsking) isHedgeEffect() {}
func (HedgeFinish) isHedgeEffect()     {}

// HedgePhase is what became of an attempt of a Hedge.
type HedgePhase string

// The phases of an attempt.
const (
	HedgeIdle    HedgePhase = ""
	HedgeWaiting HedgePhase = "Waiting"
	HedgeLost    HedgePhase = "Lost"
	HedgeDone    HedgePhase = "Done"
)

// noAttempt stands for no attempt.
const noAttempt = -1

// Hedge decides when an idempotent generation gets a second attempt, and which
// of the two answers.
//
// At most one attempt is adopted, and it finishes the request; nothing of
// another attempt reaches the caller.
type Hedge struct {
	Phases [2]HedgePhase
	// First is the endpoint of the first attempt.
	First string
	// HedgeAt is when a second attempt is due, zero if none is.
	HedgeAt time.Time
	// Asking says that a second slot was asked for.
	Asking bool
	// Adopted is the attempt that answers, -1 before.
	Adopted int
	// Last is the attempt that failed last, -1 before.
	Last     int
	Finished bool
}

// NewHedge returns a hedge without attempts.
func NewHedge() *Hedge {
	return &Hedge{Adopted: noAttempt, Last: noAttempt}
}

// Wake implements runner.Controller.
func (h *Hedge) Wake() time.Time { return h.HedgeAt }

// Step implements runner.Controller.
func (h *Hedge) Step(now time.Time, message HedgeMessage) []HedgeEffect {
	switch message := message.(type) {
	case HedgeBegin:
		h.First, h.HedgeAt = message.Slot.Endpoint, now.Add(message.Bound)
		return h.send(0, message.Slot)
	case HedgeHeard:
		return h.heard(message.Attempt)
	case HedgeEnded:
		return h.ended(message)
	case HedgeGranted:
		return h.granted(message.Slot)
	case HedgeDenied:
		h.Asking = false
		return h.finishIfOver()
	case HedgeTick:
		return h.tick(now)
	default:
		return nil
	}
}

func (h *Hedge) send(attempt int, slot filter.Slot) []HedgeEffect {
	h.Phases[attempt] = HedgeWaiting
	return []HedgeEffect{HedgeSend{Attempt: attempt, Slot: slot}}
}

func (h *Hedge) tick(now time.Time) []HedgeEffect {
	if h.HedgeAt.IsZero() || now.Before(h.HedgeAt) {
		return nil
	}
	h.HedgeAt = time.Time{}
	h.Asking = true
	return []HedgeEffect{HedgeAsk{Avoid: h.First}}
}

// heard adopts the first attempt that answers and stops the other one.
func (h *Hedge) heard(attempt int) []HedgeEffect {
	if h.Adopted != noAttempt || h.Phases[attempt] != HedgeWaiting {
		return nil
	}
	h.Adopted, h.HedgeAt = attempt, time.Time{}
	effects := []HedgeEffect{HedgeAdopt{Attempt: attempt}}
	if other := 1 - attempt; h.Phases[other] == HedgeWaiting {
		h.Phases[other] = HedgeLost
		effects = append(effects, HedgeCancel{Attempt: other})
	}
	if h.Asking {
		effects = append(effects, HedgeStopAsking{})
	}
	return effects
}

func (h *Hedge) granted(slot filter.Slot) []HedgeEffect {
	h.Asking = false
	if h.Adopted == noAttempt && !h.Finished {
		return h.send(1, slot)
	}
	return []HedgeEffect{HedgeReturn{Slot: slot}}
}

func (h *Hedge) ended(message HedgeEnded) []HedgeEffect {
	lost := h.Phases[message.Attempt] == HedgeLost
	h.Phases[message.Attempt] = HedgeDone
	if lost {
		return nil
	}
	h.Last = message.Attempt
	var effects []HedgeEffect
	if !message.Failed {
		// An answer without tokens ends before anything is heard of it.
		effects = h.win(message.Attempt)
	}
	return append(effects, h.finishIfOver()...)
}

// win adopts an attempt that ended with the whole answer.
func (h *Hedge) win(attempt int) []HedgeEffect {
	h.Phases[attempt] = HedgeWaiting
	effects := h.heard(attempt)
	h.Phases[attempt] = HedgeDone
	return effects
}

// finishIfOver ends the request if no attempt can answer any more. A failure
// before the second attempt was due is left to the retry of the request, which
// has the same budget.
func (h *Hedge) finishIfOver() []HedgeEffect {
	running := h.Phases[0] == HedgeWaiting || h.Phases[1] == HedgeWaiting
	waiting := h.Asking && h.Adopted == noAttempt
	if h.Finished || running || waiting || h.Last == noAttempt {
		return nil
	}
	h.Finished, h.HedgeAt = true, time.Time{}
	if h.Adopted != noAttempt {
		return []HedgeEffect{HedgeFinish{Attempt: h.Adopted}}
	}
	return []HedgeEffect{HedgeFinish{Attempt: h.Last}}
}
