package messenger

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/explainer"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/permitter"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/recorder"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// message is a message between nodes with all its fields set.
type message struct {
	name string
	// handle registers the handlers, which pass what they have decoded to got.
	handle func(mux *http.ServeMux, got func(any))
	// send sends the message and returns the decoded answer.
	send func(ctx context.Context, client *Client, address string) (any, error)
}

var messages = []message{
	reportMessage("report", func(*planner.Answer) {}),
	reportMessage("report-large", func(answer *planner.Answer) {
		for len(answer.State.Replicas) < 15 {
			answer.State.Replicas = append(answer.State.Replicas, answer.State.Replicas[0])
		}
	}),
	{
		"permit",
		func(mux *http.ServeMux, got func(any)) {
			HandlePermits(mux, func(_ context.Context, request permitter.Request) (permitter.Decision, error) {
				got(request)
				return tester.Full[permitter.Decision](), nil
			}, func(permitter.Release) error { return nil })
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.AcquirePermit(ctx, address, tester.Full[permitter.Request]())
		},
	},
	{
		"permit-release",
		func(mux *http.ServeMux, got func(any)) {
			HandlePermits(mux, nil, func(release permitter.Release) error {
				got(release)
				return nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return nil, client.ReleasePermit(ctx, address, tester.Full[permitter.Release]())
		},
	},
	{
		"streams",
		func(mux *http.ServeMux, got func(any)) {
			HandleStreams(mux, func(records []resumer.Record) error {
				got(records)
				return nil
			}, nil)
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return nil, client.RememberStreams(ctx, address, tester.Full[[]resumer.Record]())
		},
	},
	{
		"stream",
		func(mux *http.ServeMux, got func(any)) {
			HandleStreams(mux, nil, func(_ context.Context, stream string) (resumer.Origin, bool, error) {
				got(stream)
				return tester.Full[resumer.Origin](), true, nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			origin, _, err := client.LookUpStream(ctx, address, "stream")
			return origin, err
		},
	},
	{
		"explain",
		func(mux *http.ServeMux, got func(any)) {
			HandleExplain(mux, func(_ context.Context, question explainer.Question) (explainer.Answer, error) {
				got(question)
				return tester.Full[explainer.Answer](), nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.Explain(ctx, address, tester.Full[explainer.Question]())
		},
	},
	{
		"push",
		func(mux *http.ServeMux, got func(any)) {
			HandlePush(mux, func(items []spreader.Item) error {
				got(items)
				return nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			items := tester.Full[[]spreader.Item]()
			items[0].Value = []byte(`{"A":1}`)
			return nil, client.Push(ctx, address, items)
		},
	},
	{
		"pull",
		func(mux *http.ServeMux, got func(any)) {
			HandlePull(mux, func(_ context.Context, version uint64) (configurer.Answer, error) {
				got(version)
				return configurer.Answer{Version: 8, Ages: tester.Full[map[configurer.Source]time.Duration]()}, nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.Pull(ctx, address, 7)
		},
	},
	{
		"intents",
		func(mux *http.ServeMux, got func(any)) {
			HandleIntents(mux, func(_ context.Context, operation recorder.Operation) (recorder.Result, error) {
				got(operation)
				return recorder.Done{Record: filter.Known{Reply: tester.Full[filter.Reply]()}}, nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.SendOperation(ctx, address, recorder.Operation{
				Key: tester.Full[recorder.Key](), ID: "id", Digest: "digest", Action: recorder.Finish{Reply: tester.Full[filter.Reply]()},
			})
		},
	},
	{
		"limits",
		func(mux *http.ServeMux, got func(any)) {
			HandleLimits(mux, func(_ context.Context, exchange limiter.Exchange) (limiter.Answer, error) {
				got(exchange)
				answer := tester.Full[limiter.Answer]()
				answer.Standing = limiter.StandingKept
				return answer, nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.ExchangeLimits(ctx, address, tester.Full[limiter.Exchange]())
		},
	},
	{
		"demand",
		func(mux *http.ServeMux, got func(any)) {
			mux.Handle("POST "+DemandPath, HandleDemand(demandClock, func(demand placer.Demand) error {
				got(demand)
				return nil
			}))
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return nil, SendDemand(ctx, client, address, "node", []placer.Demand{{
				Model: "model@1", Adapter: "adapter@2", Class: filter.Assured, Waiting: 3, EarliestDeadline: demandClock.Now().Add(time.Second),
			}})
		},
	},
}

var demandClock = clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))

func reportMessage(name string, prepare func(*planner.Answer)) message {
	return message{
		name,
		func(mux *http.ServeMux, got func(any)) {
			HandleReport(mux, ReportSettings{
				Answer: func(_ context.Context, report planner.Report) (planner.Answer, error) {
					got(report)
					answer := tester.Full[planner.Answer]()
					prepare(&answer)
					return answer, nil
				},
				Observe: func(FormUse) {},
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.Report(ctx, address, tester.Full[planner.Report]())
		},
	}
}
