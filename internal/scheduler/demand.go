package scheduler

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// demandPeriod is how often the placer is told of waiting requests.
const demandPeriod = time.Second

func (c *Controller) addDemand(now time.Time, pool *Pool, w *Waiting) {
	class := w.Admission.Class
	demand, ok := pool.Demands[class]
	if !ok {
		demand = &Demand{Pool: pool, Class: class, Next: now.Add(demandPeriod)}
		pool.Demands[class] = demand
		demand.Waiting.push(w)
		c.Deadlines.push(demand)
		if pool.Target.Model != "" {
			demand.inPeriodic = c.periodic.PushBack(demand)
		}
	} else {
		demand.Waiting.push(w)
		c.Deadlines.fix(demand.inDeadlines)
	}
	w.demand = demand
}

func (c *Controller) removeDemand(w *Waiting) {
	demand := w.demand
	if len(demand.Waiting) > 1 {
		demand.Waiting.remove(w.inDemand)
		c.Deadlines.fix(demand.inDeadlines)
		return
	}
	// The demand is compared by its first request, so it goes before that.
	c.Deadlines.remove(demand.inDeadlines)
	demand.Waiting.remove(w.inDemand)
	if demand.inPeriodic != nil {
		c.periodic.Remove(demand.inPeriodic)
	}
	delete(demand.Pool.Demands, demand.Class)
	c.dropPool(demand.Pool)
}

// firstDemand tells the placer at once when the first request of a class
// finds no replica.
func (c *Controller) firstDemand(now time.Time, demand *Demand) {
	pool := demand.Pool
	if pool.Target.Model == "" || pool.Replicas > 0 || len(demand.Waiting) > 1 {
		return
	}
	c.want(demand)
	demand.Next = now.Add(demandPeriod)
}

// remind tells the placer of the requests that still wait. The list is in
// order, because each demand goes to its end when it is due.
func (c *Controller) remind(now time.Time) {
	for {
		first := c.periodic.Front()
		if first == nil || first.Value.(*Demand).Next.After(now) {
			return
		}
		demand := first.Value.(*Demand)
		c.want(demand)
		demand.Next = now.Add(demandPeriod)
		c.periodic.MoveToBack(first)
	}
}

func (c *Controller) want(demand *Demand) {
	c.emit(WantModel{
		Model:            demand.Pool.Target.Model,
		Adapter:          demand.Pool.Target.Adapter,
		Class:            demand.Class,
		Waiting:          len(demand.Waiting),
		EarliestDeadline: demand.Waiting[0].Admission.Deadline,
	})
}

func (c *Controller) pool(target Target) *Pool {
	pool, ok := c.Pools[target]
	if !ok {
		pool = &Pool{Target: target, Demands: map[filter.Class]*Demand{}}
		c.Pools[target] = pool
	}
	return pool
}

func (c *Controller) dropPool(pool *Pool) {
	if pool.Replicas == 0 && len(pool.Demands) == 0 {
		delete(c.Pools, pool.Target)
	}
}

func (c *Controller) queue(target Target) *Queue {
	queue, ok := c.Queues[target]
	if !ok {
		queue = &Queue{Target: target, Prompt: NewFairQueue(), Deferred: NewFairQueue()}
		c.Queues[target] = queue
	}
	return queue
}

func (c *Controller) dropQueue(queue *Queue) {
	if queue.references == 0 && queue.waiting() == 0 {
		delete(c.Queues, queue.Target)
	}
}
