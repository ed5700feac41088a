package placer

import "time"

const (
	// avoidTime is how long a load is not tried again where it failed.
	avoidTime = 30 * time.Second
	// maxRetryDelay bounds the delay between failing loads of one model. The
	// first retry follows at once.
	maxRetryDelay = time.Minute
)

// fail gives a load up: the endpoint is told to unload, and the load starts
// elsewhere.
func (d *plan) fail(name string, entry Entry, reason string) {
	d.failed(name, entry.Key, reason)
	d.unload(name, entry)
}

// failed notes a failed load, so that the next one starts elsewhere.
func (d *plan) failed(name string, key Key, reason string) {
	d.trouble(d.now, name, key, reason)
	retry, ok := d.Retries[key]
	if !ok {
		retry = &Retry{Avoid: map[string]time.Time{}}
		d.Retries[key] = retry
	}
	retry.Avoid[name] = d.now.Add(avoidTime)
	retry.NotBefore = d.now
	if retry.Failures > 0 {
		retry.NotBefore = d.now.Add(min(time.Second<<min(retry.Failures, 10), maxRetryDelay))
	}
	retry.Failures++
}

func (d *plan) succeeded(key Key) {
	delete(d.Retries, key)
}

// blocked says whether loads of a key wait after failures.
func (p *Placer) blocked(now time.Time, key Key) bool {
	retry, ok := p.Retries[key]
	return ok && now.Before(retry.NotBefore)
}

// avoided says whether a load failed at an endpoint a short time ago.
func (p *Placer) avoided(now time.Time, key Key, name string) bool {
	retry, ok := p.Retries[key]
	return ok && now.Before(retry.Avoid[name])
}
