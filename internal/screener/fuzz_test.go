package screener

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestAnsweredPartsAreNotQuarantined guards against a quarantine of parts with which
// answers begin all the time, also after replicas turn out to be running or their crash
// is explained. One part crashes replicas; it must be found.
func TestAnsweredPartsAreNotQuarantined(t *testing.T) {
	tester.Check(t, 5, func(t *rapid.T) {
		evidence, now := NewEvidence(), tester.Start
		answers, crashes, found := uint64(0), 0, false
		lastCrash := now
		for step := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(20, 120).Draw(t, "ms")) * time.Millisecond)
			replica := Process{ID: fmt.Sprintf("r%d", step), StartedMS: 1}
			answers += 3
			report := Report{AnswersByService: map[string]uint64{"llm": answers}}
			for _, suspect := range evidence.Publish(now).Suspects {
				if suspect != "deadly" {
					report.Begun = append(report.Begun, Begun{suspect, time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond})
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				// A replica crashes for another reason.
				report.Breaks = []Break{{Request: fmt.Sprint("q", step), Service: "llm", Replica: replica, Parts: []string{"first", "other"}, SentAge: 90 * time.Millisecond}}
			case 1:
				evidence.RecordAlive(Process{ID: fmt.Sprintf("r%d", step-1), StartedMS: 1}, now)
			case 2, 3:
				if found || now.Sub(lastCrash) < 200*time.Millisecond {
					break
				}
				lastCrash, crashes = now, crashes+1
				report.Breaks = []Break{
					{Request: fmt.Sprint("q", step), Service: "llm", Replica: replica, Parts: []string{"first", "second", "deadly"}, HeadReceived: rapid.Bool().Draw(t, "head"), SentAge: 60 * time.Millisecond},
					{Request: fmt.Sprint("p", step), Service: "llm", Replica: replica, Parts: []string{"first", "second"}, SentAge: 200 * time.Millisecond},
				}
			}
			evidence.Record(now, "n1", report)
			for _, verdict := range evidence.Review(now) {
				if verdict.Trait != "deadly" {
					t.Fatalf("part %s is quarantined, want only deadly", verdict.Trait)
				}
				found = true
			}
			evidence.Check(now)
		}
		if crashes >= 20 && !found {
			t.Fatalf("the part is not found after %d crashes", crashes)
		}
	})
}
