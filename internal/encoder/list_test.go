package encoder

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestDecodeListKeepsOtherItems guards against a list that one item makes unreadable.
func TestDecodeListKeepsOtherItems(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 20_000) + strings.Repeat(`]}`, 20_000)
	for _, odd := range []string{deep, `{"spec":` + deep + `}`, `7`, `"a\"],[{"`, `[1,[2]]`, `null`, `1e400`, `{"a":"}]"}`} {
		rest, items, err := DecodeList[struct {
			More bool `json:"more"`
		}]([]byte(`{"items": [ {"n":1}, `+odd+` ,{"n":2}] , "more":true}`), "items")
		if err != nil || len(items) != 3 || string(items[0]) != `{"n":1}` || string(items[1]) != odd || string(items[2]) != `{"n":2}` || !rest.More {
			t.Errorf("%.60q: %d items, more %v, error %v", odd, len(items), rest.More, err)
		}
	}
}

// FuzzDecodeList guards against a list that is split otherwise than encoding/json does, and
// against input that is not refused.
func FuzzDecodeList(f *testing.F) {
	for _, seed := range []string{
		`{"items":[]}`, `{"items":[1,"a,]",{"b":[{}]}],"more":true}`, `{"items":[1,]}`, `{"items":[,1]}`, `{"items":{}}`, `{"items":[1}`,
		`{"a":"\"","items":[null]}`, `{`, `[`, `"`, `{"items" [1]}`, `{"items":[1]}}`, `{"a":1,}`, `{"items":["\\"]}`, ` { "items" : [ 1 , 2 ] } `, `{"items":]1[}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, items, err := DecodeList[struct{}]([]byte(text), "items")
		var want struct{ Items []json.RawMessage }
		fields := map[string]json.RawMessage{}
		if !json.Valid([]byte(text)) || json.Unmarshal([]byte(text), &fields) != nil || strings.Count(strings.ToLower(text), "items") != 1 {
			return
		}
		if json.Unmarshal(fields["items"], &want.Items) != nil {
			return
		}
		if err != nil || len(items) != len(want.Items) {
			t.Fatalf("%q: %d items, error %v, want %d", text, len(items), err, len(want.Items))
		}
		for i, item := range items {
			if string(item) != strings.TrimSpace(string(want.Items[i])) {
				t.Errorf("%q: item %d is %q, want %q", text, i, item, want.Items[i])
			}
		}
	})
}
