package screener

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// reportTime is the time for which a break is reported again, so that it survives
	// a failed exchange.
	reportTime = 3 * time.Second
	// keepTime is the time for which a break is kept for a new holder, which has no
	// evidence yet.
	keepTime = 30 * time.Second
	// maxBreaks bounds the breaks that are kept, and maxReported those in a report.
	maxBreaks   = 256
	maxReported = 64
	// holdTime is the time for which a published hold is in force without news. It covers
	// the loss of a holder.
	holdTime = 2 * time.Second
	// minRestartTime is the minimum time in which a replica that has crashed answers again.
	// An answer within that time comes from the process that broke off the attempt.
	minRestartTime = time.Second
)

// Controller keeps what one node knows about requests that crash replicas.
type Controller struct {
	// Node is the name of this node, by which the holder names the one that sends a held
	// request.
	Node string
	// Breaks are the breaks of the last keepTime.
	Breaks []recordedBreak
	// BrokenAt holds the last break of each replica that broke off attempts within the
	// last reportTime, and RunningAt when such a replica answered again.
	BrokenAt, RunningAt map[Process]time.Time
	// Suspects holds the published suspects, with the time at which an answer to a
	// request with the trait last began at this node.
	Suspects map[Trait]time.Time
	// Quarantines holds the end of each quarantine. Published are the traits among them
	// that the holder has published.
	Quarantines map[Trait]time.Time
	Published   map[Trait]bool
	// RestoredQuarantines are those that this node has from the platform's store. What the
	// holder publishes about them is newer. RestoredSuspects are the requests that the store
	// lists as suspect, until the holder decides about them.
	RestoredQuarantines map[Trait]bool
	RestoredSuspects    map[Trait]*restoredSuspect
	// Held are the published suspects that are refused until HeldUntil.
	Held      []Hold
	HeldUntil time.Time
	// Tenure is that of the last published state.
	Tenure uint64
}

type recordedBreak struct {
	AttemptBroke
	at, reportUntil time.Time
}

// NewController returns a controller of a node that knows of no quarantine.
func NewController(node string) *Controller {
	return &Controller{
		Node:        node,
		BrokenAt:    map[Process]time.Time{},
		RunningAt:   map[Process]time.Time{},
		Suspects:    map[Trait]time.Time{},
		Quarantines: map[Trait]time.Time{},

		RestoredQuarantines: map[Trait]bool{},
		RestoredSuspects:    map[Trait]*restoredSuspect{},
	}
}

// Wake returns when the next quarantine or hold from the store ends.
func (c *Controller) Wake() time.Time {
	var wake time.Time
	for _, suspect := range c.RestoredSuspects {
		if wake.IsZero() || suspect.Until.Before(wake) {
			wake = suspect.Until
		}
	}
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
		return c.recordBreak(now, message)
	case AnswerBegun:
		c.recordBegun(now, message)
	case StateReceived:
		return c.applyState(now, message)
	case RecordsRead:
		return c.restore(now, message.Records)
	case Collect:
		effects := c.expireReplicas(now)
		return append(effects, c.collect(now, message.Call))
	}
	return nil
}

func (c *Controller) recordBreak(now time.Time, broken AttemptBroke) []Effect {
	c.Breaks = append(c.Breaks, recordedBreak{broken, now, now.Add(reportTime)})
	c.Breaks = c.Breaks[max(0, len(c.Breaks)-maxBreaks):]
	_, known := c.BrokenAt[broken.Replica]
	c.BrokenAt[broken.Replica] = now
	if known {
		return nil
	}
	return []Effect{c.view()}
}

func (c *Controller) recordBegun(now time.Time, begun AnswerBegun) {
	for _, trait := range begun.Traits {
		if _, ok := c.Suspects[trait]; ok {
			c.Suspects[trait] = now
			delete(c.RestoredSuspects, trait)
		}
	}
	if brokenAt, ok := c.BrokenAt[begun.Replica]; ok && begun.SentAt.After(brokenAt) && now.Sub(brokenAt) < minRestartTime {
		c.RunningAt[begun.Replica] = now
	}
}

// endQuarantines removes the quarantines that have ended.
func (c *Controller) endQuarantines(now time.Time) []Effect {
	released := c.reviewSuspects(now, false, Published{})
	var effects []Effect
	for _, trait := range slices.Sorted(maps.Keys(c.Quarantines)) {
		if !now.Before(c.Quarantines[trait]) {
			delete(c.Quarantines, trait)
			delete(c.RestoredQuarantines, trait)
			effects = append(effects, Note{Text: noteText(trait, "quarantine of a request ended", "quarantine of a prompt part ended"), Trait: trait})
		}
	}
	if effects == nil && !released {
		return nil
	}
	return append(effects, c.view())
}

