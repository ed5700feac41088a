package balancer

import "time"

// hasService reports whether any replica belongs to the service of the request, in a data
// centre that may run it.
func (c *Controller) hasService(need Need) bool {
	for _, replica := range c.Replicas {
		if need.allows(replica.Description) {
			return true
		}
	}
	return false
}

// isLoading reports whether a load of the model or adapter that the request
// needs is in progress, on a replica of a version that may run it.
func (c *Controller) isLoading(now time.Time, need Need) bool {
	for _, replica := range c.Replicas {
		if need.allows(replica.Description) && !replica.isExcluded() && c.fits(now, need, replica.Description.Version) {
			if _, ok := replica.loadEndsAt(modelKey{need.Model, need.Adapter}); ok {
				return true
			}
		}
	}
	return false
}

// isLoaded reports whether any replica, full or not, has the model and adapter
// that the request needs and takes requests before it is given up.
func (c *Controller) isLoaded(now time.Time, need Need) bool {
	for _, replica := range c.Replicas {
		if need.allows(replica.Description) && !replica.isExcluded() && !replica.isClosed(need.GiveUpAt) && c.fits(now, need, replica.Description.Version) && replica.Description.Has(need.Model, need.Adapter) {
			return true
		}
	}
	return false
}

// allFull reports whether there are replicas with the model and adapter that
// the request needs and all of them are full, at their limit or closed.
func (c *Controller) allFull(now time.Time, need Need) bool {
	found := false
	for _, replica := range c.Replicas {
		if !need.allows(replica.Description) || replica.isExcluded() || !replica.Description.Has(need.Model, need.Adapter) {
			continue
		}
		if !replica.isFull() && !replica.isAtLimit(now) && !replica.isClosed(now) {
			return false
		}
		found = true
	}
	return found
}

// canContinue reports whether a replica of the version that began a stream has its model, is
// loading it or can be ordered to load it in time. What only evacuated replicas hold is loaded
// elsewhere in any case.
func (c *Controller) canContinue(now time.Time, need Need) bool {
	key := modelKey{need.Model, need.Adapter}
	evacuated, elsewhere := false, false
	for _, replica := range c.Replicas {
		if !need.allows(replica.Description) || replica.Description.Version != need.Version || replica.isLeaving() {
			continue
		}
		if replica.Description.Evacuated {
			evacuated = evacuated || replica.Description.Has(need.Model, need.Adapter)
			continue
		}
		elsewhere = true
		if _, loading := replica.loadEndsAt(key); loading || replica.canServe(now, key) {
			return true
		}
	}
	return elsewhere && (evacuated && c.ordersAllowed(now) || c.canOrderInTime(now, need))
}

// ordersAllowed reports whether the holder may order loads now.
func (c *Controller) ordersAllowed(now time.Time) bool {
	return !c.OrdersAllowedAt.IsZero() && !now.Before(c.OrdersAllowedAt)
}

// whyRefused is refusalFor without the random part of the retry delay.
func (c *Controller) whyRefused(now time.Time, need Need) *Refusal {
	switch {
	case !now.Before(need.GiveUpAt):
		return &Refusal{Reason: "no replica in time", RetryAfter: c.roomDelay(now, need)}
	case !c.hasService(need) && c.awaitsReplicas(now):
		return nil
	case !c.hasService(need):
		return &Refusal{Reason: c.noReplicas(need), RetryAfter: overloadRetryAfter}
	case c.evacuated(need) != nil:
		return c.evacuated(need)
	case need.Continued && !c.canContinue(now, need):
		return &Refusal{Reason: "no replica of the version that began the stream has the model", RetryAfter: typicalLoadTime}
	}
	if refusal := c.unavailable(now, need); refusal != nil {
		return refusal
	}
	if refusal := c.whyRefusedCold(now, need); refusal != nil || need.Model == "" {
		return refusal
	}
	if c.isLoaded(now, need) {
		return nil
	}
	if at, known := c.loadExpectedAt(now, need); known && at.After(need.GiveUpAt) && !c.canOrderInTime(now, need) {
		return &Refusal{Reason: "the load of the model ends too late", RetryAfter: at.Sub(now)}
	}
	if c.ordersAllowed(now) || c.isLoading(now, need) {
		return nil
	}
	if c.OrdersAllowedAt.IsZero() {
		return &Refusal{Reason: "model is not loaded and no holder can order it", RetryAfter: noHolderRetryAfter}
	}
	if loadedAt := c.OrdersAllowedAt.Add(typicalLoadTime); loadedAt.After(need.GiveUpAt) {
		return &Refusal{Reason: "model is not loaded and the holder cannot order it in time", RetryAfter: loadedAt.Sub(now)}
	}
	return nil
}
