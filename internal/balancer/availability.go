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
func (c *Controller) isLoading(need Need) bool {
	for _, replica := range c.Replicas {
		if need.allows(replica.Description) && !replica.isExcluded() && c.fits(need, replica.Description.Version) {
			if _, ok := replica.loadEndsAt(modelKey{need.Model, need.Adapter}); ok {
				return true
			}
		}
	}
	return false
}

// isLoaded reports whether any replica, full or not, has the model and adapter
// that the request needs and takes requests before it is given up.
func (c *Controller) isLoaded(need Need) bool {
	for _, replica := range c.Replicas {
		if need.allows(replica.Description) && !replica.isExcluded() && !replica.isClosed(need.GiveUpAt) && c.fits(need, replica.Description.Version) && replica.Description.Has(need.Model, need.Adapter) {
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
