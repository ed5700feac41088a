package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/queuer"
)

// demandReportInterval is how often waiting requests are reported to the
// placer.
const demandReportInterval = time.Second

func (c *Controller) addDemand(now time.Time, pool *Pool, w *WaitingRequest) {
	class := w.Admission.Class
	demand, ok := pool.Demands[class]
	if !ok {
		demand = &Demand{Pool: pool, Class: class, NextReportAt: now.Add(demandReportInterval)}
		pool.Demands[class] = demand
		demand.Waiting.Push(w)
		c.ByDeadline.Push(demand)
		if pool.Target.Model != "" {
			demand.reportElement = c.demandReports.PushBack(demand)
		}
	} else {
		demand.Waiting.Push(w)
		c.ByDeadline.Fix(demand.deadlineIndex)
	}
	w.demand = demand
}

func (c *Controller) removeDemand(w *WaitingRequest) {
	demand := w.demand
	if len(demand.Waiting) > 1 {
		demand.Waiting.Remove(w.demandIndex)
		c.ByDeadline.Fix(demand.deadlineIndex)
		return
	}
	// The heap compares a demand by its first request, so the demand must be
	// removed from the heap before that request.
	c.ByDeadline.Remove(demand.deadlineIndex)
	demand.Waiting.Remove(w.demandIndex)
	if demand.reportElement != nil {
		c.demandReports.Remove(demand.reportElement)
	}
	delete(demand.Pool.Demands, demand.Class)
	c.deletePoolIfUnused(demand.Pool)
}

// reportFirstDemand reports to the placer immediately when the first request of
// a class finds no replica.
func (c *Controller) reportFirstDemand(now time.Time, demand *Demand) {
	pool := demand.Pool
	if pool.Target.Model == "" || pool.Replicas > 0 || len(demand.Waiting) > 1 {
		return
	}
	c.reportDemand(demand)
	demand.NextReportAt = now.Add(demandReportInterval)
}

// reportDueDemands reports requests that are still waiting to the placer. The
// list stays ordered because each reported demand moves to its end.
func (c *Controller) reportDueDemands(now time.Time) {
	for {
		first := c.demandReports.Front()
		if first == nil || first.Value.(*Demand).NextReportAt.After(now) {
			return
		}
		demand := first.Value.(*Demand)
		c.reportDemand(demand)
		demand.NextReportAt = now.Add(demandReportInterval)
		c.demandReports.MoveToBack(first)
	}
}

func (c *Controller) reportDemand(demand *Demand) {
	c.emit(ReportDemand{
		Model:            demand.Pool.Target.Model,
		Adapter:          demand.Pool.Target.Adapter,
		Class:            demand.Class,
		Waiting:          len(demand.Waiting),
		EarliestDeadline: demand.Waiting[0].Admission.Deadline,
	})
}

func (c *Controller) getOrCreatePool(target Target) *Pool {
	pool, ok := c.Pools[target]
	if !ok {
		pool = &Pool{Target: target, Demands: map[filter.Class]*Demand{}}
		c.Pools[target] = pool
	}
	return pool
}

func (c *Controller) deletePoolIfUnused(pool *Pool) {
	if pool.Replicas == 0 && len(pool.Demands) == 0 {
		delete(c.Pools, pool.Target)
	}
}

func (c *Controller) getOrCreateQueue(target Target) *Queue {
	queue, ok := c.Queues[target]
	if !ok {
		queue = &Queue{Target: target, Foreground: queuer.New[*WaitingRequest](0), Deferred: queuer.New[*WaitingRequest](0)}
		c.Queues[target] = queue
	}
	return queue
}

func (c *Controller) deleteQueueIfUnused(queue *Queue) {
	if queue.endpointCount == 0 && queue.waitingCount() == 0 {
		delete(c.Queues, queue.Target)
	}
}
