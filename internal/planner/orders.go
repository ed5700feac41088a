package planner

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// adapterLoadTime is an upper estimate of the duration of an adapter load.
	adapterLoadTime = 10 * time.Millisecond
	// loadEndMargin is added to the estimated end of a load, because a request
	// that arrives too early is refused and costs a second attempt.
	loadEndMargin = 8 * time.Millisecond
	// refusalRetryDelay is the delay before a refused order is sent again. The
	// replica usually refuses it because an unload waits for running requests.
	refusalRetryDelay = 25 * time.Millisecond
	// refusalsBeforeRead is the number of consecutive refusals after which the
	// replica's report is read. unloadRefusalsBeforeRead replaces it after an
	// unload, which waits for the model's running requests.
	refusalsBeforeRead       = 6
	unloadRefusalsBeforeRead = 60
	// maxReportAge is the maximum age of a replica's report of itself, with a
	// margin.
	maxReportAge = 400 * time.Millisecond
	// readRetryInterval is the interval between state reads of a replica that
	// does not answer or is busy.
	readRetryInterval = 250 * time.Millisecond
	// storeLoadRecheckInterval is the interval at which the replica's report is
	// read while a load from the weight store is past its estimated end.
	storeLoadRecheckInterval = 100 * time.Millisecond
)

// nextOrderAt returns when the next queued order may be sent. It is zero if no
// order can be sent at present or if no retry delay applies.
func (e *Endpoint) nextOrderAt() time.Time {
	if len(e.Queue) == 0 || e.Sending != nil || e.Running != nil || !e.Synced {
		return time.Time{}
	}
	return e.RetryAt
}

func (e *Endpoint) operationEndsAt() time.Time {
	if e.Running == nil || !e.Synced {
		return time.Time{}
	}
	return e.Running.EndsAt
}

func (e *Endpoint) nextReadAt() time.Time {
	if e.Synced || e.Reading || e.Evacuated {
		return time.Time{}
	}
	return e.ReadAt
}

// sendNext starts the next state read or order of an endpoint if one is due. While orders are
// suspended, only states are read.
func (c *Controller) sendNext(now time.Time, id string, e *Endpoint, suspended bool) []Effect {
	if e.Evacuated && len(e.Queue) > 0 {
		e.Queue, c.Tenure.TableStale = nil, true
		return []Effect{Note{Text: "orders dropped: data centre evacuated", Replica: id}}
	}
	if due := e.nextReadAt(); !due.IsZero() && !now.Before(due) {
		e.Reading = true
		return []Effect{ReadState{Replica: id, Address: e.Entry.Address}}
	}
	if suspended {
		return nil
	}
	if due := e.nextOrderAt(); len(e.Queue) == 0 || e.Sending != nil || e.Running != nil || !e.Synced || now.Before(due) || now.Before(c.Tenure.OrdersAllowedAt) {
		return nil
	}
	order := e.Queue[0]
	order.ExpectedSequence = e.Sequence
	e.Queue = e.Queue[1:]
	if !c.fits(e, order) {
		e.Queue = nil
		return []Effect{orderNote("order dropped: no room", id, order)}
	}
	e.Sending, e.SendingSize = &order, listedSize(c.engine(e.Entry.Service), order.Model)
	c.Tenure.TableStale = true
	return []Effect{SendOrder{Replica: id, Address: e.Entry.Address, Order: order, Fence: c.Tenure.Epoch, NotAfter: c.Tenure.Until}}
}

// fits reports whether an order is valid for the replica's present state. The
// state may have changed since the order was planned, and a replica that is
// ordered to exceed its memory crashes.
func (c *Controller) fits(e *Endpoint, order Order) bool {
	engine := c.engine(e.Entry.Service)
	switch {
	case engine == nil:
		return false
	case !order.Load:
		return e.Models[order.Model] != nil
	case order.Adapter == "":
		_, known := engine.Models[order.Model]
		return known && e.Models[order.Model] == nil && e.memoryUsed(engine)+orderMemory(listedSize(engine, order.Model), order) <= engine.MemoryMB
	}
	resident := e.Models[order.Model]
	if resident == nil || e.adapterCount() >= engine.AdapterSlots {
		return false
	}
	_, holds := resident.Adapters[order.Adapter]
	return !holds && e.memoryUsed(engine)+orderMemory(listedSize(engine, order.Model), order) <= engine.MemoryMB
}

