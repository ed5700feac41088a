package benchmarker

import (
	"fmt"
	"runtime"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// noticeSizes are the numbers of replicas for the measurement of notices.
var noticeSizes = []int{1000, 10000}

const (
	// closedPercent is the percentage of the replicas that want no requests.
	closedPercent = 5
	noticeTime    = 5 * time.Second
)

// measureNotices measures what a node keeps and sends of the notices of replicas, with the
// real balancer.
func measureNotices(settings SlopesSettings) []Table {
	table := Table{
		Title:   fmt.Sprintf("Notices of replicas, of which %d%% want no requests for a time", closedPercent),
		Columns: []string{"heap bytes a start", "bytes a closed replica in a report", "bytes a closed replica in the published state"},
		Notes:   []string{"A node reports what its own requests met; the published state goes to each node once in an exchange."},
	}
	for _, replicas := range noticeSizes {
		table.addRow(fmt.Sprintf("%d replicas", replicas), measureNoticesOf(settings, replicas)...)
	}
	return []Table{table}
}

func measureNoticesOf(settings SlopesSettings, count int) []float64 {
	replicas := make([]surveyor.Replica, count)
	for i := range replicas {
		replicas[i] = surveyor.Replica{ID: fmt.Sprintf("i-%010x", i), StartedMS: placementStart.UnixMilli(), Service: rareService, Slots: 24}
	}
	controller := balancer.NewController(settings.Seed)
	before := heapInUse()
	controller.Step(placementStart, balancer.SetReplicas{Replicas: replicas})
	closed := map[string]time.Duration{}
	for _, replica := range replicas[:count*closedPercent/100] {
		controller.Step(placementStart, balancer.NoticeReceived{Replica: replica.ID, StartedMS: replica.StartedMS, RetryAfter: noticeTime})
		closed[replica.ID] = noticeTime
	}
	var notices []planner.Notice
	for _, effect := range controller.Step(placementStart, balancer.Collect{}) {
		if answer, ok := effect.(balancer.AnswerCollect); ok {
			notices = answer.Notices
		}
	}
	// Notices outlast the list, whose entries are not to be counted.
	controller.Step(placementStart, balancer.SetReplicas{})
	heap := heapInUse() - before
	runtime.KeepAlive(controller)
	runtime.KeepAlive(replicas)
	report := len(encoder.Encode(planner.Report{Notices: notices})) - len(encoder.Encode(planner.Report{}))
	state := len(encoder.Encode(planner.State{Closed: closed})) - len(encoder.Encode(planner.State{}))
	return []float64{float64(heap) / float64(count), float64(report) / float64(len(notices)), float64(state) / float64(len(closed))}
}
