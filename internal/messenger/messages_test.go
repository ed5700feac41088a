package messenger

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"reflect"
	"strings"
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
				return full[permitter.Decision](), nil
			}, func(permitter.Release) error { return nil })
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.AcquirePermit(ctx, address, full[permitter.Request]())
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
			return nil, client.ReleasePermit(ctx, address, full[permitter.Release]())
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
			return nil, client.RememberStreams(ctx, address, full[[]resumer.Record]())
		},
	},
	{
		"stream",
		func(mux *http.ServeMux, got func(any)) {
			HandleStreams(mux, nil, func(_ context.Context, stream string) (resumer.Origin, bool, error) {
				got(stream)
				return full[resumer.Origin](), true, nil
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
				return full[explainer.Answer](), nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.Explain(ctx, address, full[explainer.Question]())
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
			items := full[[]spreader.Item]()
			items[0].Value = []byte(`{"A":1}`)
			return nil, client.Push(ctx, address, items)
		},
	},
	{
		"pull",
		func(mux *http.ServeMux, got func(any)) {
			HandlePull(mux, func(_ context.Context, version uint64) (configurer.Answer, error) {
				got(version)
				return configurer.Answer{Version: 8, Ages: full[map[configurer.Source]time.Duration]()}, nil
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
				return recorder.Done{Record: filter.Known{Reply: full[filter.Reply]()}}, nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.SendOperation(ctx, address, recorder.Operation{
				Key: full[recorder.Key](), ID: "id", Digest: "digest", Action: recorder.Finish{Reply: full[filter.Reply]()},
			})
		},
	},
	{
		"limits",
		func(mux *http.ServeMux, got func(any)) {
			HandleLimits(mux, func(_ context.Context, exchange limiter.Exchange) (limiter.Answer, error) {
				got(exchange)
				answer := full[limiter.Answer]()
				answer.Standing = limiter.StandingKept
				return answer, nil
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.ExchangeLimits(ctx, address, full[limiter.Exchange]())
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
					answer := full[planner.Answer]()
					prepare(&answer)
					return answer, nil
				},
				Observe: func(FormUse) {},
			})
		},
		func(ctx context.Context, client *Client, address string) (any, error) {
			return client.Report(ctx, address, full[planner.Report]())
		},
	}
}

// full returns a value with all exported fields set. A field's value follows from its name, so
// that it does not depend on the other fields.
func full[V any]() V {
	var value V
	fill(reflect.ValueOf(&value).Elem(), "value")
	return value
}

func fill(value reflect.Value, name string) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	number := 1 + int64(hash.Sum32()%100)
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if value.Type() == reflect.TypeFor[time.Duration]() {
			number *= int64(time.Millisecond)
		}
		value.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) + 0.5)
	case reflect.String:
		value.SetString(strings.ToLower(name))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), name)
	case reflect.Slice:
		if value.Type() == reflect.TypeFor[json.RawMessage]() {
			value.SetBytes([]byte(`{"A":1}`))
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), name)
	case reflect.Map:
		key, entry := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, name)
		fill(entry, name)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, entry)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fill(value.Field(i), field.Name)
			}
		}
	}
}
