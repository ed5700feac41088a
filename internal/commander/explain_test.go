package commander_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/commander"
	"toucanhitch.example/toucanhitch/internal/explainer"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestExplainAsksHolder guards against a load that is not asked of the holder, against an answer
// that is lost because the holder cannot be asked, and against wrong exit codes.
func TestExplainAsksHolder(t *testing.T) {
	serve := func(load *explainer.Load) string {
		mux := http.NewServeMux()
		messenger.HandleExplain(mux, func(_ context.Context, question explainer.Question) (explainer.Answer, error) {
			if question.Route != "r" {
				return explainer.Answer{}, merry.Wrap(explainer.ErrUnknown, merry.AppendMessage("route"))
			}
			return explainer.Answer{Services: []explainer.Service{{Name: "llm", Share: 1, Choice: balancer.Explanation{Outcome: balancer.Waits}, Load: load}}}, nil
		})
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	holder := serve(&explainer.Load{Explanation: planner.Explanation{Holding: true, Replica: "r7", DataCentre: "a", Source: "disk", Unloads: []string{"k"}}})
	gone := tester.FreeAddress(t)
	for _, test := range []struct {
		node, route, want string
		code              int
	}{
		{serve(&explainer.Load{Holder: "n2", HolderAddress: holder}), "r", "Load: r7 (a) would load the model from disk after unloading k.", commander.ExitDone},
		{serve(&explainer.Load{Holder: "n2", HolderAddress: gone}), "r", "The holder n2 did not answer", commander.ExitDone},
		{serve(&explainer.Load{Holder: "n2"}), "r", "only the holder, n2, knows", commander.ExitDone},
		{serve(&explainer.Load{}), "r", "no holder is known", commander.ExitDone},
		{holder, "other", "not in the configuration", commander.ExitFailed},
		{gone, "r", "peer did not answer", commander.ExitUnavailable},
		{holder, "", "Route, or Host and Path, must be given", commander.ExitInvalid},
	} {
		var output bytes.Buffer
		code := commander.Main(context.Background(), []string{"explain", "--node", test.node, "--route", test.route}, &output, &output)
		if code != test.code || !strings.Contains(output.String(), test.want) {
			t.Errorf("exit code %d with %s; want %d with %q", code, &output, test.code, test.want)
		}
	}
}
