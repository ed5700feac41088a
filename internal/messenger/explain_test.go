package messenger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/explainer"
)

// TestHandleExplain guards against malformed questions that are answered, against refusals
// without a reason, and against questions and answers that lose something on the way.
func TestHandleExplain(t *testing.T) {
	question := explainer.Question{Route: "r", Workspace: "w", Model: "m", Adapter: "a", PromptTokens: 7, OutputTokens: 8, Prefix: []explainer.Part{{ID: "p", Tokens: 5}}}
	answer := explainer.Answer{Node: "n", Route: "r", Services: []explainer.Service{{Name: "s", Share: 1, Choice: balancer.Explanation{
		Outcome: balancer.Refuses, Refused: &balancer.Refusal{Reason: "x", RetryAfter: time.Second},
		Replicas: []balancer.ReplicaExplanation{{Replica: "r1", LeftOut: balancer.Full, Cost: 3}}, Queue: balancer.QueueExplanation{Waiting: []balancer.RankExplanation{{Rank: 1, Waiting: 2}}},
	}, Load: &explainer.Load{Holder: "h", HolderAddress: "10.0.0.1:1"}}}}
	mux := http.NewServeMux()
	HandleExplain(mux, func(_ context.Context, got explainer.Question) (explainer.Answer, error) {
		switch got.Route {
		case "invalid":
			return explainer.Answer{}, merry.Wrap(explainer.ErrInvalid, merry.AppendMessage("Prefix[0]"))
		case "unknown":
			return explainer.Answer{}, merry.Wrap(explainer.ErrUnknown, merry.AppendMessage("route"))
		case "starting":
			return explainer.Answer{}, explainer.ErrNotReady
		}
		if !reflect.DeepEqual(got, question) {
			t.Errorf("question %+v arrived as %+v", question, got)
		}
		return answer, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	client, cleanUp := NewClient(clockwork.NewRealClock())
	defer cleanUp()
	address := strings.TrimPrefix(server.URL, "http://")
	if got, err := client.Explain(context.Background(), address, question); err != nil || !reflect.DeepEqual(got, answer) {
		t.Errorf("got %+v, %v; want %+v", got, err, answer)
	}
	if _, err := client.Explain(context.Background(), address, explainer.Question{Route: "unknown"}); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "not in the configuration") {
		t.Errorf("unknown route: got %v", err)
	}
	for _, test := range []struct {
		body, text string
		status     int
	}{
		{`{"Route":"r"`, "the text ends before the value does", 400},
		{`{"Route":"r","Key":"k"}`, `unknown field "Key"`, 400},
		{`{"Route":"r"} {}`, "data after the value", 400},
		{`{"Route":"r","PromptTokens":"7"}`, `field "PromptTokens"`, 400},
		{`{"Path":"` + strings.Repeat("x", maxQuestionBytes) + `"}`, "body too large", 400},
		{`{"Route":"invalid"}`, "Prefix[0]", 400},
		{`{"Route":"unknown"}`, "route", 404},
		{`{"Route":"starting"}`, "does not know the configuration", 503},
	} {
		response, err := http.Post(server.URL+ExplainPath, "application/json", strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != test.status || !strings.Contains(string(text), test.text) {
			t.Errorf("%.40s: got %d %s; want %d %s", test.body, response.StatusCode, text, test.status, test.text)
		}
	}
}