// handleOrderResult handles the outcome of an order.
func (c *Controller) handleOrderResult(now time.Time, message OrderResult) []Effect {
	if c.Tenure == nil {
		return nil
	}
	e := c.Tenure.Endpoints[message.Replica]
	if e == nil || e.Sending == nil || *e.Sending != message.Order {
		return nil
	}
	c.Tenure.TableStale = true
	order := *e.Sending
	e.Sending = nil
	c.recordOwnNotice(e, message.Leaving)
	switch message.Outcome {
	case Accepted:
		c.applyAcceptedOrder(now, e, order)
		return []Effect{orderNote("order accepted", message.Replica, order)}
	case AlreadyInEffect:
		if !order.Load && order.Adapter != "" {
			c.applyAcceptedOrder(now, e, order)
			return nil
		}
		e.invalidate(now.Add(maxReportAge))
	case Busy:
		e.Refusals++
		e.Queue = slices.Insert(e.Queue, 0, order)
		e.RetryAt = now.Add(refusalRetryDelay)
		if e.Refusals >= refusalsBeforeRead && !e.Unloading || e.Refusals >= unloadRefusalsBeforeRead {
			e.invalidate(now)
			return []Effect{orderNote("order refused; reading the replica's state", message.Replica, order)}
		}
	case Rejected, Unsent:
		e.invalidate(now.Add(readRetryInterval))
		return []Effect{orderNote("order rejected: "+string(message.Outcome), message.Replica, order)}
	case Unanswered:
		// The replica may still execute the order seconds later. The order carries
		// the expected sequence number, so it can only succeed in the state for
		// which it was planned.
		e.invalidate(now.Add(maxReportAge))
		return []Effect{orderNote("order unanswered", message.Replica, order)}
	}
	return nil
}

