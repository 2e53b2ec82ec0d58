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

// ids gives spans the ids that were chosen when what they tell of began: a region has been told of
// them.
type ids struct{}

type idKey struct{}

func (ids) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	c, _ := ctx.Value(idKey{}).(trace.SpanContext)
	if !c.IsValid() {
		c = newIDs(trace.SpanContext{})
	}
	return c.TraceID(), c.SpanID()
}

func (i ids) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := i.NewIDs(ctx)
	return id
}

// batcher collects spans that have ended. It is used by the worker alone.
type batcher struct {
	spans []sdktrace.ReadOnlySpan
}

func (*batcher) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (b *batcher) OnEnd(s sdktrace.ReadOnlySpan)                 { b.spans = append(b.spans, s) }
func (*batcher) Shutdown(context.Context) error                  { return nil }
func (*batcher) ForceFlush(context.Context) error                { return nil }

// start makes a span of its own ids under a parent.
func (t *Telemetry) start(parent context.Context, c trace.SpanContext, name string, from time.Time, o ...trace.SpanStartOption) (context.Context, trace.Span) {
	return t.tracer.Start(context.WithValue(parent, idKey{}, c), name, append(o, trace.WithTimestamp(from))...)
}

func ms(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e3 }

// spans writes a kept record as spans: the request, its phases, its tasks and theirs.
func (t *Telemetry) spans(o *Observer, r *record, why string) {
	class := &o.settings.Classes[r.class]
	parent := background
	if r.trace != "" {
		parent = trace.ContextWithRemoteSpanContext(parent, remote(r.trace, r.state))
	}
	ctx, root := t.start(parent, r.ids, "request "+class.Name, r.asked, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("tinroute.front", o.front), attribute.String("tinroute.class", class.Name), attribute.String("tinroute.request.id", r.id),
		attribute.String("tinroute.tenant", o.tenant(r.tenant)), attribute.String("tinroute.verdict", r.verdict()),
		attribute.Int("tinroute.attempts", len(r.tasks)), attribute.Bool("tinroute.late", r.late(class)),
		attribute.Float64("tinroute.aim_ms", ms(class.Target)), attribute.String("tinroute.kept", why), attribute.Bool("tinroute.answer.written", r.whole)))
	if r.answer.Reason != "" {
		root.SetAttributes(attribute.String("tinroute.reason", r.answer.Reason))
	}
	if r.answer.RetryAfter > 0 {
		root.SetAttributes(attribute.Float64("tinroute.retry_after_s", r.answer.RetryAfter.Seconds()))
	}
	if v := r.verdict(); v != dispatch.Served.String() {
		root.SetStatus(codes.Error, r.answer.Reason)
		root.SetAttributes(attribute.String("error.type", v))
	}
	for _, p := range r.phases() {
		if p.name != "task" { // the tasks' spans are those
			t.phase(ctx, p)
		}
	}
	for _, k := range r.tasks {
		t.task(ctx, o, r, k)
	}
	root.End(trace.WithTimestamp(r.end()))
}

func (t *Telemetry) phase(ctx context.Context, p phase) {
	_, s := t.start(ctx, newIDs(trace.SpanContext{}), p.name, p.from, trace.WithSpanKind(trace.SpanKindInternal),
		trace.WithAttributes(attribute.String("tinroute.phase", p.name)))
	s.End(trace.WithTimestamp(p.to))
}

func (t *Telemetry) task(ctx context.Context, o *Observer, r *record, k *taskRecord) {
	a := []attribute.KeyValue{attribute.Int("tinroute.attempt", k.no), attribute.String("tinroute.region", k.region),
		attribute.Int("tinroute.zone", k.zone), attribute.Int("tinroute.kind", k.kind), attribute.String("tinroute.status", k.status.String()),
		attribute.Bool("tinroute.copy", k.copyOf >= 0), attribute.Bool("tinroute.retry", k.retryOf >= 0)}
	options := []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindClient)}
	if of := max(k.copyOf, k.retryOf); of >= 0 {
		a = append(a, attribute.String("tinroute.why", k.why))
		options = append(options, trace.WithLinks(trace.Link{SpanContext: r.tasks[of].ids,
			Attributes: []attribute.KeyValue{attribute.String("tinroute.link", map[bool]string{true: "copy_of", false: "retry_of"}[k.copyOf >= 0])}}))
	}
	ctx, s := t.start(ctx, k.ids, "task "+k.region, k.sent, append(options, trace.WithAttributes(a...))...)
	if k.status != balance.StatusOK && k.status != balance.StatusCancelled {
		s.SetStatus(codes.Error, k.status.String())
		s.SetAttributes(attribute.String("error.type", k.status.String()))
	}
	for _, p := range k.phases() {
		t.phase(ctx, p)
	}
	s.End(trace.WithTimestamp(k.ended))
}

