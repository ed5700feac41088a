package messenger

import (
	"fmt"
	"testing"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// BenchmarkSizes reports the encoded sizes of messages at the design size: the
// answer to a pull with the contacts of 24 data centres, and the share of each
// instance in a list of 13,500 instances.
func BenchmarkSizes(b *testing.B) {
	answer := pullAnswer{Version: 1_000_000, AgesMS: map[configurer.Source]int64{configurer.API: 1234}}
	for i := range 24 {
		answer.AgesMS[configurer.Source(fmt.Sprintf("region-%02d-dc-%d", i/2, i%2))] = int64(1000 + i)
	}
	const instances = 13_500
	list := tracker.InstanceList{Version: 1_000_000}
	for i := range instances {
		list.Instances = append(list.Instances, tracker.Instance{
			Name: fmt.Sprintf("instance-%05d", i), Kind: tracker.Engine, Address: "10.120.130.140:8080",
			DataCentre: "region-01-dc-1", Region: "region-01", Phase: tracker.Live, MemoryMB: 640_000, HonoursFence: true,
		})
	}
	for b.Loop() {
		encoder.Encode(list)
	}
	b.ReportMetric(float64(len(encoder.Encode(answer))), "bytes/pull-answer")
	b.ReportMetric(float64(len(encoder.Encode(list)))/instances, "list-bytes/instance")
}
