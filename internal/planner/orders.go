package planner

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// adapterTime is the longest usual load of an adapter.
	adapterTime = 10 * time.Millisecond
	// endMargin is added to the estimated end of a load: a request that comes
	// too early is refused and costs a second attempt.
	endMargin = 8 * time.Millisecond
	// refusedPause is the time to the next try of an order that the replica
	// refused, mostly because an unload waits for running requests.
	refusedPause = 25 * time.Millisecond
	// refusedRead is the number of refusals after which the replica's report
	// is read, and unloadRead that number after an unload, which waits for the
	// model's running requests.
	refusedRead = 6
	unloadRead  = 60
	// reportLag is how old a replica's report of itself may be, with a margin.
	reportLag = 400 * time.Millisecond
	// readAgain is the pause between two reads of a replica that does not
	// answer or is busy.
	readAgain = 250 * time.Millisecond
	// overdue is how long after its estimated end a load from the weight store
	// is looked for in the replica's report.
	overdue = 100 * time.Millisecond
)

// orderAt returns when the next order of the queue may be sent.
func (e *Endpoint) orderAt() time.Time {
	if len(e.Queue) == 0 || e.Sending != nil || e.Running != nil || !e.Known {
		return time.Time{}
	}
	return e.RetryAt
}

func (e *Endpoint) endsAt() time.Time {
	if e.Running == nil || !e.Known {
		return time.Time{}
	}
	return e.Running.EndsAt
}

func (e *Endpoint) readAt() time.Time {
	if e.Known || e.Reading {
		return time.Time{}
	}
	return e.ReadAt
}

// send starts the next call to a replica that is due.
func (c *Controller) send(now time.Time, id string, e *Endpoint) []Effect {
	if due := e.readAt(); !due.IsZero() && !now.Before(due) {
		e.Reading = true
		return []Effect{ReadState{Replica: id, Address: e.Listed.Address}}
	}
	if due := e.orderAt(); len(e.Queue) == 0 || e.Sending != nil || e.Running != nil || !e.Known || now.Before(due) || now.Before(c.Tenure.OrdersFrom) {
		return nil
	}
	order := e.Queue[0]
	order.Expected = e.Sequence
	e.Queue = e.Queue[1:]
	if !c.fits(e, order) {
		e.Queue = nil
		return []Effect{note("order dropped: no room", id, order)}
	}
	e.Sending = &order
	c.Tenure.Stale = true
	return []Effect{SendOrder{Replica: id, Address: e.Listed.Address, Order: order, Fence: c.Tenure.Epoch, NotAfter: c.Tenure.Until}}
}

// fits checks an order against what the replica holds at this moment: a plan
// may be older than a change of the replica, and a replica that is ordered to
// hold too much crashes.
func (c *Controller) fits(e *Endpoint, order Order) bool {
	engine := c.engine(e.Listed.Service)
	switch {
	case engine == nil:
		return false
	case !order.Load:
		return e.Models[order.Model] != nil
	case order.Adapter == "":
		_, known := engine.Models[order.Model]
		return known && e.Models[order.Model] == nil && e.used(engine)+sizeOf(engine, order) <= engine.MemoryMB
	}
	resident := e.Models[order.Model]
	if resident == nil || e.adapters() >= engine.AdapterSlots {
		return false
	}
	_, holds := resident.Adapters[order.Adapter]
	return !holds && e.used(engine)+sizeOf(engine, order) <= engine.MemoryMB
}

// orderDone handles the replica's answer to an order.
func (c *Controller) orderDone(now time.Time, message OrderDone) []Effect {
	if c.Tenure == nil {
		return nil
	}
	e := c.Tenure.Endpoints[message.Replica]
	if e == nil || e.Sending == nil || *e.Sending != message.Order {
		return nil
	}
	c.Tenure.Stale = true
	order := *e.Sending
	e.Sending = nil
	switch message.Outcome {
	case Accepted:
		c.accepted(now, e, order)
		return []Effect{note("order accepted", message.Replica, order)}
	case Holding:
		if !order.Load && order.Adapter != "" {
			c.accepted(now, e, order)
			return nil
		}
		e.forget(now.Add(reportLag))
	case Busy:
		e.Refused++
		e.Queue = slices.Insert(e.Queue, 0, order)
		e.RetryAt = now.Add(refusedPause)
		if e.Refused >= refusedRead && !e.Unloading || e.Refused >= unloadRead {
			e.forget(now)
			return []Effect{note("order refused; reading the replica's state", message.Replica, order)}
		}
	case Rejected, Unsent:
		e.forget(now.Add(readAgain))
		return []Effect{note("order rejected: "+string(message.Outcome), message.Replica, order)}
	case Unanswered:
		// The order may be carried out seconds later. It expects the present
		// sequence, so it can only succeed in the state it was planned for.
		e.forget(now.Add(reportLag))
		return []Effect{note("order unanswered", message.Replica, order)}
	}
	return nil
}

