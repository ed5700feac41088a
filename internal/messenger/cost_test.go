package messenger

import (
	"fmt"
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/limiter"
)

// Guards against control messages that outgrow what docs/scheduling.md says
// they cost a node. With -v it prints the sizes.
func TestControlMessagesAreSmall(t *testing.T) {
	var accounts, told int
	for index := range 5 {
		name := fmt.Sprint("workspace-", index)
		account := limitsAccount{Workspace: name, Need: 1}
		before := len(encoder.Encode(account))
		account.Used = 1234567.25
		accounts += len(encoder.Encode(account)) - before
		answer := limiter.Answer{Attained: []limiter.AttainedService{{Workspace: name, Tokens: 1234567.25}}}
		told += len(encoder.Encode(encodeAnswer(answer))) - len(encoder.Encode(encodeAnswer(limiter.Answer{})))
	}
	t.Logf("5 workspaces: %d bytes in a report, %d in an answer", accounts, told)
	if accounts > 100 || told > 400 {
		t.Errorf("5 workspaces take %d bytes in a report and %d in an answer; want at most 100 and 400", accounts, told)
	}
}
