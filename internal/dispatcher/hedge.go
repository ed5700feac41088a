package dispatcher

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// HedgeMessage is an input of a Hedge.
type HedgeMessage interface{ isHedgeMessage() }

// HedgeBegin starts a request with its first attempt.
type HedgeBegin struct {
	Slot filter.Slot
	// HedgeDelay is how long to wait for the first byte before a second
	// attempt.
	HedgeDelay time.Duration
}

// HedgeFirstByte reports the first byte of an attempt's response.
type HedgeFirstByte struct{ Attempt int }

// HedgeEnded reports the end of an attempt.
type HedgeEnded struct {
	Attempt int
	// Failed reports whether the attempt ended without a complete response.
	Failed bool
}

// HedgeSlotGranted reports a slot for the second attempt.
type HedgeSlotGranted struct{ Slot filter.Slot }

// HedgeSlotDenied reports that there is no slot or no budget for a second
// attempt.
type HedgeSlotDenied struct{}

// HedgeTick reports that the wake time has come.
type HedgeTick struct{}

func (HedgeBegin) isHedgeMessage()       {}
func (HedgeFirstByte) isHedgeMessage()   {}
func (HedgeEnded) isHedgeMessage()       {}
func (HedgeSlotGranted) isHedgeMessage() {}
func (HedgeSlotDenied) isHedgeMessage()  {}
func (HedgeTick) isHedgeMessage()        {}

// HedgeEffect is an output of a Hedge.
type HedgeEffect interface{ isHedgeEffect() }

// HedgeStartAttempt starts an attempt, 0 or 1, in a slot.
type HedgeStartAttempt struct {
	Attempt int
	Slot    filter.Slot
}

// HedgeRequestSlot requests a second slot: it takes a retry from the budget, and
// then requests a slot from the scheduler, on an endpoint other than Avoid. It is
// answered by HedgeSlotGranted or HedgeSlotDenied.
type HedgeRequestSlot struct{ Avoid string }

// HedgeAdopt selects an attempt's response as the response to the request.
type HedgeAdopt struct{ Attempt int }

// HedgeCancelAttempt cancels an attempt because the other one was adopted.
type HedgeCancelAttempt struct{ Attempt int }

// HedgeReleaseSlot releases a slot that was granted too late to be used.
type HedgeReleaseSlot struct{ Slot filter.Slot }

// HedgeCancelSlotRequest cancels a slot request whose result is no longer
// needed. HedgeSlotGranted or HedgeSlotDenied still follows.
type HedgeCancelSlotRequest struct{}

// HedgeFinish completes the request with the result of an attempt.
type HedgeFinish struct{ Attempt int }

func (HedgeStartAttempt) isHedgeEffect()      {}
func (HedgeRequestSlot) isHedgeEffect()       {}
func (HedgeAdopt) isHedgeEffect()             {}
func (HedgeCancelAttempt) isHedgeEffect()     {}
func (HedgeReleaseSlot) isHedgeEffect()       {}
func (HedgeCancelSlotRequest) isHedgeEffect() {}
func (HedgeFinish) isHedgeEffect()            {}

// HedgePhase is the state of an attempt of a Hedge.
type HedgePhase string

// The phases of an attempt.
const (
	HedgeIdle    HedgePhase = ""
	HedgeWaiting HedgePhase = "Waiting"
	HedgeLost    HedgePhase = "Lost"
	HedgeDone    HedgePhase = "Done"
)

// noAttempt is the index that stands for no attempt.
const noAttempt = -1

// Hedge decides when an idempotent generation gets a second attempt, and which
// of the two attempts provides the response.
//
// At most one attempt is adopted, and its result completes the request. No data
// of the other attempt reaches the caller.
type Hedge struct {
	Phases [2]HedgePhase
	// FirstEndpoint is the endpoint of the first attempt.
	FirstEndpoint string
	// HedgeAt is when a second attempt is due; zero if none is due.
	HedgeAt time.Time
	// SlotRequested reports whether a request for a second slot is pending.
	SlotRequested bool
	// Adopted is the attempt whose response is used, -1 before that is decided.
	Adopted int
	// LastEnded is the last attempt that ended, -1 before any has. An attempt
	// that was cancelled by the hedge does not count.
	LastEnded int
	Finished  bool
}

