// Package telemetry tells an OpenTelemetry collector of what the core does, by OTLP over
// HTTP: a span for each transaction with one for each of its routed tasks, and metrics.
//
// It is off unless one of the standard OTEL_EXPORTER_OTLP_*ENDPOINT variables is set; the
// SDK reads those and the other OTEL_ variables itself. It is bounded: spans wait in a
// queue of fixed length and are dropped beyond it, so a collector that is dead or slow
// costs telemetry and no requests.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

const (
	scope = "tinroute.example/tinroute"
	// Spans that wait for the collector; a span takes about a kilobyte.
	queueSize = 2048
	batchSize = 256
	// exportWait bounds one call, and closeWait the last ones, so that a dead collector
	// cannot hold up the end.
	exportWait = 5 * time.Second
	closeWait  = time.Second
)

// Telemetry holds the SDK's providers.
type Telemetry struct {
	traces  *sdktrace.TracerProvider
	metrics *sdkmetric.MeterProvider
}

// New starts telemetry, or returns nil where no endpoint is configured.
func New(ctx context.Context, getenv func(string) string, instance string, log *slog.Logger) (*Telemetry, error) {
	all := getenv("OTEL_EXPORTER_OTLP_ENDPOINT") != ""
	wantTraces := all || getenv("OTEL_EXPORTER_OTLP_TRACES_ENDPOINT") != ""
	wantMetrics := all || getenv("OTEL_EXPORTER_OTLP_METRICS_ENDPOINT") != ""
	if !wantTraces && !wantMetrics || getenv("OTEL_SDK_DISABLED") == "true" {
		return nil, nil
	}
	if p := getenv("OTEL_EXPORTER_OTLP_PROTOCOL"); p != "" && p != "http/protobuf" {
		return nil, fmt.Errorf("OTEL_EXPORTER_OTLP_PROTOCOL: %q is not served, only http/protobuf", p)
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("telemetry", "err", err) }))
	res, err := resource.New(ctx, resource.WithAttributes(attribute.String("service.name", "tinroute"),
		attribute.String("service.instance.id", instance)), resource.WithFromEnv(), resource.WithTelemetrySDK())
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	t := &Telemetry{}
	traceOptions := []sdktrace.TracerProviderOption{sdktrace.WithResource(res)}
	if wantTraces {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithTimeout(exportWait),
			otlptracehttp.WithRetry(otlptracehttp.RetryConfig{}))
		if err != nil {
			return nil, fmt.Errorf("OTEL_EXPORTER_OTLP_TRACES_ENDPOINT: %w", err)
		}
		traceOptions = append(traceOptions, sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(queueSize),
			sdktrace.WithMaxExportBatchSize(batchSize), sdktrace.WithExportTimeout(exportWait)))
	}
	metricOptions := []sdkmetric.Option{sdkmetric.WithResource(res)}
	if wantMetrics {
		exporter, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithTimeout(exportWait),
			otlpmetrichttp.WithRetry(otlpmetrichttp.RetryConfig{}))
		if err != nil {
			return nil, fmt.Errorf("OTEL_EXPORTER_OTLP_METRICS_ENDPOINT: %w", err)
		}
		metricOptions = append(metricOptions, sdkmetric.WithReader(sdkmetric.NewPeriodicReader(exporter,
			sdkmetric.WithTimeout(exportWait))))
	}
	t.traces, t.metrics = sdktrace.NewTracerProvider(traceOptions...), sdkmetric.NewMeterProvider(metricOptions...)
	return t, nil
}

// Close sends what is left, within a bound.
func (t *Telemetry) Close() error {
	ctx, stop := context.WithTimeout(context.Background(), closeWait)
	defer stop()
	return errors.Join(t.traces.Shutdown(ctx), t.metrics.Shutdown(ctx))
}

// Observer watches one core. Its methods run on the core's goroutine, which owns the map.
type Observer struct {
	settings *balance.Settings
	front    attribute.KeyValue
	tracer   trace.Tracer
	open     map[*dispatch.Transaction]*span

	answers, tasks, copies, cancels metric.Int64Counter
	seconds                         metric.Float64Histogram
	queue                           atomic.Int64 // transactions that no region has
}

// span is what is known of a transaction while it, or a routed task of it, is open.
type span struct {
	trace.Span
	ctx   context.Context
	began time.Time
	over  bool
	tasks map[*dispatch.Task]trace.Span
}

