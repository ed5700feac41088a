package placer

import "time"

const (
	// avoidDuration is how long a load is not retried at the endpoint where it
	// failed.
	avoidDuration = 30 * time.Second
	// maxRetryDelay bounds the delay between repeated failing loads of one
	// model. The first retry is immediate.
	maxRetryDelay = time.Minute
)

// abandonLoad abandons a load: the endpoint is ordered to unload, and the load
// is retried at another endpoint.
func (d *draft) abandonLoad(name string, entry Entry, reason string) {
	d.recordFailure(name, entry.Key, reason)
	d.unload(name, entry)
}

// recordFailure records a failed load and warns operators. The next attempt
// avoids this endpoint and, from the second failure on, is delayed
// exponentially.
func (d *draft) recordFailure(name string, key Key, reason string) {
	d.addWarning(d.now, name, key, reason)
	retry, ok := d.Retries[key]
	if !ok {
		retry = &Retry{AvoidUntil: map[string]time.Time{}}
		d.Retries[key] = retry
	}
	retry.AvoidUntil[name] = d.now.Add(avoidDuration)
	retry.NotBefore = d.now
	if retry.Failures > 0 {
		retry.NotBefore = d.now.Add(min(time.Second<<min(retry.Failures, 10), maxRetryDelay))
	}
	retry.Failures++
}

func (d *draft) clearFailures(key Key) {
	delete(d.Retries, key)
}

// backingOff reports whether loads of a key are delayed after failures.
func (p *Placer) backingOff(now time.Time, key Key) bool {
	retry, ok := p.Retries[key]
	return ok && now.Before(retry.NotBefore)
}

// avoidsEndpoint reports whether a load of the key failed at an endpoint
// within avoidDuration.
func (p *Placer) avoidsEndpoint(now time.Time, key Key, name string) bool {
	retry, ok := p.Retries[key]
	return ok && now.Before(retry.AvoidUntil[name])
}
