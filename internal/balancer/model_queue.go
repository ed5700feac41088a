package balancer

import (
	"maps"
	"time"

	"toucanhitch.example/toucanhitch/internal/queuer"
)

// maxPaceAge is the age at which a measured pace is no longer used.
const maxPaceAge = 10 * time.Second

// modelQueueKey identifies the waiting requests of one rank for a model or adapter that the
// same data centres may run: full replicas in some show nothing about those in others.
type modelQueueKey struct {
	useKey
	dataCentres string
	rank        int
}

// ModelQueue is what is known of the waiting requests of one rank for a model or adapter of a
// service in the data centres that may run them.
type ModelQueue struct {
	// Waiting is the number of waiting requests.
	Waiting int
	// Tokens holds the cost of the waiting requests by workspace.
	Tokens map[string]float64
	// Pace is the cost of the requests that leave the queue with a replica, in tokens a
	// second, while the replicas with the model are full. It is what more urgent ranks
	// leave.
	Pace queuer.Pace
	// ReturnAt is the time up to which the pace is taken by callers that were asked to
	// return.
	ReturnAt time.Time
}

func (n Need) modelQueueKey() modelQueueKey {
	return modelQueueKey{n.useKey(), n.dataCentresKey(), n.rank()}
}

// modelQueue returns what is known of the queue of a model, and begins to record it if
// nothing is known.
func (c *Controller) modelQueue(need Need) *ModelQueue {
	key := need.modelQueueKey()
	queue := c.Waiting.Models[key]
	if queue == nil {
		queue = &ModelQueue{Tokens: map[string]float64{}}
		c.Waiting.Models[key] = queue
	}
	return queue
}

func (q *ModelQueue) add(need Need) {
	q.Waiting++
	q.Tokens[need.Workspace] += need.cost()
}

func (q *ModelQueue) remove(now time.Time, need Need, served bool) {
	q.Waiting--
	if q.Tokens[need.Workspace] -= need.cost(); q.Tokens[need.Workspace] <= 0 {
		delete(q.Tokens, need.Workspace)
	}
	switch {
	case served:
		q.Pace.Record(now, need.cost(), q.Waiting > 0)
	case q.Waiting == 0:
		q.Pace.Stop()
	}
}

// forget drops the measured pace, because requests do not wait for replicas that are full.
func (q *ModelQueue) forget() { q.Pace = queuer.Pace{} }

// pace returns the tokens a second that leave the queue at most, and false if that is not
// known.
func (q *ModelQueue) pace(now time.Time) (float64, bool) {
	if q.Waiting == 0 || now.Sub(q.Pace.MeasuredAt) > maxPaceAge && q.Pace.WindowStart.IsZero() {
		return 0, false
	}
	total := 0.0
	for _, tokens := range q.Tokens {
		total += tokens
	}
	return q.Pace.Limit(now, total/float64(q.Waiting))
}

// ahead returns the tokens that leave the queue before a request of a workspace that has the
// given tokens of its own workspace ahead: as much of each other workspace.
func (q *ModelQueue) ahead(workspace string, own float64) float64 {
	total := own
	for other, tokens := range q.Tokens {
		if other != workspace {
			total += min(tokens, own)
		}
	}
	return total
}

// forgetModels drops what is known of queues in which no request waits and whose pace is
// out of date.
func (c *Controller) forgetModels(now time.Time) {
	maps.DeleteFunc(c.Waiting.Models, func(_ modelQueueKey, queue *ModelQueue) bool {
		return queue.Waiting == 0 && now.Sub(queue.Pace.MeasuredAt) > maxPaceAge && !queue.ReturnAt.After(now)
	})
}
