package messenger

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// formPeer is a node that takes reports in some forms only.
type formPeer struct {
	address string
	mutex   sync.Mutex
	// handler is nil while the node answers nothing.
	handler http.Handler
	answer  planner.Answer
	// limit is the number of requests that it answers between two calls of takePaths, 0 for all.
	limit int
	// reports are the reports that it has processed, paths the requests that it got, and uses
	// what it observed.
	reports []planner.Report
	paths   []string
	uses    []FormUse
}

func startFormPeer(t *testing.T, forms ...Form) *formPeer {
	t.Helper()
	peer := &formPeer{answer: fullAnswer()}
	peer.take(forms...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.mutex.Lock()
		defer peer.mutex.Unlock()
		peer.paths = append(peer.paths, r.URL.Path)
		if peer.handler == nil || peer.limit > 0 && len(peer.paths) > peer.limit {
			panic(http.ErrAbortHandler)
		}
		peer.handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	peer.address = strings.TrimPrefix(server.URL, "http://")
	return peer
}

// take makes the node one that takes reports in some forms, the newest first, or that answers
// nothing if there are none.
func (p *formPeer) take(forms ...Form) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.handler = nil
	if len(forms) == 0 {
		return
	}
	mux := http.NewServeMux()
	handleReport(mux, ReportSettings{
		Answer: func(_ context.Context, report planner.Report) (planner.Answer, error) {
			p.reports = append(p.reports, report)
			return p.answer, nil
		},
		Observe: func(use FormUse) { p.uses = append(p.uses, use) },
	}, forms)
	HandleUnknown(mux, func(use FormUse) { p.uses = append(p.uses, use) })
	p.handler = mux
}

// takePaths returns the paths of the requests since the last call.
func (p *formPeer) takePaths() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	paths := strings.Join(p.paths, " ")
	p.paths = nil
	return paths
}

func fullReport() planner.Report {
	return planner.Report{
		Node: surveyor.Node{Name: "n1", RunID: "r1"}, Sequence: 3, Partitioned: true,
		Demands: []planner.Demand{
			{Service: "s", Model: "m", Waiting: 2, TimeToDeadline: 5, TimeToLate: 9},
			{Service: "s", Model: "m", Waiting: 1, Version: "v2", TimeToDeadline: 7, TimeToLate: 4, ReplicasFull: true},
			{Service: "s", Model: "m", Waiting: 1, DataCentres: []string{"a"}},
		},
		RateLimits: []planner.RateLimit{{Replica: "i-1", Rate: 4, Brittle: true, MaxRefusals: 3}},
	}
}

func fullAnswer() planner.Answer {
	return planner.Answer{Holding: true, Holder: "n2", State: &planner.State{
		Epoch: 3, Version: 7, Brittle: map[string]int{"i-1": 3}, Partitioned: []string{"n1"}, RateLimits: []float64{4},
	}}
}

// newFormClient returns a client that sends reports in some forms, and the uses that it observes.
func newFormClient(t *testing.T, clock clockwork.Clock, forms ...Form) (*Client, *[]FormUse) {
	t.Helper()
	client, closeClient := NewClient(clock)
	t.Cleanup(closeClient)
	uses := &[]FormUse{}
	client.Observe = func(use FormUse) { *uses = append(*uses, use) }
	client.reportForms = forms
	return client, uses
}

// TestReportsBetweenForms guards against nodes of two builds that do not hear each other, and
// against fields that a build of an earlier form refuses.
func TestReportsBetweenForms(t *testing.T) {
	earlierReport, earlierAnswer := fullReport(), fullAnswer()
	earlierReport.Partitioned = false
	earlierReport.RateLimits = []planner.RateLimit{{Replica: "i-1", Rate: 4, BrittleUnknown: true}}
	earlierReport.Demands = []planner.Demand{
		{Service: "s", Model: "m", Waiting: 3, TimeToDeadline: 7, TimeToLate: 9, ReplicasFull: true},
		{Service: "s", Model: "m", Waiting: 1, DataCentres: []string{"a"}},
	}
	earlierAnswer.State.Brittle, earlierAnswer.State.Partitioned, earlierAnswer.State.BrittleUnknown = nil, nil, true
	for _, test := range []struct {
		name             string
		sender, receiver []Form
		report           planner.Report
		answer           planner.Answer
		paths            string
	}{
		{"newest", reportForms, reportForms, fullReport(), fullAnswer(), "/peer/v7/report"},
		{"to b6bbad4", reportForms, []Form{FormV6}, fullReport(), fullAnswer(), "/peer/v7/report /peer/v6/report"},
		{"to 6c37a91", reportForms, []Form{FormV5}, earlierReport, earlierAnswer, "/peer/v7/report /peer/v6/report /peer/v5/report"},
		{"from b6bbad4", []Form{FormV6}, reportForms, fullReport(), fullAnswer(), "/peer/v6/report"},
		{"from 6c37a91", []Form{FormV5}, reportForms, earlierReport, earlierAnswer, "/peer/v5/report"},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer := startFormPeer(t, test.receiver...)
			client, uses := newFormClient(t, clockwork.NewFakeClock(), test.sender...)
			for i := range 3 {
				answer, err := client.Report(t.Context(), peer.address, fullReport())
				if err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(answer, test.answer) || len(peer.reports) != i+1 || !reflect.DeepEqual(peer.reports[i], test.report) {
					t.Fatalf("got answer %+v to reports %+v; want %+v to %+v", answer, peer.reports, test.answer, test.report)
				}
			}
			last := test.paths[strings.LastIndex(test.paths, "/peer"):]
			if got := peer.takePaths(); got != test.paths+" "+last+" "+last {
				t.Errorf("requests to %s", got)
			}
			for _, observed := range []struct {
				uses    []FormUse
				earlier bool
				text    string
			}{
				{*uses, len(test.receiver) == 1, sentEarlier},
				{peer.uses, len(test.sender) == 1, receivedEarlier},
			} {
				var matching []FormUse
				for _, use := range observed.uses {
					if use.Text == observed.text {
						matching = append(matching, use)
					}
				}
				if observed.earlier && (len(matching) != 3 || !matching[0].First || matching[1].First) || !observed.earlier && len(matching) != 0 {
					t.Errorf("observed %+v", matching)
				}
			}
		})
	}
}

