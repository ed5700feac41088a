package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// placeLoads starts the requested loads, most urgent first.
func (d *draft) placeLoads() {
	d.dropStaleClaims()
	models, adapters := d.loadRequests(d.now)
	for _, request := range models {
		d.placeModel(request)
	}
	for _, request := range adapters {
		d.placeAdapter(request)
	}
}

// dropStaleClaims drops the claims that no longer lead to a load.
func (d *draft) dropStaleClaims() {
	for key, claim := range d.Claims {
		_, listed := d.Endpoints[claim.Endpoint]
		if !listed || !d.inForce(key) || !d.hasDemand(key) || d.now.After(claim.Until) {
			delete(d.Claims, key)
		}
	}
}

func (d *draft) placeModel(request loadRequest) {
	key := request.Key
	if !d.inForce(key) || d.backingOff(d.now, key) || !d.needsReplica(request) {
		return
	}
	needMB := d.memoryOf(key)
	if claim, ok := d.Claims[key]; ok {
		d.loadClaimed(key, claim, needMB)
		return
	}
	choice, ok := Choose(d.candidates(key), needMB, func(name string) []Evictable {
		return d.evictable(name, request.Urgency)
	})
	if !ok {
		return
	}
	if len(choice.Evict) == 0 {
		d.load(key, choice.Endpoint, choice.Tier)
		return
	}
	for _, evicted := range choice.Evict {
		entry, _ := d.next.Endpoints[choice.Endpoint].Find(evicted)
		d.unload(choice.Endpoint, entry)
	}
	d.Claims[key] = Claim{Endpoint: choice.Endpoint, MemoryMB: needMB, Until: d.now.Add(claimTimeout)}
}

// claimTimeout is how long a load waits for evictions before another endpoint
// is chosen.
const claimTimeout = 15 * time.Second

// loadClaimed loads a model at the endpoint where it waits for evictions, once
// enough memory is free.
func (d *draft) loadClaimed(key Key, claim Claim, needMB int) {
	endpoint := d.Endpoints[claim.Endpoint]
	if !d.usable(endpoint, key) {
		delete(d.Claims, key)
		return
	}
	delete(d.Claims, key)
	if d.freeMB(endpoint) >= needMB && d.load(key, claim.Endpoint, fastestTier(endpoint.Report, key.Model)) {
		return
	}
	d.Claims[key] = claim
}

// needsReplica reports whether a load request justifies one more replica: the
// first, a replacement for replicas that are being unloaded, or an additional
// one if requests keep waiting although all replicas are loaded.
func (d *draft) needsReplica(request loadRequest) bool {
	model := request.Key.Model
	if d.replicas[model] >= d.Shares[model] {
		return false
	}
	serving, lastSent := 0, time.Time{}
	for _, name := range d.EndpointNames {
		entry, ok := d.next.Endpoints[name].Find(Key{Model: model})
		if !ok || entry.State == tracker.Unloading || d.leaving(name) {
			continue
		}
		if entry.State == tracker.Loading {
			return false
		}
		serving++
		if sent := d.entryRecord(EntryID{name, entry.Key}).SentAt; sent.After(lastSent) {
			lastSent = sent
		}
	}
	if serving == 0 {
		return true
	}
	delay := d.Settings.ScaleUpDelay
	return d.now.Sub(request.WaitingSince) >= delay && d.now.Sub(lastSent) >= delay
}

// load decides on a load unless the limits of the weight store require it to
// wait. It reports whether it did.
func (d *draft) load(key Key, name string, source tracker.Tier) bool {
	if source == tracker.Remote {
		if d.remoteLoads >= d.Settings.MaxStoreLoads || !d.StorePermits.Take(d.now, d.Settings.StoreRate) {
			d.pending = true
			return false
		}
	}
	d.entryRecord(EntryID{name, key}).Attempts = 0
	d.addOrder(name, Entry{Key: key, MemoryMB: d.memoryOf(key), Tier: source}, tracker.Loading)
	return true
}

// prewarm loads models that the policy expects to be needed soon, only into
// free memory and only while no load claims memory or reads from the weight
// store.
func (d *draft) prewarm() {
	if len(d.Claims) > 0 || d.remoteLoads > 0 {
		return
	}
	for _, model := range d.ModelKeys {
		key := Key{Model: model}
		activity, ok := d.Activities[model]
		if !ok || d.replicas[model] > 0 || d.Shares[model] == 0 || d.backingOff(d.now, key) {
			continue
		}
		if activity.LastUse.IsZero() || !d.advice(model, activity).Prewarm {
			continue
		}
		choice, ok := Choose(d.candidates(key), d.memoryOf(key), func(string) []Evictable { return nil })
		if ok && d.load(key, choice.Endpoint, choice.Tier) {
			return
		}
	}
}
