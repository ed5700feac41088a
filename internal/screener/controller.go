package screener

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// reportTime is the time for which a break is reported again, so that it survives
	// a failed exchange and reaches the next holder.
	reportTime = 3 * time.Second
	// maxBreaks bounds the breaks that are reported.
	maxBreaks = 64
)

// Controller keeps what one node knows about prompts.
type Controller struct {
	// Breaks are the breaks of the last reportTime, with the times in Since.
	Breaks []recordedBreak
	// Suspects holds the published suspects, with the time at which an answer to a
	// request with the part last began at this node.
	Suspects map[string]time.Time
	// Quarantines holds the end of each quarantine. Published are the parts among them
	// that the holder has published.
	Quarantines map[string]time.Time
	Published   map[string]bool
}

type recordedBreak struct {
	AttemptBroke
	at time.Time
}

// NewController returns a controller that knows of no quarantine.
func NewController() *Controller {
	return &Controller{Suspects: map[string]time.Time{}, Quarantines: map[string]time.Time{}}
}

// Wake returns when the next quarantine ends.
func (c *Controller) Wake() time.Time {
	var wake time.Time
	for _, until := range c.Quarantines {
		if wake.IsZero() || until.Before(wake) {
			wake = until
		}
	}
	return wake
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case Tick:
		return c.endQuarantines(now)
	case AttemptBroke:
		c.Breaks = append(c.Breaks, recordedBreak{message, now})
		c.Breaks = c.Breaks[max(0, len(c.Breaks)-maxBreaks):]
	case AnswerBegun:
		for _, part := range message.Parts {
			if _, ok := c.Suspects[part]; ok {
				c.Suspects[part] = now
			}
		}
	case StateReceived:
		return c.applyState(now, message.Published)
	case Collect:
		return []Effect{c.collect(now, message.Call)}
	}
	return nil
}

// endQuarantines removes the quarantines that have ended.
func (c *Controller) endQuarantines(now time.Time) []Effect {
	var effects []Effect
	for _, part := range slices.Sorted(maps.Keys(c.Quarantines)) {
		if !now.Before(c.Quarantines[part]) {
			delete(c.Quarantines, part)
			effects = append(effects, Note{Text: "quarantine of a prompt part ended", Part: part})
		}
	}
	if effects == nil {
		return nil
	}
	return append(effects, c.view())
}

// applyState adopts the suspects and adds the quarantines that the holder has
// published. A holder that has just started publishes no quarantines yet, so those
// that are missing stay in force.
func (c *Controller) applyState(now time.Time, published Published) []Effect {
	changed := len(published.Suspects) != len(c.Suspects)
	suspects := make(map[string]time.Time, len(published.Suspects))
	for _, part := range published.Suspects {
		begunAt, ok := c.Suspects[part]
		changed = changed || !ok
		suspects[part] = begunAt
	}
	c.Suspects = suspects
	c.Published = make(map[string]bool, len(published.Quarantines))
	var effects []Effect
	for _, quarantine := range published.Quarantines {
		c.Published[quarantine.Part] = true
		until := now.Add(quarantine.Remaining)
		if _, ok := c.Quarantines[quarantine.Part]; !ok {
			effects = append(effects, Note{"prompt part quarantined", quarantine.Part, quarantine.Remaining})
			c.Quarantines[quarantine.Part], changed = until, true
		}
	}
	if changed {
		effects = append(effects, c.view())
	}
	return effects
}

func (c *Controller) view() Publish {
	view := &View{Suspects: make(map[string]bool, len(c.Suspects)), Quarantines: maps.Clone(c.Quarantines)}
	for part := range c.Suspects {
		view.Suspects[part] = true
	}
	return Publish{view}
}

// collect returns the node's report.
func (c *Controller) collect(now time.Time, call runner.Call) AnswerCollect {
	c.Breaks = slices.DeleteFunc(c.Breaks, func(broken recordedBreak) bool { return now.Sub(broken.at) > reportTime })
	var report Report
	for _, broken := range c.Breaks {
		report.Breaks = append(report.Breaks, Break{
			Request: broken.Request, Replica: broken.Replica, Parts: broken.Parts,
			HeadReceived: broken.HeadReceived, SentAge: now.Sub(broken.SentAt), Age: now.Sub(broken.at),
		})
	}
	for _, part := range slices.Sorted(maps.Keys(c.Suspects)) {
		if begunAt := c.Suspects[part]; !begunAt.IsZero() {
			report.Begun = append(report.Begun, Begun{part, now.Sub(begunAt)})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(c.Quarantines)) {
		if !c.Published[part] {
			report.Quarantines = append(report.Quarantines, Quarantine{part, c.Quarantines[part].Sub(now)})
		}
	}
	return AnswerCollect{call, report}
}
