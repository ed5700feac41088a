package placer

import (
	"hash/fnv"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Settings holds the settings of a placer, which are fixed while it runs.
type Settings struct {
	Region string
	// Regions lists all regions of the deployment. Each may hold only its
	// share of a model's replicas, so that placers need no agreement.
	Regions []string
	// StoreRate is how many loads from the weight store may start per second
	// in this region. MaxStoreLoads is how many may be in progress.
	StoreRate     float64
	MaxStoreLoads int
	// MaxAdapterLoads is how many adapter loads may be in progress.
	MaxAdapterLoads int
	// OrderTimeout is the longest time that an order can be in flight.
	OrderTimeout time.Duration
	// LeaseDuration is the duration of the region's lease.
	LeaseDuration time.Duration
	// DriftMargin allows for differences in the speed of the nodes' clocks.
	DriftMargin time.Duration
	// DrainTime is how long a withdrawn model or adapter stays loaded.
	DrainTime time.Duration
	// ScaleUpDelay is how long requests must wait despite loaded replicas
	// before one more replica is loaded.
	ScaleUpDelay time.Duration
	// Policy decides how long idle models stay loaded and when models are
	// prewarmed.
	Policy predictor.Policy
	// LoadSpeeds are the expected load speeds by tier, in MiB per second.
	LoadSpeeds map[tracker.Tier]float64
}

// DefaultSettings returns the settings for a deployment with one region and a
// weight store that allows rate loads per second.
func DefaultSettings(region string, rate float64) Settings {
	return Settings{
		Region:          region,
		Regions:         []string{region},
		StoreRate:       rate,
		MaxStoreLoads:   4,
		MaxAdapterLoads: 30,
		OrderTimeout:    2 * time.Second,
		LeaseDuration:   3 * time.Second,
		DriftMargin:     time.Second,
		DrainTime:       30 * time.Second,
		ScaleUpDelay:    5 * time.Second,
		Policy:          predictor.DefaultFixedTime,
		LoadSpeeds: map[tracker.Tier]float64{
			tracker.Memory: 8000,
			tracker.Disk:   2000,
			tracker.Remote: 500,
		},
	}
}

// maxOrderTransit returns the longest time for which an order given before
// now, by this or an earlier holder, can still reach an endpoint.
func (s Settings) maxOrderTransit() time.Duration {
	return s.OrderTimeout + s.LeaseDuration + s.DriftMargin
}

// Share returns the number of a model's replicas that a region may hold. The
// shares of all regions sum to the model's replicas; the remainder is assigned
// to regions in an order that differs between models.
func Share(model releaser.Model, regions []string, region string) int {
	if len(regions) <= 1 {
		return model.Replicas
	}
	share := model.Replicas / len(regions)
	key := releaser.Key(model.Name, model.Version)
	ranked := slices.Clone(regions)
	slices.SortFunc(ranked, func(a, b string) int {
		first, second := rendezvousWeight(key, a), rendezvousWeight(key, b)
		switch {
		case first > second:
			return -1
		case first < second:
			return 1
		default:
			return 0
		}
	})
	if slices.Index(ranked, region) < model.Replicas%len(regions) {
		share++
	}
	return share
}

func rendezvousWeight(key, region string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(region))
	return hash.Sum64()
}
