package forwarder

import (
	"fmt"
	"slices"
	"testing"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// TestRestrictRegions guards against requests that may run anywhere although their route or
// workspace allows some regions only, against refusals that do not state that the request has
// not run, and against a log line for each of them.
func TestRestrictRegions(t *testing.T) {
	configuration := &resolver.Configuration{Version: 1}
	var logged []string
	restrict := &RestrictRegions{
		View: oldView{configuration: configuration}, Regions: map[string]string{"n1": "n", "e1": "e", "e2": "e"},
		Log: func(version uint64, route, workspace string) {
			logged = append(logged, fmt.Sprint(version, route, workspace))
		},
	}
	for _, test := range []struct {
		route, workspace []string
		want             []string
		refused          bool
	}{
		{nil, nil, nil, false},
		{[]string{"e"}, nil, []string{"e1", "e2"}, false},
		{nil, []string{"n"}, []string{"n1"}, false},
		{[]string{"e", "n"}, []string{"n", "s"}, []string{"n1"}, false},
		{[]string{"e"}, []string{"n"}, nil, true},
		{[]string{"s"}, nil, nil, true},
		{[]string{"e"}, []string{"n"}, nil, true},
	} {
		forward := &filter.Forward{
			Route: resolver.Route{Name: "r", AllowedRegions: test.route}, Workspace: resolver.Workspace{Name: "w", AllowedRegions: test.workspace},
		}
		verdict := restrict.Filter(t.Context(), &filter.Request{Work: forward})
		refuse, refused := verdict.(filter.Refuse)
		if refused != test.refused || !refused && !slices.Equal(forward.DataCentres, test.want) {
			t.Errorf("%v and %v: %+v, data centres %v", test.route, test.workspace, verdict, forward.DataCentres)
		}
		if refused && (refuse.Refusal.Run != filter.NotRun || refuse.Refusal.Reason != filter.NoEndpoint) {
			t.Errorf("refusal is %+v", refuse.Refusal)
		}
	}
	configuration.Version = 2
	restrict.Filter(t.Context(), &filter.Request{Work: &filter.Forward{Route: resolver.Route{Name: "r", AllowedRegions: []string{"x"}}}})
	if want := []string{"1rw", "2r"}; !slices.Equal(logged, want) {
		t.Errorf("logged %q, want %q", logged, want)
	}
}