// NewHedge returns a hedge without attempts.
func NewHedge() *Hedge {
	return &Hedge{Adopted: noAttempt, LastEnded: noAttempt}
}

// Wake implements runner.Controller.
func (h *Hedge) Wake() time.Time { return h.HedgeAt }

// Step implements runner.Controller.
func (h *Hedge) Step(now time.Time, message HedgeMessage) []HedgeEffect {
	switch message := message.(type) {
	case HedgeBegin:
		h.FirstEndpoint, h.HedgeAt = message.Slot.Endpoint, now.Add(message.HedgeDelay)
		return h.startAttempt(0, message.Slot)
	case HedgeFirstByte:
		return h.handleFirstByte(message.Attempt)
	case HedgeEnded:
		return h.handleEnded(message)
	case HedgeSlotGranted:
		return h.handleSlotGranted(message.Slot)
	case HedgeSlotDenied:
		h.SlotRequested = false
		return h.finishIfDone()
	case HedgeTick:
		return h.handleTick(now)
	default:
		return nil
	}
}

func (h *Hedge) startAttempt(attempt int, slot filter.Slot) []HedgeEffect {
	h.Phases[attempt] = HedgeWaiting
	return []HedgeEffect{HedgeStartAttempt{Attempt: attempt, Slot: slot}}
}

func (h *Hedge) handleTick(now time.Time) []HedgeEffect {
	if h.HedgeAt.IsZero() || now.Before(h.HedgeAt) {
		return nil
	}
	h.HedgeAt = time.Time{}
	h.SlotRequested = true
	return []HedgeEffect{HedgeRequestSlot{Avoid: h.FirstEndpoint}}
}

// handleFirstByte adopts the first attempt that responds and cancels the other
// attempt or the pending slot request.
func (h *Hedge) handleFirstByte(attempt int) []HedgeEffect {
	if h.Adopted != noAttempt || h.Phases[attempt] != HedgeWaiting {
		return nil
	}
	h.Adopted, h.HedgeAt = attempt, time.Time{}
	effects := []HedgeEffect{HedgeAdopt{Attempt: attempt}}
	if other := 1 - attempt; h.Phases[other] == HedgeWaiting {
		h.Phases[other] = HedgeLost
		effects = append(effects, HedgeCancelAttempt{Attempt: other})
	}
	if h.SlotRequested {
		effects = append(effects, HedgeCancelSlotRequest{})
	}
	return effects
}

func (h *Hedge) handleSlotGranted(slot filter.Slot) []HedgeEffect {
	h.SlotRequested = false
	if h.Adopted == noAttempt && !h.Finished {
		return h.startAttempt(1, slot)
	}
	return []HedgeEffect{HedgeReleaseSlot{Slot: slot}}
}

func (h *Hedge) handleEnded(message HedgeEnded) []HedgeEffect {
	lost := h.Phases[message.Attempt] == HedgeLost
	h.Phases[message.Attempt] = HedgeDone
	if lost {
		return nil
	}
	h.LastEnded = message.Attempt
	var effects []HedgeEffect
	if !message.Failed {
		// A response without tokens ends without a HedgeFirstByte.
		effects = h.adoptEnded(message.Attempt)
	}
	return append(effects, h.finishIfDone()...)
}

// adoptEnded adopts an attempt that ended with a complete response, unless one
// was adopted before.
func (h *Hedge) adoptEnded(attempt int) []HedgeEffect {
	h.Phases[attempt] = HedgeWaiting
	effects := h.handleFirstByte(attempt)
	h.Phases[attempt] = HedgeDone
	return effects
}

// finishIfDone completes the request if no attempt can respond any more. An
// attempt that fails before the second one is due is left to the retry of the
// request, which uses the same budget.
func (h *Hedge) finishIfDone() []HedgeEffect {
	running := h.Phases[0] == HedgeWaiting || h.Phases[1] == HedgeWaiting
	awaitingSlot := h.SlotRequested && h.Adopted == noAttempt
	if h.Finished || running || awaitingSlot || h.LastEnded == noAttempt {
		return nil
	}
	h.Finished, h.HedgeAt = true, time.Time{}
	if h.Adopted != noAttempt {
		return []HedgeEffect{HedgeFinish{Attempt: h.Adopted}}
	}
	return []HedgeEffect{HedgeFinish{Attempt: h.LastEnded}}
}
