// Package meter provides a node's metrics for monitoring.
//
// It defines all OpenTelemetry instruments in one place, so that names and
// units are consistent and no label contains a key or text supplied by a
// caller.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// Meter holds a node's metric instruments.
type Meter struct {
	registry   *prometheus.Registry
	meter      metric.Meter
	requests   metric.Int64Counter
	tokens     metric.Int64Counter
	duration   metric.Float64Histogram
	firstToken metric.Float64Histogram
	attempts   metric.Int64Counter
	changes    metric.Int64Counter
	estimates  metric.Float64Histogram
	waits      metric.Float64Histogram
	prompts    metric.Int64Counter
}

// durationBounds are the bucket boundaries of the duration histograms, in
// seconds.
var durationBounds = []float64{0.01, 0.03, 0.1, 0.31, 1, 3, 10, 30, 100, 300}

// ratioBounds are the bucket boundaries of the histogram of estimates.
var ratioBounds = []float64{0.1, 0.25, 0.5, 0.67, 0.8, 1, 1.25, 1.5, 2, 4, 10}

// New returns a meter and a function that shuts it down.
func New() (*Meter, func(), error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, nil, merry.Wrap(err, merry.PrependMessage("metrics exporter"))
	}
	nodeResource := resource.NewSchemaless(attribute.String("service.name", "toucanhitch"))
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithResource(nodeResource))
	m := &Meter{registry: registry, meter: provider.Meter("toucanhitch")}
	if err := m.createInstruments(); err != nil {
		return nil, nil, err
	}
	return m, func() { _ = provider.Shutdown(context.Background()) }, nil
}

func (m *Meter) createInstruments() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("toucanhitch.requests",
		metric.WithDescription("Requests that ended, by class and reason of refusal.")); err != nil {
		return merry.Wrap(err)
	}
	if m.tokens, err = m.meter.Int64Counter("toucanhitch.tokens",
		metric.WithDescription("Generated tokens that went to callers.")); err != nil {
		return merry.Wrap(err)
	}
	if m.firstToken, err = m.meter.Float64Histogram("toucanhitch.first_token.duration",
		metric.WithDescription("Time from a request's arrival to its first token."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return merry.Wrap(err)
	}
	if m.attempts, err = m.meter.Int64Counter("toucanhitch.attempts",
		metric.WithDescription("Attempts at replicas, by what became of them.")); err != nil {
		return merry.Wrap(err)
	}
	if m.changes, err = m.meter.Int64Counter("toucanhitch.changes",
		metric.WithDescription("Decisions about the fleet and changes of beliefs, by the part that made them.")); err != nil {
		return merry.Wrap(err)
	}
	if m.prompts, err = m.meter.Int64Counter("toucanhitch.prompt.tokens",
		metric.WithDescription("Prompt tokens of attempts, by whether the replica was expected to keep them.")); err != nil {
		return merry.Wrap(err)
	}
	if m.estimates, err = m.meter.Float64Histogram("toucanhitch.estimate.ratio",
		metric.WithDescription("Estimated time of an attempt divided by the measured one, by the part that was estimated."),
		metric.WithExplicitBucketBoundaries(ratioBounds...)); err != nil {
		return merry.Wrap(err)
	}
	if m.waits, err = m.meter.Float64Histogram("toucanhitch.wait.duration",
		metric.WithDescription("Time for which a request waited for a replica or for quota until it was served or refused."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return merry.Wrap(err)
	}
	m.duration, err = m.meter.Float64Histogram("toucanhitch.request.duration",
		metric.WithDescription("Time from a request's arrival to its end."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBounds...))
	return merry.Wrap(err)
}

// Token implements server.Observer.
func (m *Meter) Token() { m.tokens.Add(context.Background(), 1) }

// Ended implements server.Observer.
func (m *Meter) Ended(class filter.Class, reason filter.Reason, duration time.Duration) {
	if reason == "" {
		reason = "answered"
	}
	attributes := metric.WithAttributes(
		attribute.String("class", classLabel(class)), attribute.String("reason", string(reason)))
	m.requests.Add(context.Background(), 1, attributes)
	m.duration.Record(context.Background(), duration.Seconds(), attributes)
}

// FirstToken implements server.Observer.
func (m *Meter) FirstToken(class filter.Class, duration time.Duration) {
	m.firstToken.Record(context.Background(), duration.Seconds(),
		metric.WithAttributes(attribute.String("class", classLabel(class))))
}

// RecordAttempt counts an attempt at a replica by class and result. If
// firstByte is positive, it also records it as the time to the first token.
func (m *Meter) RecordAttempt(class filter.Class, result string, firstByte time.Duration) {
	m.attempts.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("class", classLabel(class)), attribute.String("result", result)))
	if firstByte > 0 {
		m.FirstToken(class, firstByte)
	}
}

// RecordEstimate records the ratio of an estimate to the measurement. part is what was
// estimated. Without an estimate or a measurement it records nothing.
func (m *Meter) RecordEstimate(part string, estimate, measurement time.Duration) {
	if estimate > 0 && measurement > 0 {
		m.estimates.Record(context.Background(), float64(estimate)/float64(measurement), metric.WithAttributes(attribute.String("part", part)))
	}
}

// RecordPrompt counts the tokens of a prompt, cached of which the replica was expected to keep.
func (m *Meter) RecordPrompt(tokens, cached int) {
	for state, count := range map[string]int{"cached": cached, "read": tokens - cached} {
		if count > 0 {
			m.prompts.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("state", state)))
		}
	}
}

// RecordChange counts a decision about the fleet or a change in a node's view
// of a replica. part is the component that reports it; kind is the text of its
// log line.
func (m *Meter) RecordChange(part, kind string) {
	m.changes.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("part", part), attribute.String("kind", kind)))
}

// RecordWait records how long a request of a rank waited for a resource, and whether it was
// refused then. Ranks above maxRankLabel have one label.
func (m *Meter) RecordWait(resource string, rank int, refused bool, duration time.Duration) {
	m.waits.Record(context.Background(), duration.Seconds(), metric.WithAttributes(
		attribute.String("for", resource), attribute.Int("rank", min(max(0, rank), maxRankLabel)), attribute.Bool("refused", refused)))
}

// maxRankLabel bounds the number of label values.
const maxRankLabel = 9

// classLabel returns the class as a label value. Unknown classes become
// "none", so that text supplied by a caller never becomes a label.
func classLabel(class filter.Class) string {
	switch class {
	case filter.Interactive, filter.Assured, filter.Deferred,
		filter.Class(resolver.Idempotent), filter.Class(resolver.NonIdempotent), filter.Class(resolver.Streaming):
		return string(class)
	default:
		return "none"
	}
}

// AddGauge adds a gauge whose value is read by calling read at each
// collection.
func (m *Meter) AddGauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return merry.Wrap(err)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
