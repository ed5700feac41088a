package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// burstWindow determines the burst of a rate limit: the number of calls that the
// rate allows in this time, at least 1.
const burstWindow = 100 * time.Millisecond

// PlatformController is the state machine of a platform stand-in.
type PlatformController struct {
	Settings PlatformSettings
	Faults   PlatformFaults
	Calls    PlatformCalls
	Objects  map[storer.ID]PlatformObject
	// LastVersion is the version of the latest write to any object. All objects
	// share it, so that an object created again after a deletion gets a higher
	// version than before.
	LastVersion uint64
	// Era counts the restorations from Copy.
	Era  uint64
	Copy PlatformCopy
	// Watches holds the pending watches of objects and of the instance list.
	Watches map[runner.Call]PendingWatch
	// SilentConnections holds every known connection and whether it is silent.
	SilentConnections map[string]bool
	// UnansweredCalls maps the calls that get no answer to their connections.
	UnansweredCalls map[runner.Call]string
	List            InstanceRegistry
	Store           WeightStore

	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// PendingWatch is a watch that waits for a change.
type PendingWatch struct {
	Origin
	// Instances means that the instance list is watched, not the object ID.
	Instances bool
	ID        storer.ID
	After     uint64
	Until     time.Time
}

// NewPlatformController returns a controller without objects and instances.
func NewPlatformController(settings PlatformSettings) *PlatformController {
	return &PlatformController{
		Settings:          settings,
		Objects:           map[storer.ID]PlatformObject{},
		Watches:           map[runner.Call]PendingWatch{},
		SilentConnections: map[string]bool{},
		UnansweredCalls:   map[runner.Call]string{},
		List:              InstanceRegistry{Visible: map[string]tracker.Instance{}},
		Store:             NewWeightStore(settings),
		readLimiter:       newLimiter(settings.ReadsPerSecond),
		writeLimiter:      newLimiter(settings.WritesPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstWindow.Seconds())))
}

