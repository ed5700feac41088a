package placer

import "time"

const (
	// avoidDuration is how long a load is not tried again where it failed.
	avoidDuration = 30 * time.Second
	// maxRetryDelay bounds the delay between failing loads of one model. The
	// first retry follows at once.
	maxRetryDelay = time.Minute
)

// abandonLoad gives a load up: the endpoint is told to unload, and the load starts
// elsewhere.
func (d *draft) abandonLoad(name string, entry Entry, reason string) {
	d.recordFailure(name, entry.Key, reason)
	d.unload(name, entry)
}

// recordFailure notes a failed load, so that the next one starts elsewhere.
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

// backingOff says whether loads of a key wait after failures.
func (p *Placer) backingOff(now time.Time, key Key) bool {
	retry, ok := p.Retries[key]
	return ok && now.Before(retry.NotBefore)
}

// avoidsEndpoint says whether a load failed at an endpoint a short time ago.
func (p *Placer) avoidsEndpoint(now time.Time, key Key, name string) bool {
	retry, ok := p.Retries[key]
	return ok && now.Before(retry.AvoidUntil[name])
}
