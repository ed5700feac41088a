package balancer

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// TestExplainChangesNothing guards against questions that change later answers: the trace of
// the script explain without its questions is that of explain_none, which has none.
func TestExplainChangesNothing(t *testing.T) {
	asked, questions := readTrace(t, "testdata/explain.golden")
	notAsked, none := readTrace(t, "testdata/explain_none.golden")
	if questions == 0 || none != 0 {
		t.Fatalf("the scripts have %d and %d questions, want some and none", questions, none)
	}
	if !slices.Equal(asked, notAsked) {
		t.Errorf("with questions:\n%s\nwithout:\n%s", strings.Join(asked, "\n"), strings.Join(notAsked, "\n"))
	}
}

// readTrace returns the lines of a trace without questions and their answers, and the number of
// questions.
func readTrace(t *testing.T, path string) ([]string, int) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	questions := 0
	for line := range strings.Lines(string(data)) {
		switch {
		case strings.Contains(line, " Explain {"):
			questions++
		case !strings.Contains(line, "AnswerExplain {"):
			lines = append(lines, line)
		}
	}
	return lines, questions
}