// Wake implements runner.Controller. It returns when the next watch, list change
// or transfer is due.
func (p *PlatformController) Wake() time.Time {
	wake := earlier(p.List.Wake(), p.Store.Wake())
	for _, watch := range p.Watches {
		if !p.isSilent(watch.Origin) {
			wake = earlier(wake, watch.Until)
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Step implements runner.Controller.
func (p *PlatformController) Step(now time.Time, message PlatformMessage) []AnswerPlatformCall {
	effects := p.advance(now)
	switch message := message.(type) {
	case GetObject:
		p.Calls.Get++
		return append(effects, p.read(now, message.Origin, func() PlatformAnswer { return p.get(message.ID) })...)
	case ListObjects:
		p.Calls.List++
		return append(effects, p.read(now, message.Origin, func() PlatformAnswer { return p.list(message) })...)
	case WatchObject:
		p.Calls.Watch++
		return append(effects, p.watch(now, PendingWatch{
			Origin: message.Origin, ID: message.ID, After: message.After, Until: now.Add(message.Wait),
		})...)
	case WatchInstances:
		p.Calls.Instances++
		return append(effects, p.watch(now, PendingWatch{
			Origin: message.Origin, Instances: true, After: message.After, Until: now.Add(message.Wait),
		})...)
	case PutObject:
		p.Calls.Put++
		return append(effects, p.write(now, message.Origin, func() PlatformAnswer { return p.put(message) })...)
	case DeleteObject:
		p.Calls.Delete++
		return append(effects, p.write(now, message.Origin, func() PlatformAnswer { return p.delete(message) })...)
	case TransferWeights:
		p.Calls.Transfers++
		return append(effects, p.startTransfer(now, message)...)
	case CancelPlatformCall:
		p.cancel(now, message.Call)
		return effects
	default:
		return append(effects, p.handleControl(now, message)...)
	}
}

// cancel removes a call whose caller has disconnected. It also removes the
// state of the closed connection, because a new one may have the same address.
func (p *PlatformController) cancel(now time.Time, call runner.Call) {
	delete(p.SilentConnections, p.UnansweredCalls[call])
	delete(p.SilentConnections, p.Watches[call].Connection)
	delete(p.UnansweredCalls, call)
	delete(p.Watches, call)
	p.Store.Cancel(now, call)
}

// handleControl handles the calls by which tests and scripts control the
// stand-in. Faults do not apply to them.
func (p *PlatformController) handleControl(now time.Time, message PlatformMessage) []AnswerPlatformCall {
	switch message := message.(type) {
	case SetInstance:
		p.List.Set(now.Add(p.listLag()), message.Instance)
		return append(p.advance(now), immediateAnswer(message.Origin, CallDone{}))
	case RemoveInstance:
		p.List.Remove(now.Add(p.listLag()), message.Name)
		return append(p.advance(now), immediateAnswer(message.Origin, CallDone{}))
	case SetPlatformFaults:
		p.setFaults(now, message.Faults)
		return append(p.advance(now), immediateAnswer(message.Origin, CallDone{}))
	case CopyPlatform:
		p.Copy = p.copyState()
		return []AnswerPlatformCall{immediateAnswer(message.Origin, CallDone{})}
	case RestorePlatform:
		p.restore()
		return append(p.advance(now), immediateAnswer(message.Origin, CallDone{}))
	case GetPlatformFaults:
		return []AnswerPlatformCall{immediateAnswer(message.Origin, FaultsInForce{p.Faults})}
	case GetPlatformCalls:
		return []AnswerPlatformCall{immediateAnswer(message.Origin, CallsCounted{p.Calls})}
	}
	return nil
}

func (p *PlatformController) setFaults(now time.Time, faults PlatformFaults) {
	if faults.SilenceOpen {
		for connection := range p.SilentConnections {
			p.SilentConnections[connection] = true
		}
	}
	if faults.Silent {
		for _, watch := range p.Watches {
			p.SilentConnections[watch.Connection] = true
		}
	}
	p.Faults = faults
	p.Store.SetSlowdown(now, faults.StoreSlowdown)
}

func (p *PlatformController) listLag() time.Duration {
	return p.Settings.ListLag + p.Faults.ListLag
}

// advance applies the list changes that are due at now, and answers the
// completed transfers and watches.
func (p *PlatformController) advance(now time.Time) []AnswerPlatformCall {
	p.List.Advance(now)
	var effects []AnswerPlatformCall
	for _, call := range p.Store.Advance(now) {
		effects = append(effects, AnswerPlatformCall{Call: call, Answer: WeightsTransferred{}})
	}
	for _, call := range slices.Sorted(maps.Keys(p.Watches)) {
		watch := p.Watches[call]
		if answer := p.watchAnswer(now, watch); answer != nil && !p.isSilent(watch.Origin) {
			delete(p.Watches, call)
			effects = append(effects, p.delayedAnswer(watch.Origin, answer))
		}
	}
	return effects
}

// watchAnswer returns the answer to a watch, or nil if the watch stays pending.
func (p *PlatformController) watchAnswer(now time.Time, watch PendingWatch) PlatformAnswer {
	object, exists := p.Objects[watch.ID]
	switch {
	case p.Faults.Outage:
		p.Calls.Unavailable++
		return CallUnavailable{}
	case watch.Instances && p.List.Version > watch.After:
		return InstancesFound{p.List.Snapshot()}
	case !watch.Instances && exists && object.Version > watch.After:
		return ObjectFound{object}
	case !now.Before(watch.Until):
		return ObjectUnchanged{}
	}
	return nil
}

// admit reports whether a call is processed. If not, the effects hold its
// refusal, or nothing if the call gets no answer.
func (p *PlatformController) admit(now time.Time, origin Origin, limiter *rate.Limiter) (bool, []AnswerPlatformCall) {
	if _, known := p.SilentConnections[origin.Connection]; !known {
		p.SilentConnections[origin.Connection] = false
	}
	switch {
	case p.isSilent(origin):
		p.UnansweredCalls[origin.Call] = origin.Connection
		return false, nil
	case p.Faults.Outage:
		p.Calls.Unavailable++
		return false, []AnswerPlatformCall{p.delayedAnswer(origin, CallUnavailable{})}
	case !limiter.AllowN(now, 1):
		p.Calls.Throttled++
		return false, []AnswerPlatformCall{p.delayedAnswer(origin, CallThrottled{})}
	}
	return true, nil
}

func (p *PlatformController) isSilent(origin Origin) bool {
	return p.Faults.Silent || p.SilentConnections[origin.Connection]
}

func (p *PlatformController) read(now time.Time, origin Origin, query func() PlatformAnswer) []AnswerPlatformCall {
	admitted, refusal := p.admit(now, origin, p.readLimiter)
	if !admitted {
		return refusal
	}
	return []AnswerPlatformCall{p.delayedAnswer(origin, query())}
}

func (p *PlatformController) watch(now time.Time, watch PendingWatch) []AnswerPlatformCall {
	admitted, refusal := p.admit(now, watch.Origin, p.readLimiter)
	if !admitted {
		return refusal
	}
	if answer := p.watchAnswer(now, watch); answer != nil {
		return []AnswerPlatformCall{p.delayedAnswer(watch.Origin, answer)}
	}
	p.Watches[watch.Call] = watch
	return nil
}

func (p *PlatformController) write(now time.Time, origin Origin, change func() PlatformAnswer) []AnswerPlatformCall {
	if p.Faults.LoseReplies > 0 && !p.Faults.Outage {
		return p.loseReply(now, origin, change)
	}
	admitted, refusal := p.admit(now, origin, p.writeLimiter)
	if !admitted {
		return refusal
	}
	answer := p.delayedAnswer(origin, change())
	return append(p.advance(now), answer)
}

func (p *PlatformController) loseReply(now time.Time, origin Origin, change func() PlatformAnswer) []AnswerPlatformCall {
	p.Faults.LoseReplies--
	change()
	if p.isSilent(origin) {
		p.UnansweredCalls[origin.Call] = origin.Connection
		return p.advance(now)
	}
	return append(p.advance(now), p.delayedAnswer(origin, ReplyLost{}))
}

func (p *PlatformController) startTransfer(now time.Time, message TransferWeights) []AnswerPlatformCall {
	if !p.Store.Start(now, message.Call, message.MB) {
		p.Calls.Throttled++
		return []AnswerPlatformCall{immediateAnswer(message.Origin, CallThrottled{})}
	}
	return p.advance(now)
}

func (p *PlatformController) delayedAnswer(origin Origin, answer PlatformAnswer) AnswerPlatformCall {
	return AnswerPlatformCall{origin.Call, p.Settings.Latency + p.Faults.Latency, answer, p.Era}
}

func immediateAnswer(origin Origin, answer PlatformAnswer) AnswerPlatformCall {
	return AnswerPlatformCall{Call: origin.Call, Answer: answer}
}

func (p *PlatformController) get(id storer.ID) PlatformAnswer {
	object, exists := p.Objects[id]
	if !exists {
		return ObjectMissing{}
	}
	return ObjectFound{object}
}

func (p *PlatformController) list(message ListObjects) PlatformAnswer {
	found := []PlatformObject{}
	for id, object := range p.Objects {
		if id.Kind == message.Kind && strings.HasPrefix(id.Name, message.Prefix) {
			found = append(found, PlatformObject{ID: id, Version: object.Version})
		}
	}
	slices.SortFunc(found, func(a, b PlatformObject) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	return ObjectsFound{found}
}

func (p *PlatformController) put(message PutObject) PlatformAnswer {
	current := p.Objects[message.ID].Version
	switch {
	case len(message.Value) > storer.MaxValueBytes:
		return ObjectTooLarge{}
	case current != message.IfVersion:
		return ObjectConflict{current}
	}
	p.LastVersion++
	p.Objects[message.ID] = PlatformObject{message.ID, p.LastVersion, message.Value}
	return ObjectWritten{p.LastVersion}
}

func (p *PlatformController) delete(message DeleteObject) PlatformAnswer {
	current, exists := p.Objects[message.ID]
	switch {
	case !exists:
		return ObjectMissing{}
	case current.Version != message.IfVersion:
		return ObjectConflict{current.Version}
	}
	p.LastVersion++
	delete(p.Objects, message.ID)
	return CallDone{}
}