func (o *Observer) tenant(n int) string {
	if n < 0 || n >= len(o.settings.Tenants) {
		return ""
	}
	return o.settings.Tenants[n].Name
}

// names tells apart so many names; others fall together.
type names struct {
	most int
	seen map[string]bool
}

func (n *names) of(name string) string {
	if n.seen[name] {
		return name
	}
	if len(n.seen) >= n.most {
		return "other"
	}
	n.seen[name] = true
	return name
}

// figures are the instruments that the worker records to.
type figures struct {
	duration, phases                                          metric.Float64Histogram
	answers, tasks, copies, repeats, refusals, cancel, drains metric.Int64Counter
}

func (t *Telemetry) instruments(m metric.Meter) (err error) {
	note := func(e error) {
		if err == nil {
			err = e
		}
	}
	hist := func(name, about string) metric.Float64Histogram {
		h, e := m.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(about))
		note(e)
		return h
	}
	count := func(name, unit, about string) metric.Int64Counter {
		c, e := m.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(about))
		note(e)
		return c
	}
	t.figures = figures{duration: hist("tinroute.request.duration", "from a request's coming to its answer's last byte"),
		phases:   hist("tinroute.phase.duration", "time in one phase of a request or of a routed task"),
		answers:  count("tinroute.answers", "{request}", "final answers, and clients that left"),
		tasks:    count("tinroute.tasks", "{task}", "routed tasks that ended, by status"),
		copies:   count("tinroute.copies", "{task}", "routed tasks sent while another was out"),
		repeats:  count("tinroute.repeats", "{task}", "routed tasks sent after another had ended without a result"),
		refusals: count("tinroute.refusals", "{request}", "requests refused, by reason"),
		drains:   count("tinroute.drains", "{region}", "regions told to drain or gone, from when on nothing new is sent there"),
		cancel:   count("tinroute.cancels", "{task}", "routed tasks given up")}
	return err
}

// with returns a measurement's attributes. Sets are made once for each combination, of which there
// are few: names are bounded before they come here.
func (t *Telemetry) with(pairs ...string) metric.MeasurementOption {
	key := strings.Join(pairs, "\x00")
	if o, ok := t.sets[key]; ok {
		return o
	}
	a := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i < len(pairs); i += 2 {
		a = append(a, attribute.String(pairs[i], pairs[i+1]))
	}
	o := metric.WithAttributeSet(attribute.NewSet(a...))
	if len(t.sets) < mostSets {
		t.sets[key] = o
	}
	return o
}

const mostSets = 10_000

// measure records a request's figures. ctx carries its span if it is kept, so that exemplars name it.
func (t *Telemetry) measure(ctx context.Context, o *Observer, r *record) {
	class, front, verdict := o.settings.Classes[r.class].Name, o.front, r.verdict()
	t.duration.Record(ctx, r.end().Sub(r.asked).Seconds(), t.with("front", front, "class", class, "verdict", verdict))
	t.answers.Add(ctx, 1, t.with("front", front, "class", class, "verdict", verdict, "tenant", t.tenants.of(o.tenant(r.tenant))))
	if r.answer.Verdict == dispatch.Refused && !r.left {
		t.refusals.Add(ctx, 1, t.with("front", front, "class", class, "reason", t.reasons.of(r.answer.Reason)))
	}
	for _, p := range r.phases() {
		if p.name != "task" {
			t.phases.Record(ctx, p.to.Sub(p.from).Seconds(), t.with("front", front, "class", class, "phase", p.name))
		}
	}
	for _, k := range r.tasks {
		t.tasks.Add(ctx, 1, t.with("front", front, "region", t.regions.of(k.region), "status", k.status.String()))
		switch {
		case k.copyOf >= 0:
			t.copies.Add(ctx, 1, t.with("front", front, "class", class))
		case k.retryOf >= 0:
			t.repeats.Add(ctx, 1, t.with("front", front, "class", class, "why", k.why))
		}
		if !k.withdrawn.IsZero() {
			t.cancel.Add(ctx, 1, t.with("front", front, "class", class))
		}
		for _, p := range k.phases() {
			t.phases.Record(ctx, p.to.Sub(p.from).Seconds(), t.with("front", front, "class", class, "phase", p.name))
		}
	}
}

