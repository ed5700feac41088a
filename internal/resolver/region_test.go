package resolver

import (
	"reflect"
	"testing"
)

// TestIntersectRegions guards against a route or a workspace whose regions do not bind beside
// the other's, and against an empty intersection that counts as no restriction.
func TestIntersectRegions(t *testing.T) {
	for _, test := range []struct{ route, workspace, want []string }{
		{nil, nil, nil},
		{[]string{}, nil, nil},
		{[]string{"n", "e"}, nil, []string{"e", "n"}},
		{nil, []string{"s"}, []string{"s"}},
		{[]string{"n", "e", "e"}, []string{"e", "s"}, []string{"e"}},
		{[]string{"n"}, []string{"s"}, []string{}},
	} {
		if got := IntersectRegions(test.route, test.workspace); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%v and %v give %v, want %v", test.route, test.workspace, got, test.want)
		}
	}
	dataCentres := DataCentresIn([]string{"e", "x"}, map[string]string{"e2": "e", "n1": "n", "e1": "e", "none": ""})
	if want := []string{"e1", "e2"}; !reflect.DeepEqual(dataCentres, want) {
		t.Errorf("data centres %v, want %v", dataCentres, want)
	}
}

// TestAllowedRegionsOfHost guards against a directory that ignores one of the routes of a host,
// or that applies routes of other hosts.
func TestAllowedRegionsOfHost(t *testing.T) {
	configuration := &Configuration{Routes: []Route{
		{Host: "one.example", AllowedRegions: []string{"n", "e"}},
		{Host: "one.example"},
		{Host: "ONE.example", AllowedRegions: []string{"e", "s"}},
		{Host: "free.example"},
		{Host: "none.example", AllowedRegions: []string{"n"}},
		{Host: "none.example", AllowedRegions: []string{"s"}},
	}}
	for host, want := range map[string][]string{"one.example": {"e"}, "none.example": nil, "free.example": nil} {
		regions, restricted := configuration.AllowedRegions(host)
		if !reflect.DeepEqual(regions, want) || restricted != (host != "free.example") {
			t.Errorf("%s: %v, restricted %v; want %v", host, regions, restricted, want)
		}
	}
}
