package telemetry

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/metric"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/fleet"
)

var background = context.Background()

// presetIDGenerator takes a span's IDs from the context. They are chosen when the request or the attempt
// starts, because they are sent to the worker, but the span itself is created only afterwards.
type presetIDGenerator struct{}

// spanContextKey is the context key of the preset IDs.
type spanContextKey struct{}

func (presetIDGenerator) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	spanContext, _ := ctx.Value(spanContextKey{}).(trace.SpanContext)
	if !spanContext.IsValid() {
		spanContext = newSpanContext(trace.SpanContext{})
	}
	return spanContext.TraceID(), spanContext.SpanID()
}

func (g presetIDGenerator) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := g.NewIDs(ctx)
	return id
}

// spanCollector is a span processor that collects ended spans. Only the processing goroutine uses it.
type spanCollector struct {
	spans []sdktrace.ReadOnlySpan
}

func (*spanCollector) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (c *spanCollector) OnEnd(s sdktrace.ReadOnlySpan)                 { c.spans = append(c.spans, s) }
func (*spanCollector) Shutdown(context.Context) error                  { return nil }
func (*spanCollector) ForceFlush(context.Context) error                { return nil }

// startSpan starts a span with the IDs in spanContext, as a child of the span in the context parent.
func (t *Telemetry) startSpan(parent context.Context, spanContext trace.SpanContext, name string, start time.Time,
	options ...trace.SpanStartOption) (context.Context, trace.Span) {
	return t.tracer.Start(context.WithValue(parent, spanContextKey{}, spanContext), name, append(options, trace.WithTimestamp(start))...)
}

// milliseconds returns a duration in milliseconds, rounded to microseconds.
func milliseconds(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e3 }

// emitSpans creates the spans of a kept trace: the request, its phases, its attempts and their phases.
func (t *Telemetry) emitSpans(observer *Observer, record *requestRecord, keepReason string) {
	class := &observer.settings.Classes[record.class]
	parent := background
	if record.traceParent != "" {
		parent = trace.ContextWithRemoteSpanContext(parent, parseTraceParent(record.traceParent, record.traceState))
	}
	ctx, root := t.startSpan(parent, record.spanContext, "request "+class.Name, record.submittedAt, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("tinroute.front", observer.server), attribute.String("tinroute.class", class.Name), attribute.String("tinroute.request.id", record.id),
		attribute.String("tinroute.tenant", observer.tenantName(record.tenant)), attribute.String("tinroute.verdict", record.verdict()),
		attribute.Int("tinroute.attempts", len(record.attempts)), attribute.Bool("tinroute.late", record.isLate(class)),
		attribute.Float64("tinroute.aim_ms", milliseconds(class.Target)), attribute.String("tinroute.kept", keepReason),
		attribute.Bool("tinroute.answer.written", record.fullyWritten)))
	if record.answer.Reason != "" {
		root.SetAttributes(attribute.String("tinroute.reason", record.answer.Reason))
	}
	if record.answer.RetryAfter > 0 {
		root.SetAttributes(attribute.Float64("tinroute.retry_after_s", record.answer.RetryAfter.Seconds()))
	}
	if verdict := record.verdict(); verdict != dispatch.Served.String() {
		root.SetStatus(codes.Error, record.answer.Reason)
		root.SetAttributes(attribute.String("error.type", verdict))
	}
	for _, p := range record.phases() {
		if p.name != "task" { // the attempts have spans of their own
			t.emitPhase(ctx, p)
		}
	}
	for _, attempt := range record.attempts {
		t.emitAttempt(ctx, observer, record, attempt)
	}
	root.End(trace.WithTimestamp(record.endTime()))
}

func (t *Telemetry) emitPhase(ctx context.Context, p phase) {
	_, span := t.startSpan(ctx, newSpanContext(trace.SpanContext{}), p.name, p.start, trace.WithSpanKind(trace.SpanKindInternal),
		trace.WithAttributes(attribute.String("tinroute.phase", p.name)))
	span.End(trace.WithTimestamp(p.end))
}

func (t *Telemetry) emitAttempt(ctx context.Context, observer *Observer, record *requestRecord, attempt *attemptRecord) {
	attributes := []attribute.KeyValue{attribute.Int("tinroute.attempt", attempt.index), attribute.String("tinroute.region", attempt.worker),
		attribute.Int("tinroute.zone", attempt.zone), attribute.Int("tinroute.kind", attempt.kind), attribute.String("tinroute.status", attempt.status.String()),
		attribute.Bool("tinroute.copy", attempt.copyOf >= 0), attribute.Bool("tinroute.retry", attempt.retryOf >= 0)}
	options := []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindClient)}
	if linked := max(attempt.copyOf, attempt.retryOf); linked >= 0 {
		attributes = append(attributes, attribute.String("tinroute.why", attempt.resendReason))
		options = append(options, trace.WithLinks(trace.Link{SpanContext: record.attempts[linked].spanContext,
			Attributes: []attribute.KeyValue{attribute.String("tinroute.link", map[bool]string{true: "copy_of", false: "retry_of"}[attempt.copyOf >= 0])}}))
	}
	ctx, span := t.startSpan(ctx, attempt.spanContext, "task "+attempt.worker, attempt.sentAt, append(options, trace.WithAttributes(attributes...))...)
	if attempt.status != balance.StatusOK && attempt.status != balance.StatusCancelled {
		span.SetStatus(codes.Error, attempt.status.String())
		span.SetAttributes(attribute.String("error.type", attempt.status.String()))
	}
	for _, p := range attempt.phases() {
		t.emitPhase(ctx, p)
	}
	span.End(trace.WithTimestamp(attempt.endedAt))
}