// applyState adopts the suspects and adds the quarantines that the holder has
// published. A holder that has just started publishes no quarantines yet, so those
// that are missing stay in force, and it gets all breaks that are kept.
func (c *Controller) applyState(now time.Time, message StateReceived) []Effect {
	newTenure := message.Tenure != c.Tenure
	if newTenure {
		c.Tenure = message.Tenure
		for i := range c.Breaks {
			c.Breaks[i].reportUntil = now.Add(reportTime)
		}
	}
	published := message.Published
	changed := len(published.Suspects) != len(c.Suspects)
	suspects := make(map[Trait]time.Time, len(published.Suspects))
	for _, trait := range published.Suspects {
		begunAt, ok := c.Suspects[trait]
		changed = changed || !ok
		suspects[trait] = begunAt
	}
	c.Suspects = suspects
	changed = c.reviewSuspects(now, newTenure, published) || changed || len(published.Held) > 0 || len(c.Held) > 0
	c.Held, c.HeldUntil = published.Held, now.Add(holdTime)
	c.Published = make(map[Trait]bool, len(published.Quarantines))
	var effects []Effect
	for _, quarantine := range published.Quarantines {
		c.Published[quarantine.Trait] = true
		until := now.Add(quarantine.Remaining)
		if c.RestoredQuarantines[quarantine.Trait] {
			delete(c.RestoredQuarantines, quarantine.Trait)
			c.Quarantines[quarantine.Trait], changed = until, true
		}
		if _, ok := c.Quarantines[quarantine.Trait]; !ok {
			text := noteText(quarantine.Trait, "request quarantined", "prompt part quarantined")
			effects = append(effects, Note{text, quarantine.Trait, quarantine.Remaining})
			c.Quarantines[quarantine.Trait], changed = until, true
		}
	}
	if changed {
		effects = append(effects, c.view())
	}
	return effects
}

// noteText returns the text of a note by the kind of the trait.
func noteText(trait Trait, request, part string) string {
	if isRequestTrait(trait) {
		return request
	}
	return part
}

func (c *Controller) view() Publish {
	view := &View{
		Suspects:    make(map[Trait]bool, len(c.Suspects)),
		Quarantines: maps.Clone(c.Quarantines),
		Broken:      make(map[Process]bool, len(c.BrokenAt)),
	}
	if len(c.Held) > 0 {
		view.HeldUntil, view.Held = c.HeldUntil, map[Trait]bool{}
	}
	for trait, suspect := range c.RestoredSuspects {
		if suspect.Released {
			continue
		}
		if view.Restored == nil {
			view.Restored = map[Trait]time.Time{}
		}
		view.Restored[trait], view.ScreensRequests = suspect.Until, true
	}
	for _, hold := range c.Held {
		view.Held[hold.Trait] = hold.Prober == c.Node
		view.ScreensRequests = true
	}
	for trait := range c.Suspects {
		view.Suspects[trait] = true
		view.ScreensRequests = view.ScreensRequests || isRequestTrait(trait)
	}
	for trait := range c.Quarantines {
		view.ScreensRequests = view.ScreensRequests || isRequestTrait(trait)
	}
	for replica := range c.BrokenAt {
		view.Broken[replica] = true
	}
	return Publish{view}
}

// expireReplicas forgets the replicas that broke off attempts longer ago than reportTime.
func (c *Controller) expireReplicas(now time.Time) []Effect {
	old := func(_ Process, at time.Time) bool { return now.Sub(at) > reportTime }
	maps.DeleteFunc(c.RunningAt, old)
	before := len(c.BrokenAt)
	if maps.DeleteFunc(c.BrokenAt, old); len(c.BrokenAt) == before {
		return nil
	}
	return []Effect{c.view()}
}

// collect returns the node's report.
func (c *Controller) collect(now time.Time, call runner.Call) AnswerCollect {
	c.Breaks = slices.DeleteFunc(c.Breaks, func(broken recordedBreak) bool { return now.Sub(broken.at) > keepTime })
	report := Report{Breaks: c.reportSuspects(now)}
	for _, broken := range c.Breaks {
		if now.After(broken.reportUntil) {
			continue
		}
		report.Breaks = append(report.Breaks, Break{
			Request: broken.Request, Fingerprint: broken.Fingerprint, Service: broken.Service, Replica: broken.Replica, Parts: broken.Parts,
			HeadReceived: broken.HeadReceived, SentAge: now.Sub(broken.SentAt), Age: now.Sub(broken.at),
		})
	}
	report.Breaks = report.Breaks[max(0, len(report.Breaks)-maxReported):]
	for _, trait := range slices.Sorted(maps.Keys(c.Suspects)) {
		if begunAt := c.Suspects[trait]; !begunAt.IsZero() {
			report.Begun = append(report.Begun, Begun{trait, now.Sub(begunAt)})
		}
	}
	for _, replica := range slices.SortedFunc(maps.Keys(c.RunningAt), compareProcesses) {
		report.Running = append(report.Running, Running{replica, now.Sub(c.RunningAt[replica])})
	}
	for _, trait := range slices.Sorted(maps.Keys(c.Quarantines)) {
		// Before the first state it is not known for how long the holder keeps a quarantine that
		// this node has from the store. The store's time would prolong it with each restart.
		if !c.Published[trait] && (c.Published != nil || !c.RestoredQuarantines[trait]) {
			report.Quarantines = append(report.Quarantines, Quarantine{trait, c.Quarantines[trait].Sub(now)})
		}
	}
	return AnswerCollect{call, report}
}