func note(text, replica string, order Order) Note {
	model := order.Model
	if order.Adapter != "" {
		model += "/" + order.Adapter
	}
	reason := "unload"
	if order.Load {
		reason = "load"
	}
	return Note{Text: text, Replica: replica, Model: model, Reason: reason}
}

// accepted records that the replica carries out an order.
func (c *Controller) accepted(now time.Time, e *Endpoint, order Order) {
	e.Sequence++
	e.ChangedAt = now
	e.Refused = 0
	e.Unloading = !order.Load && order.Adapter == ""
	switch {
	case !order.Load && order.Adapter != "":
		if resident := e.Models[order.Model]; resident != nil {
			delete(resident.Adapters, order.Adapter)
		}
	case !order.Load:
		// The replica accepts no further order before the unload is complete,
		// so that its memory is free when the next one is accepted.
		delete(e.Models, order.Model)
	case order.Adapter != "":
		e.Running = &Operation{Order: order, EndsAt: now.Add(adapterTime)}
	default:
		tier := e.tier(order.Model)
		took := loadTime(c.engine(e.Listed.Service).Models[order.Model], tier)
		if tier == FromStore {
			took = c.storeLoad(took)
		}
		together := c.storeLoading() + 1
		e.Running = &Operation{Order: order, Tier: tier, EndsAt: now.Add(took + endMargin), StartedAt: now, Together: together}
	}
}

// storeLoad returns the estimated time of a load from the weight store: beyond
// a number of loads at once, each takes longer in proportion.
func (c *Controller) storeLoad(alone time.Duration) time.Duration {
	slow := max(1, float64(c.storeLoading()+1)/float64(c.storePlaces()))
	return time.Duration(float64(alone) * slow)
}

// finish ends the operation of an endpoint when it is over. A load from the
// weight store takes an uncertain time, so that it must show in the list.
func (c *Controller) finish(now time.Time, id string, e *Endpoint) []Effect {
	if e.Running == nil || !e.Known {
		return nil
	}
	operation := *e.Running
	listed := operation.Adapter == "" && e.Listed.Has(operation.Model, "")
	switch {
	case listed:
	case now.Before(operation.EndsAt):
		return nil
	case operation.Tier == FromStore && operation.Adapter == "":
		e.Running.EndsAt = now.Add(overdue)
		if !e.Reading {
			e.Reading = true
			return []Effect{ReadState{Replica: id, Address: e.Listed.Address}}
		}
		return nil
	}
	c.loaded(now, e, operation)
	return []Effect{note("load complete", id, operation.Order)}
}

func (c *Controller) loaded(now time.Time, e *Endpoint, operation Operation) {
	c.Tenure.Stale = true
	e.Running = nil
	if operation.Adapter != "" {
		if resident := e.Models[operation.Model]; resident != nil {
			resident.Adapters[operation.Adapter] = now
		}
		return
	}
	c.learnStore(now, e, operation)
	e.Models[operation.Model] = &Resident{Adapters: map[string]time.Time{}, LoadedAt: now, UsedAt: now}
	if engine := c.engine(e.Listed.Service); engine != nil {
		e.keepCopies(engine, operation.Model)
	}
}

// stateRead handles a replica's report of itself.
func (c *Controller) stateRead(now time.Time, message StateRead) []Effect {
	if c.Tenure == nil {
		return nil
	}
	e := c.Tenure.Endpoints[message.Replica]
	if e == nil {
		return nil
	}
	e.Reading = false
	e.ReadAt = now.Add(readAgain)
	switch {
	case message.Failed, message.Busy && !e.Known, message.State.StartedMS != 0 && message.State.StartedMS != e.Listed.StartedMS:
		return nil
	case e.Known:
		return c.confirmLoad(now, message, e)
	case message.AskedAt.Sub(e.ChangedAt) < reportLag || message.State.Sequence < e.Sequence:
		return nil
	}
	c.Tenure.Stale = true
	e.adopt(now, message.State)
	return []Effect{Note{Text: "replica state read", Replica: message.Replica, Reason: modelNames(message.State)}}
}

// confirmLoad ends a load that the replica's report shows as done.
func (c *Controller) confirmLoad(now time.Time, message StateRead, e *Endpoint) []Effect {
	if e.Running == nil || e.Running.Adapter != "" || message.Busy || message.State.Sequence != e.Sequence {
		return nil
	}
	operation := *e.Running
	if !message.State.Has(operation.Model, "") {
		e.forget(now)
		return []Effect{note("load ended without the model", message.Replica, operation.Order)}
	}
	c.loaded(now, e, operation)
	return []Effect{note("load complete", message.Replica, operation.Order)}
}

func modelNames(replica surveyor.Replica) string {
	names := ""
	for _, loaded := range replica.Models {
		names += " " + loaded.Name
	}
	return names
}
