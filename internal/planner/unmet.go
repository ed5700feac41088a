package planner

import "time"

const (
	// unmetLogInterval is how long requests have to wait for a model that is not loaded
	// before that is logged, and the interval at which it is logged again.
	unmetLogInterval = time.Second
	// unmetLifetime is the time after which a demand that is not found unmet again counts
	// as a new one.
	unmetLifetime = time.Second
)

// unmet is a demand for a model that a plan has left without a load.
type unmet struct {
	since, lastAt, loggedAt time.Time
}

// noteUnmet returns a note if a demand for a model has not led to a load for some time.
func (c *Controller) noteUnmet(now time.Time, key ModelKey, obstacle Obstacle) []Effect {
	known := c.Tenure.Unmet[key]
	if known == nil || now.Sub(known.lastAt) > unmetLifetime {
		known = &unmet{since: now, loggedAt: now}
		c.Tenure.Unmet[key] = known
	}
	known.lastAt = now
	if now.Sub(known.loggedAt) < unmetLogInterval {
		return nil
	}
	known.loggedAt = now
	waiting := 0
	for demand, pending := range c.Tenure.Demand {
		if demand.ModelKey == key {
			waiting += pending.Count
		}
	}
	return []Effect{Note{Text: "requests still wait for a model", Model: key.Model, Reason: string(obstacle), Age: now.Sub(known.since), Waiting: waiting}}
}

// forgetUnmet drops the demands that have been met.
func (c *Controller) forgetUnmet(now time.Time) {
	for key, known := range c.Tenure.Unmet {
		if now.Sub(known.lastAt) > unmetLifetime {
			delete(c.Tenure.Unmet, key)
		}
	}
}
