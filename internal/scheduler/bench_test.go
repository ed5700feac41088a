package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	benchEndpoints = 400
	benchReplicas  = 5 // of each model
)

func benchFleet(endpoints, running int, now time.Time) tracker.Fleet {
	var fleet tracker.Fleet
	for index := range endpoints {
		fleet.Endpoints = append(fleet.Endpoints, tracker.Endpoint{
			Instance: tracker.Instance{Name: fmt.Sprint("endpoint-", index), Kind: tracker.Engine, Phase: tracker.Live},
			Report: &tracker.Report{
				Measured: now, Slots: 8, Running: running, TokensPerSecond: 50,
				Models: []tracker.ModelState{{Model: fmt.Sprint("model-", index/benchReplicas), State: tracker.Loaded}},
			},
		})
	}
	return fleet
}

func benchAdmit(call, endpoints int, now time.Time) Admit {
	return Admit{Call: runner.Call(call), Admission: filter.Admission{
		Model: fmt.Sprint("model-", call%(endpoints/benchReplicas)), Workspace: fmt.Sprint("workspace-", call%5), Weight: 1,
		Class: filter.Assured, Deadline: now.Add(time.Hour + time.Duration(call)*time.Microsecond), PromptTokens: 300, MaxTokens: 60,
	}}
}

// saturated returns a controller with all slots in use and the given number of
// waiting requests.
func saturated(endpoints, waiting int) (controller *Controller, calls int, now time.Time) {
	now = tester.Start
	controller = NewController(router.Location{}, 1)
	controller.MaxWaiting = waiting + 1
	controller.Step(now, FleetChanged{Fleet: benchFleet(endpoints, 0, now)})
	for calls = 1; len(controller.Waiting) < waiting; calls++ {
		controller.Step(now, benchAdmit(calls, endpoints, now))
	}
	return controller, calls, now
}

// BenchmarkStep measures the steps of one request under load: its admission,
// after which it waits, and the release of a slot, which is granted to another
// request.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ endpoints, waiting int }{{40, 2000}, {400, 200}, {400, 2000}, {400, 20000}, {4000, 2000}} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			controller, calls, now := saturated(size.endpoints, size.waiting)
			b.ReportAllocs()
			slot := uint64(0)
			for b.Loop() {
				now = now.Add(time.Microsecond)
				controller.Step(now, benchAdmit(calls, size.endpoints, now))
				calls++
				slot++
				controller.Step(now, Release{SlotID: slot, Result: filter.SlotResult{
					FirstToken: 300 * time.Millisecond, Duration: 2 * time.Second, Tokens: 60,
				}})
			}
		})
	}
}

// BenchmarkFleetChanged measures a view in which one endpoint has a new report,
// and one in which all endpoints have one.
func BenchmarkFleetChanged(b *testing.B) {
	for _, changed := range []int{1, benchEndpoints} {
		b.Run(fmt.Sprintf("endpoints=%d/changed=%d", benchEndpoints, changed), func(b *testing.B) {
			controller, _, now := saturated(benchEndpoints, 2000)
			fleet := benchFleet(benchEndpoints, 8, now)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				now = now.Add(time.Millisecond)
				next := tracker.Fleet{Endpoints: append([]tracker.Endpoint(nil), fleet.Endpoints...)}
				for index := range next.Endpoints {
					report := *next.Endpoints[index].Report
					if index < changed {
						report.Measured = now
					}
					next.Endpoints[index].Report = &report
				}
				fleet = next
				b.StartTimer()
				controller.Step(now, FleetChanged{Fleet: next})
			}
		})
	}
}

// BenchmarkMemory reports the memory per waiting request and per endpoint.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		fleet := benchFleet(benchEndpoints, 0, tester.Start)
		controller := NewController(router.Location{}, 1)
		withFleet := heapBytes()
		controller.Step(tester.Start, FleetChanged{Fleet: fleet})
		filled := heapBytes()
		calls := 1
		for ; len(controller.Waiting) == 0; calls++ {
			controller.Step(tester.Start, benchAdmit(calls, benchEndpoints, tester.Start))
		}
		granted := heapBytes()
		for ; len(controller.Waiting) < 2000; calls++ {
			controller.Step(tester.Start, benchAdmit(calls, benchEndpoints, tester.Start))
		}
		waiting := heapBytes()
		b.ReportMetric(float64(withFleet-before)/benchEndpoints, "view-bytes/endpoint")
		b.ReportMetric(float64(filled-withFleet)/benchEndpoints, "bytes/endpoint")
		b.ReportMetric(float64(waiting-granted)/2000, "bytes/waiting")
		fillPrefixCaches(controller)
		b.ReportMetric(float64(heapBytes()-waiting)/benchEndpoints, "prefix-bytes/endpoint")
		runtime.KeepAlive(fleet)
		runtime.KeepAlive(controller)
	}
}

// fillPrefixCaches fills the prefix cache view of every endpoint to its limit.
func fillPrefixCaches(controller *Controller) {
	for name := range controller.Endpoints {
		var events []router.CacheEvent
		for index := range uint64(300) {
			events = append(events, router.CacheEvent{Sequence: index + 1, Model: "m@1", Prefix: index*7919 + 1, Stored: true})
		}
		controller.Step(tester.Start, CacheEvents{Endpoint: name, Events: events, Last: 300})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