func orderNote(text, replica string, order Order) Note {
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

// applyAcceptedOrder updates the endpoint for an order that the replica has accepted.
func (c *Controller) applyAcceptedOrder(now time.Time, e *Endpoint, order Order) {
	e.Sequence++
	e.ChangedAt = now
	e.Refusals = 0
	e.Unloading = !order.Load && order.Adapter == ""
	switch {
	case !order.Load && order.Adapter != "":
		if resident := e.Models[order.Model]; resident != nil {
			delete(resident.Adapters, order.Adapter)
		}
	case !order.Load:
		// The replica accepts no other order until the unload is complete, so the
		// memory is free by the time the next order is accepted.
		delete(e.Models, order.Model)
	case order.Adapter != "":
		e.Running = &Operation{Order: order, Size: e.SendingSize, EndsAt: now.Add(adapterLoadTime)}
	default:
		engine := c.engine(e.Entry.Service)
		if engine == nil {
			// The configuration has dropped the service since the order was sent.
			e.invalidate(now.Add(readRetryInterval))
			return
		}
		tier := e.tier(order.Model)
		duration := loadTime(engine.Models[order.Model], tier)
		if tier == FromStore {
			duration = c.storeLoadTime(duration)
		}
		concurrent := c.countStoreLoads() + 1
		e.Running = &Operation{Order: order, Size: e.SendingSize, Tier: tier, EndsAt: now.Add(duration + loadEndMargin), StartedAt: now, ConcurrentStoreLoads: concurrent}
	}
}

// storeLoadTime returns the estimated duration of a load from the weight store.
// Above the store's concurrency, each load takes proportionally longer.
func (c *Controller) storeLoadTime(soloTime time.Duration) time.Duration {
	slowdown := max(1, float64(c.countStoreLoads()+1)/float64(c.storeConcurrency()))
	return time.Duration(float64(soloTime) * slowdown)
}

// completeOperation completes the operation of an endpoint when its estimated end
// has passed. The duration of a load from the weight store is uncertain, so such
// a load completes only when the list or the replica's report shows the model.
func (c *Controller) completeOperation(now time.Time, id string, e *Endpoint) []Effect {
	if e.Running == nil || !e.Synced {
		return nil
	}
	operation := *e.Running
	listed := operation.Adapter == "" && e.Entry.Has(operation.Model, "")
	switch {
	case listed:
	case now.Before(operation.EndsAt):
		return nil
	case operation.Tier == FromStore && operation.Adapter == "":
		e.Running.EndsAt = now.Add(storeLoadRecheckInterval)
		if !e.Reading && !e.Evacuated {
			e.Reading = true
			return []Effect{ReadState{Replica: id, Address: e.Entry.Address}}
		}
		return nil
	}
	c.completeLoad(now, e, operation)
	return []Effect{orderNote("load complete", id, operation.Order)}
}

func (c *Controller) completeLoad(now time.Time, e *Endpoint, operation Operation) {
	c.Tenure.TableStale = true
	e.Running = nil
	if operation.Adapter != "" {
		if resident := e.Models[operation.Model]; resident != nil {
			resident.Adapters[operation.Adapter] = now
		}
		return
	}
	c.updateStoreConcurrency(now, e, operation)
	e.Models[operation.Model] = &Resident{Size: operation.Size, Adapters: map[string]time.Time{}, LoadedAt: now, UsedAt: now}
	if engine := c.engine(e.Entry.Service); engine != nil {
		e.recordCopies(engine, operation.Model)
	}
}

// handleStateRead handles the result of reading a replica's own report. Reports
// that may be older than the last accepted order are ignored.
func (c *Controller) handleStateRead(now time.Time, message StateRead) []Effect {
	if c.Tenure == nil {
		return nil
	}
	c.recordRunning(message)
	e := c.Tenure.Endpoints[message.Replica]
	if e == nil {
		return nil
	}
	c.recordOwnNotice(e, message.State.Leaving && message.State.StartedMS == e.Entry.StartedMS)
	e.Reading = false
	effects := e.noteRead(message.Failed)
	if c.awaitsOrders(message.RequestedAt) {
		return effects
	}
	e.ReadAt = now.Add(readRetryInterval)
	switch {
	case message.Failed, message.Busy && !e.Synced, message.State.StartedMS != 0 && message.State.StartedMS != e.Entry.StartedMS:
		return effects
	case e.Synced:
		return append(effects, c.confirmLoad(now, message, e)...)
	case message.RequestedAt.Sub(e.ChangedAt) < maxReportAge || message.State.Sequence < e.Sequence:
		return effects
	}
	c.Tenure.TableStale = true
	e.applyState(now, func(model string) Size { return c.sizeOfUnknown(e.Entry.Service, model) }, message.State)
	return append(effects, Note{Text: "replica state read", Replica: message.Replica, Reason: modelNames(message.State)})
}

// confirmLoad completes a load that the replica's report shows as complete, or
// invalidates the endpoint if the load ended without the model.
func (c *Controller) confirmLoad(now time.Time, message StateRead, e *Endpoint) []Effect {
	if e.Running == nil || e.Running.Adapter != "" || message.Busy || message.State.Sequence != e.Sequence {
		return nil
	}
	operation := *e.Running
	if !message.State.Has(operation.Model, "") {
		e.invalidate(now)
		return []Effect{orderNote("load ended without the model", message.Replica, operation.Order)}
	}
	c.completeLoad(now, e, operation)
	return []Effect{orderNote("load complete", message.Replica, operation.Order)}
}

func modelNames(replica surveyor.Replica) string {
	names := ""
	for _, loaded := range replica.Models {
		names += " " + loaded.Name
	}
	return names
}