// TestReplacedPeer guards against a node that goes on with an earlier form after its peer was
// replaced by one of a newer build, or with a newer form after it was replaced by one of an
// earlier.
func TestReplacedPeer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer := startFormPeer(t, FormV5)
	client, uses := newFormClient(t, clock, reportForms...)
	send := func(want string) {
		t.Helper()
		peer.takePaths()
		if _, err := client.Report(t.Context(), peer.address, fullReport()); err != nil {
			t.Fatal(err)
		}
		if got := peer.takePaths(); got != want {
			t.Errorf("requests to %s, want %s", got, want)
		}
	}
	send("/peer/v7/report /peer/v6/report /peer/v5/report")
	send("/peer/v5/report")
	peer.take()
	if _, err := client.Report(t.Context(), peer.address, fullReport()); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want %v", err, ErrUnreachable)
	}
	peer.take(FormV5)
	send("/peer/v7/report /peer/v6/report /peer/v5/report")
	peer.take(reportForms...)
	send("/peer/v5/report")
	clock.Advance(formCheckInterval)
	send("/peer/v7/report")
	send("/peer/v7/report")
	peer.take(FormV6)
	send("/peer/v7/report /peer/v6/report")
	var logged []string
	for _, use := range *uses {
		if use.First {
			logged = append(logged, use.Text)
		}
	}
	if want := []string{sentEarlier, sentNewest, sentEarlier}; !reflect.DeepEqual(logged, want) {
		t.Errorf("logged %q, want %q", logged, want)
	}
}

// TestSlowPeer guards against a node that never gets an answer from a peer of an earlier build,
// because the time for one exchange ends between two forms and the next exchange starts with
// the newest again.
func TestSlowPeer(t *testing.T) {
	peer := startFormPeer(t, FormV5)
	client, _ := newFormClient(t, clockwork.NewFakeClock(), reportForms...)
	peer.limit = 1
	for _, want := range []string{"/peer/v7/report /peer/v6/report", "/peer/v6/report /peer/v5/report", "/peer/v5/report"} {
		_, err := client.Report(t.Context(), peer.address, fullReport())
		got := peer.takePaths()
		if got != want {
			t.Errorf("requests to %s, want %s", got, want)
		}
		if wantErr := strings.Contains(want, " "); errors.Is(err, ErrUnreachable) != wantErr {
			t.Errorf("requests to %s: error %v", got, err)
		}
	}
}

// TestNoCommonForm guards against a node of a build without a common form that is asked over
// and over, or whose messages are misread.
func TestNoCommonForm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer := startFormPeer(t, 8)
	client, uses := newFormClient(t, clock, reportForms...)
	for range 5 {
		_, err := client.Report(t.Context(), peer.address, fullReport())
		if !errors.Is(err, ErrUnknownMessage) || !errors.Is(err, ErrRefused) {
			t.Fatalf("got %v, want %v", err, ErrUnknownMessage)
		}
		clock.Advance(time.Second)
	}
	if got := peer.takePaths(); got != "/peer/v7/report /peer/v6/report /peer/v5/report" || len(peer.reports) != 0 {
		t.Errorf("the peer got %s and processed %d reports", got, len(peer.reports))
	}
	if len(peer.uses) != 3 || peer.uses[0].Text != unknownMessage || !peer.uses[0].First {
		t.Errorf("the peer observed %+v", peer.uses)
	}
	if len(*uses) != 5 || (*uses)[0].Text != noCommonForm || !(*uses)[0].First || (*uses)[1].First {
		t.Errorf("observed %+v", *uses)
	}
}

// TestAddedFields guards against messages of later builds that are refused because they have
// more fields.
func TestAddedFields(t *testing.T) {
	mux := http.NewServeMux()
	HandleReport(mux, ReportSettings{Answer: func(_ context.Context, report planner.Report) (planner.Answer, error) {
		return planner.Answer{Holder: report.Node.Name}, nil
	}})
	request := `{"Report":{"Node":{"Name":"n1","Rack":"k"},"Later":[{"A":1}]},"Later":{}}`
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, FormV7.path(), strings.NewReader(request)))
	if recorder.Code != http.StatusOK || !strings.Contains(recorder.Body.String(), `"Holder":"n1"`) {
		t.Errorf("status %d: %s", recorder.Code, recorder.Body)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Holding":true,"Later":1,"State":{"Plain":{"Epoch":4,"Later":{}}},"View":{"Plain":{"Later":[]}}}`))
	}))
	defer server.Close()
	client, _ := newFormClient(t, clockwork.NewFakeClock(), reportForms...)
	answer, err := client.Report(t.Context(), strings.TrimPrefix(server.URL, "http://"), fullReport())
	if err != nil || !answer.Holding || answer.State == nil || answer.State.Epoch != 4 || answer.View == nil {
		t.Errorf("got %+v, error %v", answer, err)
	}
}
