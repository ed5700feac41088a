package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
)

// release releases a slot, records the result of its use, and assigns it to
// waiting requests. It ignores a slot that was already released.
func (c *Controller) release(now time.Time, message Release) {
	slot, ok := c.Slots[message.SlotID]
	if !ok {
		return
	}
	delete(c.Slots, slot.ID)
	delete(c.SlotByCall, slot.Call)
	endpoint := slot.Endpoint
	recordResult(now, slot, message.Result)
	c.adjustInUse(now, endpoint, -1)
	c.deleteIfUnused(endpoint)
	c.assignFreeSlots(now, endpoint)
}

func recordResult(now time.Time, slot *Slot, result filter.SlotResult) {
	endpoint := slot.Endpoint
	switch {
	case result.Failed:
		endpoint.recordFailure(now)
	case result.Refused:
		endpoint.recordRefusal(now)
	case result.Duration > 0:
		endpoint.Failures = 0
		endpoint.SpeedObservedAt = now
		endpoint.Speed = endpoint.Speed.Observe(router.Observation{
			PromptTokens: slot.ComputedPromptTokens,
			Tokens:       result.Tokens,
			FirstToken:   result.FirstToken,
			Duration:     result.Duration,
			ExpectedWait: slot.ExpectedWait,
		})
		endpoint.PrefixCache.RecordServed(slot.Admission.Model, slot.Admission.Prefix)
	}
}
