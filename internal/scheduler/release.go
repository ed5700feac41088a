package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
)

// release gives a slot back, learns from its use, and lets the next requests
// have it. A slot that was given back before is ignored.
func (c *Controller) release(now time.Time, message Release) {
	slot, ok := c.Slots[message.SlotID]
	if !ok {
		return
	}
	delete(c.Slots, slot.ID)
	delete(c.Granted, slot.Call)
	endpoint := slot.Endpoint
	learn(now, slot, message.Result)
	c.use(now, endpoint, -1)
	c.forget(endpoint)
	c.offer(now, endpoint)
}

func learn(now time.Time, slot *Slot, result filter.SlotResult) {
	endpoint := slot.Endpoint
	switch {
	case result.Failed:
		endpoint.failed(now)
	case result.Refused:
		endpoint.refused(now)
	case result.Duration > 0:
		endpoint.Failures = 0
		endpoint.LearntAt = now
		endpoint.Speed = endpoint.Speed.Observe(router.Observation{
			PromptTokens: slot.Work,
			Tokens:       result.Tokens,
			FirstToken:   result.FirstToken,
			Duration:     result.Duration,
			ExpectedWait: slot.Wait,
		})
		endpoint.Locality.RecordServed(slot.Admission.Model, slot.Admission.Prefix)
	}
}
