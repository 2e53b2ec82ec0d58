// Package telemetry tells an OpenTelemetry collector what the cores do, by OTLP: spans of requests,
// metrics, and logs. It is off unless an endpoint is configured.
//
// The core's goroutine only notes what happens, in records that a budget bounds, and hands each to a
// worker when its request is over. The worker decides whether the trace is kept (internal/tail),
// records metrics, and makes spans of what is kept; the SDK encodes them, and internal/otlp
// delivers. No step waits for the next: what does not fit is dropped and counted.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlplog/otlploghttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	sdklog "go.opentelemetry.io/otel/sdk/log"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/otlp"
	"tinroute.example/tinroute/internal/spool"
	"tinroute.example/tinroute/internal/tailsampling"
)

const (
	scope     = "tinroute.example/tinroute"
	queueSize = 4096 // records on their way to the worker
	// lookEvery is how often the worker takes what has come. It is not woken for each: that would
	// cost the core's goroutine a switch a request.
	lookEvery = 50 * time.Millisecond
	batchSize = 256 // spans
	flushWait = time.Second
	// closeWait bounds the last deliveries, so that a dead collector cannot hold up the end.
	closeWait = time.Second
	// laneShare is the part of the budget that each lane's batches may take; the rest is for records.
	laneShare = 0.2
	logQueue  = 256
	// reasonsTold bounds the reasons of refusals, which scripts may word.
	reasonsTold = 50
)

// Telemetry holds the export's parts.
type Telemetry struct {
	o      *config.Telemetry
	log    *slog.Logger
	lanes  map[otlp.Signal]*otlp.Lane
	meter  metric.Meter // nil where metrics are off
	tracer trace.Tracer
	batch  batcher
	spansX sdktrace.SpanExporter
	meters *sdkmetric.MeterProvider
	logs   *sdklog.LoggerProvider
	figures
	regions, tenants, reasons names
	sets                      map[string]metric.MeasurementOption // the worker's own

	mu      sync.Mutex
	sampler *tailsampling.Sampler
	began   time.Time
	open    sync.Map     // request id to trace.SpanContext, for log lines
	lost    atomic.Int64 // records that found the worker too far behind
	unheard atomic.Int64 // bare answers that did
	behind  atomic.Int64 // traces that were to be kept, for which it had no time

	come   sync.Mutex
	in     []any   // ended or bare, for the worker; guarded by come
	coming []any   // the worker's own: taken from in
	held   []ended // the worker's own: their front has still to tell of the answer
	stop   context.CancelFunc
	done   sync.WaitGroup // lanes
	rest   chan struct{}  // closed where no more records come
	worked chan struct{}
}

type ended struct {
	o *Observer
	r *record
}

// New starts telemetry, or returns nil where o is.
func New(ctx context.Context, o *config.Telemetry, instance string, log *slog.Logger) (*Telemetry, error) {
	if o == nil {
		return nil, nil
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("telemetry", "err", err) }))
	res, err := resource.New(ctx, resource.WithAttributes(attribute.String("service.name", "tinroute"),
		attribute.String("service.instance.id", instance)), resource.WithFromEnv(), resource.WithTelemetrySDK())
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	limits := o.Sampling
	limits.Bytes = int64(float64(limits.Bytes) * (1 - laneShare*float64(len(o.Endpoints))))
	t := &Telemetry{o: o, log: log, lanes: map[otlp.Signal]*otlp.Lane{}, sampler: tailsampling.New(limits), began: time.Now(),
		rest: make(chan struct{}), worked: make(chan struct{}), regions: names{o.MaxWorkerSeries, map[string]bool{}}, tenants: names{o.MaxTenantSeries, map[string]bool{}},
		reasons: names{reasonsTold, map[string]bool{}}, sets: map[string]metric.MeasurementOption{}}
	run, stop := context.WithCancel(context.Background())
	t.stop = stop
	last := sync.OnceValue(func() context.Context {
		ctx, stop := context.WithTimeout(context.Background(), closeWait)
		context.AfterFunc(ctx, stop)
		return ctx
	})
	for s, e := range o.Endpoints {
		transport, err := otlp.NewTransport(s, e)
		if err != nil {
			stop()
			return nil, fmt.Errorf("telemetry: %s: %w", s, err)
		}
		lane := otlp.Options{Signal: s, Transport: transport, Log: log, Bytes: int64(laneShare * float64(o.Sampling.Bytes)), Pace: o.SpoolInterval,
			Seed: uint64(time.Now().UnixNano())}
		if o.SpoolDir != "" {
			if lane.Spool, err = spool.Open(spool.Options{Dir: filepath.Join(o.SpoolDir, s.String()), MaxBytes: o.SpoolMaxBytes / int64(len(o.Endpoints))}); err != nil {
				stop()
				return nil, fmt.Errorf("telemetry: spool.dir: %w", err)
			}
		}
		l := otlp.NewLane(lane)
		t.lanes[s] = l
		t.done.Go(func() { l.Run(run, last) })
	}
	if err := t.providers(ctx, res); err != nil {
		stop()
		return nil, err
	}
	go t.work()
	return t, nil
}

