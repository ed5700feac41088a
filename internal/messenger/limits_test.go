package messenger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/messenger"
)

// Guards against fields of an exchange or an answer that the wire encoding loses
// or changes, and against negative token counts that are accepted.
func TestLimitsExchangeArrivesUnchanged(t *testing.T) {
	sent := limiter.Exchange{
		Holder: "a", Session: 1 << 62, Epoch: 3, Sequence: 8, Received: 7,
		Accounts: []limiter.Account{{
			Workspace: "large",
			Grants:    []limiter.GrantUse{{Grant: 6, Spent: 1.25, Returned: 2.5}},
			Used:      9.5, Donated: 3, Overdrawn: 4, Need: 5, Waiting: 6, Ahead: 7,
			Refunds: []limiter.Refund{{Since: 123456789 * time.Nanosecond, Tokens: 0.1}},
		}},
	}
	want := limiter.Answer{
		Epoch: 3, Session: 9, Stamp: 5*time.Second + 1, Standing: limiter.StandingKept, Short: []string{"large"},
		Grants:   []limiter.Grant{{Workspace: "large", Tokens: 0.3, RetryAfter: time.Millisecond}},
		Attained: []limiter.AttainedService{{Workspace: "large", Tokens: 12345}},
	}
	mux := http.NewServeMux()
	messenger.HandleLimits(mux, func(_ context.Context, got limiter.Exchange) (limiter.Answer, error) {
		if !reflect.DeepEqual(got, sent) {
			t.Errorf("received %+v; want %+v", got, sent)
		}
		return want, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	client, closeClient := messenger.NewClient(clockwork.NewRealClock())
	defer closeClient()
	got, err := client.ExchangeLimits(t.Context(), strings.TrimPrefix(server.URL, "http://"), sent)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("answered %+v, %v; want %+v", got, err, want)
	}
	sent.Accounts[0].Donated = -1
	if _, err := client.ExchangeLimits(t.Context(), strings.TrimPrefix(server.URL, "http://"), sent); err == nil {
		t.Fatal("a negative donation was accepted; want an error")
	}
}
