package messenger

import (
	"fmt"
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/limiter"
)

// Guards against control messages that exceed the per-node cost documented in
// docs/scheduling.md. With -v it prints the sizes.
func TestControlMessagesAreSmall(t *testing.T) {
	var reportBytes, answerBytes int
	for index := range 5 {
		name := fmt.Sprint("workspace-", index)
		account := limitsAccount{Workspace: name, Need: 1}
		emptyBytes := len(encoder.Encode(account))
		account.Used = 1234567.25
		reportBytes += len(encoder.Encode(account)) - emptyBytes
		answer := limiter.Answer{Attained: []limiter.AttainedService{{Workspace: name, Tokens: 1234567.25}}}
		answerBytes += len(encoder.Encode(encodeAnswer(answer))) - len(encoder.Encode(encodeAnswer(limiter.Answer{})))
	}
	t.Logf("5 workspaces: %d bytes in a report, %d in an answer", reportBytes, answerBytes)
	if reportBytes > 100 || answerBytes > 400 {
		t.Errorf("5 workspaces take %d bytes in a report and %d in an answer; want at most 100 and 400", reportBytes, answerBytes)
	}
}
