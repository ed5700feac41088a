package resumer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// find answers a question from what this node knows, or asks the keepers of the stream.
func (c *Controller) find(now time.Time, message Find) []Effect {
	if known, ok := c.Streams[message.Stream]; ok {
		return []Effect{AnswerFind{message.Call, Found{Origin: known.origin, Known: true}}}
	}
	if origin, ok := c.soleOrigin(now, message.Services); ok {
		return []Effect{AnswerFind{message.Call, Found{Origin: origin, Known: true}}}
	}
	waiting := &find{Find: message, since: now}
	c.Finds[message.Call] = waiting
	if !c.HasState {
		return nil
	}
	return c.askKeepers(now, waiting)
}

// soleOrigin returns the only origin that a stream on a route to the given services can
// have, and false if there may be more than one.
func (c *Controller) soleOrigin(now time.Time, services []string) (Origin, bool) {
	if !c.isStateCurrent(now) {
		return Origin{}, false
	}
	var origins []Origin
	for _, service := range c.State.Published.Services {
		if !slices.Contains(services, service.Name) {
			continue
		}
		for _, version := range service.Versions {
			// The list was current before the state was received, so counting from there
			// ends early.
			if now.Sub(c.State.ListedAt) >= version.MayBeginIn {
				origins = append(origins, Origin{service.Name, version.Name})
			}
		}
	}
	if len(origins) != 1 {
		return Origin{}, false
	}
	return origins[0], true
}

func (c *Controller) askKeepers(now time.Time, waiting *find) []Effect {
	var effects []Effect
	if waiting.Stream != "" {
		for _, address := range c.keepers(waiting.Stream, askedKeepers) {
			effects = append(effects, AskKeeper{waiting.Call, address, waiting.Stream})
		}
	}
	if waiting.asked = len(effects); waiting.asked == 0 {
		return c.endUnknown(now, waiting)
	}
	return effects
}

// The reasons why the assignments do not show the origin of a stream.
const (
	stateTooOld        = "the state of the holder is too old"
	keepersUnknown     = "the holder does not know all nodes"
	versionsIncomplete = "the holder does not know all versions"
	notAllAssign       = "some nodes begin streams that are not assigned"
	severalServices    = "the route leads to several services"
	noStream           = "the caller does not name the stream"
	notAssigned        = "the streams of the model are not assigned"
	assignedOtherwise  = "the streams of the model were assigned otherwise shortly before"
)

// assignedOrigin returns the origin of a stream that no keeper knows, from the assignments, or
// why these do not show it. Only streams that began although no replica of their version could
// serve them have another one, which their keepers know.
func (c *Controller) assignedOrigin(now time.Time, waiting *find) (origin Origin, why string) {
	switch {
	case !c.HasState || now.Sub(c.State.ListedAt) > c.State.Published.ViewLifetime:
		return Origin{}, stateTooOld
	case !c.State.Published.Complete:
		return Origin{}, versionsIncomplete
	case !c.State.Published.Assigned:
		return Origin{}, notAllAssign
	case len(waiting.Services) != 1:
		return Origin{}, severalServices
	case waiting.Stream == "":
		return Origin{}, noStream
	}
	service := waiting.Services[0]
	assignment, ok := c.Assignments[ModelKey{service, waiting.Model, waiting.Adapter}]
	if !ok {
		return Origin{}, notAssigned
	}
	version, ok := assignment.origin(waiting.Key)
	if !ok {
		return Origin{}, assignedOtherwise
	}
	return Origin{service, version}, ""
}

// isStateCurrent reports whether the state of the holder proves which versions have begun
// streams.
func (c *Controller) isStateCurrent(now time.Time) bool {
	return c.HasState && c.State.Published.Complete && now.Sub(c.State.ListedAt) <= c.State.Published.ViewLifetime
}

// askWaiting handles the questions that waited for a state or for more keepers.
func (c *Controller) askWaiting(now time.Time) []Effect {
	var effects []Effect
	for _, call := range c.sortedFinds() {
		waiting := c.Finds[call]
		if waiting.asked > 0 {
			continue
		}
		if origin, ok := c.soleOrigin(now, waiting.Services); ok {
			effects = append(effects, c.end(call, Found{Origin: origin, Known: true})...)
			continue
		}
		effects = append(effects, c.askKeepers(now, waiting)...)
	}
	return effects
}

// endFinds gives up the questions that have waited too long for a state.
func (c *Controller) endFinds(now time.Time) []Effect {
	var effects []Effect
	for _, call := range c.sortedFinds() {
		if waiting := c.Finds[call]; waiting.asked == 0 && now.Sub(waiting.since) >= maxStateWait {
			effects = append(effects, c.end(call, Found{Unreachable: true, Why: cmp.Or(waiting.why, stateTooOld)})...)
		}
	}
	return effects
}

func (c *Controller) sortedFinds() []runner.Call {
	calls := make([]runner.Call, 0, len(c.Finds))
	for call := range c.Finds {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	return calls
}

// applyAnswer handles the answer of a keeper. The first one that knows the stream counts.
func (c *Controller) applyAnswer(now time.Time, message KeeperAnswered) []Effect {
	waiting := c.Finds[message.Find]
	if waiting == nil {
		return nil
	}
	if message.Known {
		c.remember(waiting.Stream, stream{origin: message.Origin, at: now})
		return c.end(message.Find, Found{Origin: message.Origin, Known: true})
	}
	waiting.unreachable = waiting.unreachable || message.Failed
	if waiting.asked--; waiting.asked > 0 {
		return nil
	}
	return c.endUnknown(now, waiting)
}

// endUnknown ends a question to which no keeper has the answer. While there may be other keepers,
// it waits for a state that names them.
func (c *Controller) endUnknown(now time.Time, waiting *find) []Effect {
	if c.State.Published.KeepersUnknown && waiting.Stream != "" {
		waiting.why, waiting.unreachable = keepersUnknown, false
		return nil
	}
	origin, why := c.assignedOrigin(now, waiting)
	if why != "" {
		return c.end(waiting.Call, Found{Unreachable: waiting.unreachable, Why: why})
	}
	c.remember(waiting.Stream, stream{origin: origin, at: now})
	return c.end(waiting.Call, Found{Origin: origin, Known: true, Assigned: true})
}

func (c *Controller) end(call runner.Call, found Found) []Effect {
	delete(c.Finds, call)
	return []Effect{AnswerFind{call, found}}
}