func (o *Observer) tenantName(n int) string {
	if n < 0 || n >= len(o.settings.Tenants) {
		return ""
	}
	return o.settings.Tenants[n].Name
}

// boundedNames limits the number of distinct names in metrics. It replaces all others by "other".
type boundedNames struct {
	limit int
	seen  map[string]bool
}

func (n *boundedNames) bounded(name string) string {
	if n.seen[name] {
		return name
	}
	if len(n.seen) >= n.limit {
		return "other"
	}
	n.seen[name] = true
	return name
}

// instruments are the metrics of requests and attempts.
type instruments struct {
	requestDuration, phaseDuration                                metric.Float64Histogram
	answers, attempts, copies, retries, refusals, cancels, drains metric.Int64Counter
}

func (t *Telemetry) createInstruments(meter metric.Meter) (err error) {
	keepFirst := func(e error) {
		if err == nil {
			err = e
		}
	}
	histogram := func(name, description string) metric.Float64Histogram {
		h, e := meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description))
		keepFirst(e)
		return h
	}
	counter := func(name, unit, description string) metric.Int64Counter {
		c, e := meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		keepFirst(e)
		return c
	}
	t.instruments = instruments{requestDuration: histogram("tinroute.request.duration", "from a request's coming to its answer's last byte"),
		phaseDuration: histogram("tinroute.phase.duration", "time in one phase of a request or of a routed task"),
		answers:       counter("tinroute.answers", "{request}", "final answers, and clients that left"),
		attempts:      counter("tinroute.tasks", "{task}", "routed tasks that ended, by status"),
		copies:        counter("tinroute.copies", "{task}", "routed tasks sent while another was out"),
		retries:       counter("tinroute.repeats", "{task}", "routed tasks sent after another had ended without a result"),
		refusals:      counter("tinroute.refusals", "{request}", "requests refused, by reason"),
		drains:        counter("tinroute.drains", "{region}", "regions told to drain or gone, from when on nothing new is sent there"),
		cancels:       counter("tinroute.cancels", "{task}", "routed tasks given up")}
	return err
}

// attributes returns a measurement option with the attributes in pairs of key and value. Options are
// cached. There are few combinations, because the callers limit the number of names.
func (t *Telemetry) attributes(pairs ...string) metric.MeasurementOption {
	key := strings.Join(pairs, "\x00")
	if option, ok := t.attributeSets[key]; ok {
		return option
	}
	attributes := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i < len(pairs); i += 2 {
		attributes = append(attributes, attribute.String(pairs[i], pairs[i+1]))
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes...))
	if len(t.attributeSets) < maxAttributeSets {
		t.attributeSets[key] = option
	}
	return option
}

// maxAttributeSets limits the cache of attribute sets.
const maxAttributeSets = 10_000

// recordMetrics records the metrics of a request. If its trace is kept, ctx contains its span, to which
// exemplars then refer.
func (t *Telemetry) recordMetrics(ctx context.Context, observer *Observer, record *requestRecord) {
	class, server, verdict := observer.settings.Classes[record.class].Name, observer.server, record.verdict()
	t.requestDuration.Record(ctx, record.endTime().Sub(record.submittedAt).Seconds(), t.attributes("front", server, "class", class, "verdict", verdict))
	t.answers.Add(ctx, 1, t.attributes("front", server, "class", class, "verdict", verdict, "tenant", t.tenantNames.bounded(observer.tenantName(record.tenant))))
	if record.answer.Verdict == dispatch.Refused && !record.clientLeft {
		t.refusals.Add(ctx, 1, t.attributes("front", server, "class", class, "reason", t.reasonNames.bounded(record.answer.Reason)))
	}
	for _, p := range record.phases() {
		if p.name != "task" {
			t.phaseDuration.Record(ctx, p.end.Sub(p.start).Seconds(), t.attributes("front", server, "class", class, "phase", p.name))
		}
	}
	for _, attempt := range record.attempts {
		t.attempts.Add(ctx, 1, t.attributes("front", server, "region", t.workerNames.bounded(attempt.worker), "status", attempt.status.String()))
		switch {
		case attempt.copyOf >= 0:
			t.copies.Add(ctx, 1, t.attributes("front", server, "class", class))
		case attempt.retryOf >= 0:
			t.retries.Add(ctx, 1, t.attributes("front", server, "class", class, "why", attempt.resendReason))
		}
		if !attempt.cancelledAt.IsZero() {
			t.cancels.Add(ctx, 1, t.attributes("front", server, "class", class))
		}
		for _, p := range attempt.phases() {
			t.phaseDuration.Record(ctx, p.end.Sub(p.start).Seconds(), t.attributes("front", server, "class", class, "phase", p.name))
		}
	}
}