// bareAnswer records the little that is known of a request for whose record there was no memory.
func (t *Telemetry) bareAnswer(b bare) {
	class := attribute.String("class", b.o.settings.Classes[b.class].Name)
	front := attribute.String("front", b.o.front)
	verdict := b.answer.Verdict.String()
	if b.left {
		verdict = "left"
	}
	t.duration.Record(background, b.took.Seconds(), metric.WithAttributes(front, class, attribute.String("verdict", verdict)))
	t.answers.Add(background, 1, metric.WithAttributes(front, class, attribute.String("verdict", verdict), attribute.String("tenant", "")))
}

// Core is what a core tells when it is asked.
type Core interface {
	View(within time.Duration) (dispatch.View, bool)
	OpenRequests() int
}

// WatchFleet makes gauges of what a fleet's part tells: read is called once for each export.
func (t *Telemetry) WatchFleet(read func() []fleet.Figure) error {
	if t.meter == nil {
		return nil
	}
	gauges := map[string]metric.Float64ObservableGauge{}
	var all []metric.Observable
	for name, about := range fleet.Figures {
		g, err := t.meter.Float64ObservableGauge(name, metric.WithDescription(about))
		if err != nil {
			return err
		}
		gauges[name] = g
		all = append(all, g)
	}
	_, err := t.meter.RegisterCallback(func(_ context.Context, to metric.Observer) error {
		for _, f := range read() {
			to.ObserveFloat64(gauges[f.Name], f.Value, metric.WithAttributes(attribute.String("budget", f.Budget), attribute.String("holder", f.Holder)))
		}
		return nil
	}, all...)
	return err
}

const viewWait = 200 * time.Millisecond

// Watch makes gauges of what the policy holds. It asks the core once for each export, and does
// without where the core is busy.
func (t *Telemetry) Watch(front string, core Core) error {
	if t.meter == nil {
		return nil
	}
	gauge := func(name, about string) metric.Float64ObservableGauge {
		g, err := t.meter.Float64ObservableGauge(name, metric.WithDescription(about))
		if err != nil {
			t.log.Warn("telemetry", "err", err)
		}
		return g
	}
	queue, open, flight := gauge("tinroute.queue", "requests that wait for room"), gauge("tinroute.open", "requests owed an answer"),
		gauge("tinroute.region.in_flight", "slots of own tasks at a region")
	slots, others := gauge("tinroute.region.slots", "a region's size as the policy takes it"),
		gauge("tinroute.region.others", "slots held by unseen dispatchers, as the policy takes it")
	slowness, held := gauge("tinroute.region.slowness", "a region's mean running time against the fleet's, as a logarithm"),
		gauge("tinroute.region.held_back", "seconds for which a region gets no ordinary work yet")
	threshold := gauge("tinroute.copy.threshold", "after how many mean runs a job is copied, by the kinds of its worker and of the free one")
	_, err := t.meter.RegisterCallback(func(_ context.Context, to metric.Observer) error {
		v, ok := core.View(viewWait)
		if !ok {
			return nil
		}
		f := attribute.String("front", front)
		to.ObserveFloat64(queue, float64(v.Queued), metric.WithAttributes(f))
		to.ObserveFloat64(open, float64(core.OpenRequests()), metric.WithAttributes(f))
		for i, w := range v.Workers {
			if i >= min(t.o.MaxWorkerSeries, dispatch.MaxViewNames) { // a sum over the rest would mix what cannot be added
				break
			}
			a := metric.WithAttributes(f, attribute.String("region", v.Names[w.ID]))
			to.ObserveFloat64(flight, w.Used, a)
			to.ObserveFloat64(slots, w.Slots, a)
			to.ObserveFloat64(others, w.UsedByOthers, a)
			to.ObserveFloat64(slowness, w.Slowness, a)
			to.ObserveFloat64(held, w.HeldFor.Seconds(), a)
		}
		for i, row := range v.CopyThresholds {
			for j, x := range row {
				if !math.IsInf(x, 0) && !math.IsNaN(x) {
					to.ObserveFloat64(threshold, x, metric.WithAttributes(f, attribute.String("from", strconv.Itoa(i)), attribute.String("to", strconv.Itoa(j))))
				}
			}
		}
		return nil
	}, queue, open, flight, slots, others, slowness, held, threshold)
	return err
}