// Observe returns an observer for the core of the front that is named.
func (t *Telemetry) Observe(front string, s *balance.Settings) (*Observer, error) {
	o := &Observer{settings: s, front: attribute.String("front", front), tracer: t.traces.Tracer(scope),
		open: map[*dispatch.Transaction]*span{}}
	m := t.metrics.Meter(scope)
	var errs [6]error
	o.answers, errs[0] = m.Int64Counter("tinroute.answers", metric.WithDescription("final answers, and clients that left"))
	o.tasks, errs[1] = m.Int64Counter("tinroute.tasks", metric.WithDescription("routed tasks, by how they ended"))
	o.copies, errs[2] = m.Int64Counter("tinroute.copies", metric.WithDescription("routed tasks sent while another was out"))
	o.cancels, errs[3] = m.Int64Counter("tinroute.cancels", metric.WithDescription("routed tasks given up"))
	o.seconds, errs[4] = m.Float64Histogram("tinroute.duration", metric.WithUnit("s"),
		metric.WithDescription("from a request to its final answer"))
	_, errs[5] = m.Int64ObservableGauge("tinroute.queue", metric.WithDescription("transactions that wait for a region"),
		metric.WithInt64Callback(func(_ context.Context, to metric.Int64Observer) error {
			to.Observe(o.queue.Load(), metric.WithAttributes(o.front))
			return nil
		}))
	return o, errors.Join(errs[:]...)
}

func (o *Observer) class(tx *dispatch.Transaction) attribute.KeyValue {
	return attribute.String("class", o.settings.Classes[tx.Class].Name)
}

// Began opens the transaction's span, under the client's own where it sent one.
func (o *Observer) Began(tx *dispatch.Transaction) {
	ctx := context.Background()
	if tx.Trace != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": tx.Trace})
	}
	s := &span{began: time.Now(), tasks: map[*dispatch.Task]trace.Span{}}
	s.ctx, s.Span = o.tracer.Start(ctx, "transaction", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(o.front, o.class(tx), attribute.String("id", tx.ID)))
	o.open[tx] = s
	o.queue.Add(1)
}

// Sent opens a routed task's span.
func (o *Observer) Sent(t *dispatch.Task) {
	s := o.open[t.Transaction]
	if s == nil {
		return
	}
	if len(s.tasks) > 0 {
		o.copies.Add(s.ctx, 1, metric.WithAttributes(o.front, o.class(t.Transaction)))
	} else if !s.over {
		o.queue.Add(-1)
	}
	_, s.tasks[t] = o.tracer.Start(s.ctx, "task", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(o.front,
		attribute.String("region", t.Region.Name), attribute.Int("number", t.No), attribute.Bool("copy", len(s.tasks) > 0)))
}

// Withdrawn counts a task that is given up.
func (o *Observer) Withdrawn(t *dispatch.Task) {
	o.cancels.Add(context.Background(), 1, metric.WithAttributes(o.front, o.class(t.Transaction)))
}

// Ended closes a routed task's span.
func (o *Observer) Ended(t *dispatch.Task, status balance.Status, _ time.Duration) {
	s := o.open[t.Transaction]
	if s == nil || s.tasks[t] == nil {
		return
	}
	o.tasks.Add(s.ctx, 1, metric.WithAttributes(o.front, attribute.String("status", status.String())))
	child := s.tasks[t]
	delete(s.tasks, t)
	child.SetAttributes(attribute.String("status", status.String()))
	if status != balance.StatusOK && status != balance.StatusCancelled {
		child.SetStatus(codes.Error, status.String())
	}
	child.End()
	if len(s.tasks) > 0 {
		return
	}
	if s.over {
		delete(o.open, t.Transaction)
	} else if status != balance.StatusOK { // it waits again; an OK is answered in the same turn
		o.queue.Add(1)
	}
}

// Answered closes the transaction's span.
func (o *Observer) Answered(tx *dispatch.Transaction, a dispatch.Answer) {
	o.close(tx, a.Verdict.String(), a.Verdict != dispatch.Served)
}

// Left closes the span of a transaction whose client is gone.
func (o *Observer) Left(tx *dispatch.Transaction) { o.close(tx, "left", false) }

func (o *Observer) close(tx *dispatch.Transaction, verdict string, bad bool) {
	s := o.open[tx]
	if s == nil || s.over {
		return
	}
	s.over = true
	if len(s.tasks) == 0 {
		if verdict != dispatch.Served.String() {
			o.queue.Add(-1)
		}
		delete(o.open, tx)
	}
	v := attribute.String("verdict", verdict)
	o.answers.Add(s.ctx, 1, metric.WithAttributes(o.front, o.class(tx), v))
	o.seconds.Record(s.ctx, time.Since(s.began).Seconds(), metric.WithAttributes(o.front, o.class(tx), v))
	s.SetAttributes(v)
	if bad {
		s.SetStatus(codes.Error, verdict)
	}
	s.End()
}