// recordMinimalMetrics records the metrics of a request for whose full record no memory was left.
func (t *Telemetry) recordMinimalMetrics(record minimalRecord) {
	class := attribute.String("class", record.observer.settings.Classes[record.class].Name)
	server := attribute.String("front", record.observer.server)
	verdict := record.answer.Verdict.String()
	if record.clientLeft {
		verdict = "left"
	}
	t.requestDuration.Record(background, record.duration.Seconds(), metric.WithAttributes(server, class, attribute.String("verdict", verdict)))
	t.answers.Add(background, 1, metric.WithAttributes(server, class, attribute.String("verdict", verdict), attribute.String("tenant", "")))
}

// Core provides the state of a core for metrics.
type Core interface {
	View(within time.Duration) (dispatch.View, bool)
	OpenRequests() int
}

// RegisterFleetGauges registers gauges for the figures of the fleet's budgets. readFigures is called once
// for each export.
func (t *Telemetry) RegisterFleetGauges(readFigures func() []fleet.Measurement) error {
	if t.meter == nil {
		return nil
	}
	gauges := map[string]metric.Float64ObservableGauge{}
	var observables []metric.Observable
	for name, description := range fleet.MetricDescriptions {
		gauge, err := t.meter.Float64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			return err
		}
		gauges[name] = gauge
		observables = append(observables, gauge)
	}
	_, err := t.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		for _, figure := range readFigures() {
			observer.ObserveFloat64(gauges[figure.Name], figure.Value, metric.WithAttributes(attribute.String("budget", figure.Budget), attribute.String("holder", figure.Holder)))
		}
		return nil
	}, observables...)
	return err
}

// viewTimeout is how long an export waits for a core's state.
const viewTimeout = 200 * time.Millisecond

// RegisterCoreGauges registers gauges for the state of a core's balancer. The core is queried once for
// each export. If it does not respond in time, the export omits these gauges.
func (t *Telemetry) RegisterCoreGauges(server string, core Core) error {
	if t.meter == nil {
		return nil
	}
	gauge := func(name, description string) metric.Float64ObservableGauge {
		g, err := t.meter.Float64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			t.log.Warn("creating a gauge failed", "err", err)
		}
		return g
	}
	queue, openRequests, inFlight := gauge("tinroute.queue", "requests that wait for room"), gauge("tinroute.open", "requests owed an answer"),
		gauge("tinroute.region.in_flight", "slots of own tasks at a region")
	slots, others := gauge("tinroute.region.slots", "a region's size as the policy takes it"),
		gauge("tinroute.region.others", "slots held by unseen dispatchers, as the policy takes it")
	slowness, heldBack := gauge("tinroute.region.slowness", "a region's mean running time against the fleet's, as a logarithm"),
		gauge("tinroute.region.held_back", "seconds for which a region gets no ordinary work yet")
	threshold := gauge("tinroute.copy.threshold", "after how many mean runs a job is copied, by the kinds of its worker and of the free one")
	_, err := t.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		view, ok := core.View(viewTimeout)
		if !ok {
			return nil
		}
		serverAttribute := attribute.String("front", server)
		observer.ObserveFloat64(queue, float64(view.Queued), metric.WithAttributes(serverAttribute))
		observer.ObserveFloat64(openRequests, float64(core.OpenRequests()), metric.WithAttributes(serverAttribute))
		for i, worker := range view.Workers {
			if i >= min(t.options.MaxWorkerSeries, dispatch.MaxViewNames) { // the values of the rest cannot be added up
				break
			}
			attributes := metric.WithAttributes(serverAttribute, attribute.String("region", view.Names[worker.ID]))
			observer.ObserveFloat64(inFlight, worker.Used, attributes)
			observer.ObserveFloat64(slots, worker.Slots, attributes)
			observer.ObserveFloat64(others, worker.UsedByOthers, attributes)
			observer.ObserveFloat64(slowness, worker.Slowness, attributes)
			observer.ObserveFloat64(heldBack, worker.HeldFor.Seconds(), attributes)
		}
		for fromKind, row := range view.CopyThresholds {
			for toKind, value := range row {
				if !math.IsInf(value, 0) && !math.IsNaN(value) {
					observer.ObserveFloat64(threshold, value, metric.WithAttributes(serverAttribute,
						attribute.String("from", strconv.Itoa(fromKind)), attribute.String("to", strconv.Itoa(toKind))))
				}
			}
		}
		return nil
	}, queue, openRequests, inFlight, slots, others, slowness, heldBack, threshold)
	return err
}