// nowhere is the endpoint that the SDK's exporters are given: their bytes go to a lane.
const nowhere = "http://telemetry.invalid"

func (t *Telemetry) client(s otlp.Signal) *http.Client {
	return &http.Client{Transport: roundTrip{t.lanes[s]}}
}

type roundTrip struct{ *otlp.Lane }

// providers sets the SDK up. It reads the OTEL_ variables of its own, but where batches go and how
// they are compressed is decided here.
func (t *Telemetry) providers(ctx context.Context, res *resource.Resource) (err error) {
	spans := sdktrace.NewTracerProvider(sdktrace.WithResource(res), sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithIDGenerator(ids{}), sdktrace.WithSpanProcessor(&t.batch))
	t.tracer = spans.Tracer(scope)
	if t.lanes[otlp.Traces] != nil {
		if t.spansX, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(nowhere+"/v1/traces"), otlptracehttp.WithHTTPClient(t.client(otlp.Traces)),
			otlptracehttp.WithCompression(otlptracehttp.NoCompression), otlptracehttp.WithRetry(otlptracehttp.RetryConfig{})); err != nil {
			return err
		}
	}
	var meters metric.MeterProvider = noop.NewMeterProvider()
	if t.lanes[otlp.Metrics] != nil {
		x, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(nowhere+"/v1/metrics"), otlpmetrichttp.WithHTTPClient(t.client(otlp.Metrics)),
			otlpmetrichttp.WithCompression(otlpmetrichttp.NoCompression), otlpmetrichttp.WithRetry(otlpmetrichttp.RetryConfig{}))
		if err != nil {
			return err
		}
		t.meters = sdkmetric.NewMeterProvider(sdkmetric.WithResource(res), sdkmetric.WithReader(sdkmetric.NewPeriodicReader(x, sdkmetric.WithInterval(t.o.MetricInterval))),
			sdkmetric.WithView(sdkmetric.NewView(sdkmetric.Instrument{Kind: sdkmetric.InstrumentKindHistogram},
				sdkmetric.Stream{Aggregation: sdkmetric.AggregationBase2ExponentialHistogram{MaxSize: 160, MaxScale: 20}})))
		meters, t.meter = t.meters, t.meters.Meter(scope)
		if err := t.own(t.meter); err != nil {
			return err
		}
	}
	if err := t.instruments(meters.Meter(scope)); err != nil {
		return err
	}
	if t.lanes[otlp.Logs] != nil {
		x, err := otlploghttp.New(ctx, otlploghttp.WithEndpointURL(nowhere+"/v1/logs"), otlploghttp.WithHTTPClient(t.client(otlp.Logs)),
			otlploghttp.WithCompression(otlploghttp.NoCompression), otlploghttp.WithRetry(otlploghttp.RetryConfig{}))
		if err != nil {
			return err
		}
		t.logs = sdklog.NewLoggerProvider(sdklog.WithResource(res), sdklog.WithProcessor(sdklog.NewBatchProcessor(x, sdklog.WithMaxQueueSize(logQueue),
			sdklog.WithExportMaxBatchSize(logQueue/2), sdklog.WithExportInterval(flushWait))))
	}
	return nil
}

// own registers what is told of the process and of telemetry itself.
func (t *Telemetry) own(m metric.Meter) error {
	var errs []error
	gauge := func(name, unit, about string) metric.Int64ObservableGauge {
		g, err := m.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(about))
		errs = append(errs, err)
		return g
	}
	dropped, err := m.Int64ObservableCounter("tinroute.telemetry.dropped", metric.WithDescription("traces, batches and records dropped, by signal and reason"))
	errs = append(errs, err)
	kept, err := m.Int64ObservableCounter("tinroute.telemetry.kept", metric.WithDescription("traces kept, by reason"))
	errs = append(errs, err)
	used, waiting := gauge("tinroute.telemetry.used", "By", "memory that records hold"), gauge("tinroute.telemetry.waiting", "By", "batches that wait in memory")
	spooled := gauge("tinroute.telemetry.spooled", "{batch}", "batches that wait on disk")
	files, heap := gauge("process.open_file_descriptor.count", "{file_descriptor}", "open descriptors"), gauge("go.memory.used", "By", "memory that the Go runtime holds")
	routines, gcs := gauge("go.goroutine.count", "{goroutine}", "goroutines"), gauge("go.gc.count", "{gc}", "collections since the start")
	_, err = m.RegisterCallback(func(_ context.Context, to metric.Observer) error {
		t.mu.Lock()
		counts, bytes := t.sampler.Counts(), t.sampler.Used()
		t.mu.Unlock()
		counts["queue"] = t.lost.Load()
		for why, n := range counts {
			switch a := metric.WithAttributes(attribute.String("signal", "traces"), attribute.String("reason", string(why))); why {
			case tailsampling.Over, tailsampling.Pressure, tailsampling.Budget, "queue":
				to.ObserveInt64(dropped, n, a)
			default:
				to.ObserveInt64(kept, n, a)
			}
		}
		to.ObserveInt64(dropped, t.behind.Load(), metric.WithAttributes(attribute.String("signal", "traces"), attribute.String("reason", "behind")))
		to.ObserveInt64(dropped, t.unheard.Load(), metric.WithAttributes(attribute.String("signal", "metrics"), attribute.String("reason", "queue")))
		to.ObserveInt64(used, bytes)
		for s, l := range t.lanes {
			st, signal := l.Stats(), attribute.String("signal", s.String())
			for why, n := range st.Dropped {
				to.ObserveInt64(dropped, n, metric.WithAttributes(signal, attribute.String("reason", "batch_"+why)))
			}
			if st.Rejected > 0 {
				to.ObserveInt64(dropped, st.Rejected, metric.WithAttributes(signal, attribute.String("reason", "rejected")))
			}
			to.ObserveInt64(waiting, st.Waiting, metric.WithAttributes(signal))
			to.ObserveInt64(spooled, st.Spooled, metric.WithAttributes(signal))
		}
		if d, err := os.ReadDir("/proc/self/fd"); err == nil {
			to.ObserveInt64(files, int64(len(d)))
		}
		var ms runtime.MemStats
		runtime.ReadMemStats(&ms)
		to.ObserveInt64(heap, int64(ms.Sys-ms.HeapReleased))
		to.ObserveInt64(gcs, int64(ms.NumGC))
		to.ObserveInt64(routines, int64(runtime.NumGoroutine()))
		return nil
	}, dropped, kept, used, waiting, spooled, files, heap, routines, gcs)
	return errors.Join(append(errs, err)...)
}

