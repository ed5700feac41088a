package balancer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// assignment is a placement that has not ended. Since it was made, the Replica in
// Controller.Replicas may have been replaced by a new one.
type assignment struct {
	replica *Replica
	need    Need
	// returning is set until the replica, which was closed, begins its answer.
	returning bool
	// waited is set if the request had waited for the replica.
	waited bool
	// cold is set if the replica was cold when the request was assigned to it.
	cold bool
	// sentAt and load are the time and the replica's load of the assignment. begun is set
	// once the first event of the answer was reported, which came after firstEvent.
	sentAt     time.Time
	load       estimator.Load
	begun      bool
	firstEvent time.Duration
	// cached is the number of tokens that the replica was believed to keep.
	cached int
}

type useKey struct {
	service string
	modelKey
}

func (c *Controller) assign(now time.Time, replica *Replica, id runner.Call, need Need, cached int) {
	returning := replica.Notice.MaxReturning > 0
	if returning {
		replica.Notice.Returning++
	}
	c.Assignments[id] = &assignment{replica: replica, need: need, returning: returning, sentAt: now, load: replica.currentLoad(), cached: cached}
	replica.TokensAhead += need.PromptTokens - cached
	replica.Running[need.Model]++
	replica.RunningTotal++
	if need.Model == "" {
		return
	}
	key := useKey{need.Service, modelKey{need.Model, need.Adapter}}
	use := c.Uses[key]
	if use == nil {
		use = &planner.Use{Service: need.Service, Model: need.Model, Adapter: need.Adapter}
		c.Uses[key] = use
	}
	use.Count++
	use.Tokens += need.Tokens
}
