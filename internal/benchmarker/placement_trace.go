package benchmarker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// placementUser is the size of one user's deployment (section 1.1 of the
// design).
type placementUser struct {
	Name      string
	Engines   int
	Models    int
	StoreRate float64
}

var placementUsers = []placementUser{
	{Name: "Wiatrak Analityka", Engines: 9, Models: 50, StoreRate: 3},
	{Name: "Casa Niyebe", Engines: 18, Models: 105, StoreRate: 15},
}

// placementArrival is the arrival of one request in a trace.
type placementArrival struct {
	At       time.Duration
	Model    string
	Duration time.Duration
}

// drawModels draws the memory sizes of a user's models.
func (u placementUser) drawModels(random *rand.Rand) map[string]releaser.Model {
	models := map[string]releaser.Model{}
	for index := range u.Models {
		name := fmt.Sprintf("model%03d", index)
		models[releaser.Key(name, "1")] = releaser.Model{
			Name: name, Version: "1", Replicas: 2,
			MemoryMB: 4000 + 4000*random.IntN(9),
		}
	}
	return models
}

// drawTrace draws the requests of a user, sorted by time. 55% of the models
// alternate between active and idle phases within an hour, a quarter are used
// periodically in bursts, and the rest are used rarely. Several times a day a
// warning triggers requests for ten models at once.
func (u placementUser) drawTrace(seed uint64, duration time.Duration) []placementArrival {
	random := rand.New(rand.NewPCG(seed, uint64(u.Models)))
	var arrivals []placementArrival
	for index := range u.Models {
		trace := modelTrace{
			random: random, duration: duration,
			model: releaser.Key(fmt.Sprintf("model%03d", index), "1"),
			// Zipf popularity with exponent 0.8.
			popularity: math.Pow(float64(index+1), -0.8),
		}
		switch rank := float64((index*7)%u.Models) / float64(u.Models); {
		case rank < 0.55:
			trace.drawPhases()
		case rank < 0.80:
			trace.drawPeriodic()
		default:
			trace.drawRare()
		}
		arrivals = append(arrivals, trace.arrivals...)
	}
	arrivals = append(arrivals, u.drawWarnings(random, duration)...)
	slices.SortStableFunc(arrivals, func(a, b placementArrival) int { return int(a.At - b.At) })
	return arrivals
}

func (u placementUser) drawWarnings(random *rand.Rand, duration time.Duration) []placementArrival {
	var arrivals []placementArrival
	for at := drawExponential(random, 6*time.Hour); at < duration; at += drawExponential(random, 6*time.Hour) {
		for range 10 {
			trace := modelTrace{random: random, duration: duration, model: releaser.Key(fmt.Sprintf("model%03d", random.IntN(u.Models)), "1")}
			trace.drawBurst(at, 5)
			arrivals = append(arrivals, trace.arrivals...)
		}
	}
	return arrivals
}

// modelTrace draws the requests of one model.
type modelTrace struct {
	random     *rand.Rand
	duration   time.Duration
	model      string
	popularity float64
	arrivals   []placementArrival
}

func (m *modelTrace) addArrival(at time.Duration) {
	if at >= m.duration {
		return
	}
	duration := 2*time.Second + drawExponential(m.random, 4*time.Second)
	m.arrivals = append(m.arrivals, placementArrival{At: at, Model: m.model, Duration: duration})
}

func (m *modelTrace) drawBurst(at time.Duration, size int) {
	for range size {
		m.addArrival(at + time.Duration(m.random.Float64()*float64(2*time.Second)))
	}
}

// acceptAt draws whether an arrival at a time is kept. The probability depends on
// the time of day: it is 0.1 at midnight and 1 at noon.
func (m *modelTrace) acceptAt(at time.Duration) bool {
	hour := math.Mod(at.Hours(), 24)
	return m.random.Float64() < 0.55-0.45*math.Cos(2*math.Pi*hour/24)
}

func (m *modelTrace) drawPhases() {
	at := time.Duration(0)
	for at < m.duration {
		at += 5*time.Minute + drawExponential(m.random, 35*time.Minute)
		end := at + 2*time.Minute + drawExponential(m.random, 13*time.Minute)
		if !m.acceptAt(at) {
			continue
		}
		m.drawBurst(at, 3)
		gap := time.Duration(float64(10*time.Second) / (m.popularity + 0.1))
		for at < end {
			at += drawExponential(m.random, gap)
			m.addArrival(at)
		}
	}
}

func (m *modelTrace) drawPeriodic() {
	periods := []time.Duration{30 * time.Minute, time.Hour, 3 * time.Hour, 6 * time.Hour, 24 * time.Hour}
	period := periods[m.random.IntN(len(periods))]
	phase := time.Duration(m.random.Float64() * float64(period))
	for at := phase; at < m.duration; at += period {
		jitter := time.Duration((m.random.Float64() - 0.5) * float64(4*time.Minute))
		m.drawBurst(max(0, at+jitter), 3+m.random.IntN(10))
	}
}

func (m *modelTrace) drawRare() {
	gap := time.Duration(float64(20*time.Minute) / m.popularity)
	for at := drawExponential(m.random, gap); at < m.duration; at += drawExponential(m.random, gap) {
		if m.acceptAt(at) {
			m.addArrival(at)
		}
	}
}

func drawExponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}
