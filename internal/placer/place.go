package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// place starts the loads that are wished for, most urgent first.
func (d *plan) place() {
	d.dropClaims()
	models, adapters := d.wishes(d.now)
	for _, wanted := range models {
		d.placeModel(wanted)
	}
	for _, wanted := range adapters {
		d.placeAdapter(wanted)
	}
}

// dropClaims ends the claims that no longer lead to a load.
func (d *plan) dropClaims() {
	for key, claim := range d.Claims {
		_, there := d.Endpoints[claim.Endpoint]
		if !there || !d.inForce(key) || !d.wanted(key) || d.now.After(claim.Until) {
			delete(d.Claims, key)
		}
	}
}

func (d *plan) placeModel(wanted wish) {
	key := wanted.Key
	if !d.inForce(key) || d.blocked(d.now, key) || !d.needsReplica(wanted) {
		return
	}
	need := d.memoryOf(key)
	if claim, ok := d.Claims[key]; ok {
		d.useClaim(key, claim, need)
		return
	}
	choice, ok := Choose(d.candidates(key), need, func(name string) []Evictable {
		return d.evictable(name, wanted.Urgency)
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
	d.Claims[key] = Claim{Endpoint: choice.Endpoint, MemoryMB: need, Until: d.now.Add(claimTime)}
}

// claimTime is how long a load waits for evictions before another endpoint is
// chosen.
const claimTime = 15 * time.Second

// useClaim loads a model where it waits for evictions, once there is room.
func (d *plan) useClaim(key Key, claim Claim, need int) {
	endpoint := d.Endpoints[claim.Endpoint]
	if !d.usable(endpoint, key) {
		delete(d.Claims, key)
		return
	}
	delete(d.Claims, key)
	if d.free(endpoint) >= need && d.load(key, claim.Endpoint, tier(endpoint.Report, key.Model)) {
		return
	}
	d.Claims[key] = claim
}

// needsReplica says whether a wish justifies one more replica: the first, one
// in place of replicas that are going, or one more if requests keep waiting
// although all replicas are loaded.
func (d *plan) needsReplica(wanted wish) bool {
	model := wanted.Key.Model
	if d.replicas[model] >= d.Shares[model] {
		return false
	}
	serving, latest := 0, time.Time{}
	for _, name := range d.Names {
		entry, ok := d.next.Endpoints[name].Find(Key{Model: model})
		if !ok || entry.State == tracker.Unloading || d.leaving(name) {
			continue
		}
		if entry.State == tracker.Loading {
			return false
		}
		serving++
		if sent := d.record(Place{name, entry.Key}).SentAt; sent.After(latest) {
			latest = sent
		}
	}
	if serving == 0 {
		return true
	}
	after := d.Settings.ScaleAfter
	return d.now.Sub(wanted.First) >= after && d.now.Sub(latest) >= after
}

// load decides on a load if the weight store's permits allow it.
func (d *plan) load(key Key, name string, from tracker.Tier) bool {
	if from == tracker.Remote {
		if d.remote >= d.Settings.StoreAtOnce || !d.Permits.Take(d.now, d.Settings.StoreRate) {
			d.pending = true
			return false
		}
	}
	d.record(Place{name, key}).Attempts = 0
	d.order(name, Entry{Key: key, MemoryMB: d.memoryOf(key), Tier: from}, tracker.Loading)
	return true
}

// prewarm loads models that the policy expects to be needed, into free memory
// only, while no request waits for the weight store.
func (d *plan) prewarm() {
	if len(d.Claims) > 0 || d.remote > 0 {
		return
	}
	for _, model := range d.Models {
		key := Key{Model: model}
		activity, ok := d.Activities[model]
		if !ok || d.replicas[model] > 0 || d.Shares[model] == 0 || d.blocked(d.now, key) {
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