// Observe returns an observer for the core of the front that is named.
func (t *Telemetry) Observe(front string, s *balance.Settings) *Observer {
	return &Observer{t: t, front: front, frontOnly: metric.WithAttributes(attribute.String("front", front)), settings: s, open: map[*dispatch.Request]*record{}}
}

// work is the worker.
func (t *Telemetry) work() {
	defer close(t.worked)
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	flushed := time.Now()
	for {
		select {
		case now := <-look.C:
			t.look(now)
			if now.Sub(flushed) >= flushWait {
				t.flush()
				flushed = now
			}
		case <-t.rest:
			t.look(time.Now().Add(settleWait)) // what a front has not told of by now it never will
			t.flush()
			return
		}
	}
}

// look takes what has come, and what was held for its front's word.
func (t *Telemetry) look(now time.Time) {
	t.come.Lock()
	t.in, t.coming = t.coming[:0], t.in
	t.come.Unlock()
	held := t.held
	t.held = nil
	for _, e := range held {
		t.settle(e, now, 0)
	}
	for i, e := range t.coming {
		switch e := e.(type) {
		case bare:
			t.bareAnswer(e)
		case ended:
			t.settle(e, now, len(t.coming)-i)
		}
		runtime.Gosched() // on one processor a core that has work must not wait for all of them
		if len(t.batch.spans) >= batchSize {
			t.flush()
		}
	}
	clear(t.coming)
}

// settle decides on a record that is whole. behind is how many wait after it.
func (t *Telemetry) settle(e ended, now time.Time, behind int) {
	if !e.r.complete(now) {
		t.held = append(t.held, e)
		return
	}
	t.mu.Lock()
	keep, why := t.sampler.Decide(time.Since(t.began), e.r.summary(&e.o.settings.Classes[e.r.class]))
	t.mu.Unlock()
	if keep && behind > queueSize/2 { // metrics first: a flood of kept traces must not cost the count of the rest
		keep = false
		t.behind.Add(1)
	}
	ctx := background
	if keep = keep && t.spansX != nil; keep {
		ctx = trace.ContextWithSpanContext(ctx, e.r.ids)
	}
	t.measure(ctx, e.o, e.r)
	if keep {
		t.spans(e.o, e.r, string(why))
	}
	t.release(e.r.bytes)
}

// flush has the SDK encode what has ended; the bytes go to the lane, which never waits.
func (t *Telemetry) flush() {
	if len(t.batch.spans) > 0 && t.spansX != nil {
		if err := t.spansX.ExportSpans(background, t.batch.spans); err != nil {
			t.log.Warn("telemetry", "err", err)
		}
	}
	clear(t.batch.spans)
	t.batch.spans = t.batch.spans[:0]
}

// Flush takes a last reading of the metrics. It waits for the cores at most.
func (t *Telemetry) Flush() {
	if t.meters == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	if err := t.meters.ForceFlush(ctx); err != nil {
		t.log.Warn("telemetry", "err", err)
	}
}

// Close sends what is left, within a bound. The cores must have ended.
func (t *Telemetry) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	close(t.rest)
	<-t.worked
	var errs []error
	if t.meters != nil {
		errs = append(errs, t.meters.Shutdown(ctx))
	}
	if t.logs != nil {
		errs = append(errs, t.logs.Shutdown(ctx))
	}
	t.stop()
	t.done.Wait()
	return errors.Join(errs...)
}
