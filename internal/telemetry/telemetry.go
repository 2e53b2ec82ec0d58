// Package telemetry exports traces of requests, metrics and logs to an OpenTelemetry collector by OTLP. It
// is disabled unless an endpoint is configured.
//
// On the core's goroutine an Observer collects the events of each request in a record. The memory for
// records is limited. When a request is over, its record is queued for the processing goroutine. That
// goroutine decides whether to keep the trace (internal/tailsampling), records metrics and creates the
// spans of the kept traces. The SDK encodes the spans, and internal/otlp sends them. No stage blocks on
// the next one: data that exceeds a limit is dropped and counted.
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
	instrumentationScope = "tinroute.example/tinroute"
	maxQueuedRecords     = 4096 // records that wait for the processing goroutine
	// pollInterval is how often the processing goroutine reads its queue. Waking it for each record would
	// cost the core's goroutine a context switch per request.
	pollInterval  = 50 * time.Millisecond
	spanBatchSize = 256 // spans
	flushInterval = time.Second
	// closeTimeout limits the final export, so that a collector that does not respond cannot delay shutdown.
	closeTimeout = time.Second
	// senderMemoryShare is the share of the memory limit for the queue of each sender. The rest is for records.
	senderMemoryShare = 0.2
	logQueueSize      = 256
	// maxReasonSeries limits the number of distinct refusal reasons in metrics, because scripts can set
	// arbitrary reasons.
	maxReasonSeries = 50
)

// Telemetry exports the telemetry of a process.
type Telemetry struct {
	options        *config.Telemetry
	log            *slog.Logger
	senders        map[otlp.Signal]*otlp.Sender
	meter          metric.Meter // nil if metrics are disabled
	tracer         trace.Tracer
	endedSpans     spanCollector
	spanExporter   sdktrace.SpanExporter
	meterProvider  *sdkmetric.MeterProvider
	loggerProvider *sdklog.LoggerProvider
	instruments
	workerNames, tenantNames, reasonNames boundedNames
	attributeSets                         map[string]metric.MeasurementOption // used by the processing goroutine only

	mu             sync.Mutex // guards sampler
	sampler        *tailsampling.Sampler
	startedAt      time.Time    // zero of the sampler's clock
	openSpans      sync.Map     // request ID to trace.SpanContext, for log lines
	droppedRecords atomic.Int64 // full records dropped because the queue was full
	droppedMinimal atomic.Int64 // minimal records dropped because the queue was full
	droppedTraces  atomic.Int64 // sampled traces not exported because the processing goroutine fell behind

	queueMu          sync.Mutex
	queue            []any         // of endedRecord or minimalRecord; guarded by queueMu
	batch            []any         // taken from queue; used by the processing goroutine only
	awaitingDelivery []endedRecord // their answers are not yet written; used by the processing goroutine only
	cancelSenders    context.CancelFunc
	sendersDone      sync.WaitGroup
	closing          chan struct{} // closed when no more records are queued
	processingDone   chan struct{} // closed when the processing goroutine has ended
}

// endedRecord is the record of a request that is over, with the observer that made it.
type endedRecord struct {
	observer *Observer
	record   *requestRecord
}

// New starts the export. It returns nil if options is nil.
func New(ctx context.Context, options *config.Telemetry, instance string, log *slog.Logger) (*Telemetry, error) {
	if options == nil {
		return nil, nil
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("OpenTelemetry SDK error", "err", err) }))
	res, err := resource.New(ctx, resource.WithAttributes(attribute.String("service.name", "tinroute"),
		attribute.String("service.instance.id", instance)), resource.WithFromEnv(), resource.WithTelemetrySDK())
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	limits := options.Sampling
	limits.MaxBytes = int64(float64(limits.MaxBytes) * (1 - senderMemoryShare*float64(len(options.Endpoints))))
	t := &Telemetry{options: options, log: log, senders: map[otlp.Signal]*otlp.Sender{},
		sampler: tailsampling.New(limits), startedAt: time.Now(),
		closing: make(chan struct{}), processingDone: make(chan struct{}),
		workerNames:   boundedNames{options.MaxWorkerSeries, map[string]bool{}},
		tenantNames:   boundedNames{options.MaxTenantSeries, map[string]bool{}},
		reasonNames:   boundedNames{maxReasonSeries, map[string]bool{}},
		attributeSets: map[string]metric.MeasurementOption{}}
	sendCtx, cancel := context.WithCancel(context.Background())
	t.cancelSenders = cancel
	finalContext := sync.OnceValue(func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		context.AfterFunc(ctx, cancel)
		return ctx
	})
	for signal, endpoint := range options.Endpoints {
		transport, err := otlp.NewTransport(signal, endpoint)
		if err != nil {
			cancel()
			return nil, fmt.Errorf("telemetry: %s: %w", signal, err)
		}
		senderOptions := otlp.Options{Signal: signal, Transport: transport, Log: log,
			MaxQueueBytes: int64(senderMemoryShare * float64(options.Sampling.MaxBytes)),
			SpoolInterval: options.SpoolInterval, Seed: uint64(time.Now().UnixNano())}
		if options.SpoolDir != "" {
			senderOptions.Spool, err = spool.Open(spool.Options{Dir: filepath.Join(options.SpoolDir, signal.String()),
				MaxBytes: options.SpoolMaxBytes / int64(len(options.Endpoints))})
			if err != nil {
				cancel()
				return nil, fmt.Errorf("telemetry: spool.dir: %w", err)
			}
		}
		sender := otlp.NewSender(senderOptions)
		t.senders[signal] = sender
		t.sendersDone.Go(func() { sender.Run(sendCtx, finalContext) })
	}
	if err := t.startProviders(ctx, res); err != nil {
		cancel()
		return nil, err
	}
	go t.processRecords()
	return t, nil
}

// placeholderURL is the endpoint of the SDK's exporters. It is never contacted, because their HTTP client
// passes the request bodies to a Sender.
const placeholderURL = "http://telemetry.invalid"

func (t *Telemetry) httpClient(s otlp.Signal) *http.Client {
	return &http.Client{Transport: senderTransport{t.senders[s]}}
}

// senderTransport is an http.RoundTripper that queues request bodies in a Sender.
type senderTransport struct{ *otlp.Sender }

// startProviders sets up the SDK. The SDK reads its OTEL_ variables itself, except that the endpoint and
// the compression are set here.
func (t *Telemetry) startProviders(ctx context.Context, res *resource.Resource) (err error) {
	tracerProvider := sdktrace.NewTracerProvider(sdktrace.WithResource(res), sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithIDGenerator(presetIDGenerator{}), sdktrace.WithSpanProcessor(&t.endedSpans))
	t.tracer = tracerProvider.Tracer(instrumentationScope)
	if t.senders[otlp.Traces] != nil {
		if t.spanExporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(placeholderURL+"/v1/traces"), otlptracehttp.WithHTTPClient(t.httpClient(otlp.Traces)),
			otlptracehttp.WithCompression(otlptracehttp.NoCompression), otlptracehttp.WithRetry(otlptracehttp.RetryConfig{})); err != nil {
			return err
		}
	}
	var meterProvider metric.MeterProvider = noop.NewMeterProvider()
	if t.senders[otlp.Metrics] != nil {
		exporter, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(placeholderURL+"/v1/metrics"), otlpmetrichttp.WithHTTPClient(t.httpClient(otlp.Metrics)),
			otlpmetrichttp.WithCompression(otlpmetrichttp.NoCompression), otlpmetrichttp.WithRetry(otlpmetrichttp.RetryConfig{}))
		if err != nil {
			return err
		}
		t.meterProvider = sdkmetric.NewMeterProvider(sdkmetric.WithResource(res),
			sdkmetric.WithReader(sdkmetric.NewPeriodicReader(exporter, sdkmetric.WithInterval(t.options.MetricInterval))),
			sdkmetric.WithView(sdkmetric.NewView(sdkmetric.Instrument{Kind: sdkmetric.InstrumentKindHistogram},
				sdkmetric.Stream{Aggregation: sdkmetric.AggregationBase2ExponentialHistogram{MaxSize: 160, MaxScale: 20}})))
		meterProvider, t.meter = t.meterProvider, t.meterProvider.Meter(instrumentationScope)
		if err := t.registerSelfMetrics(t.meter); err != nil {
			return err
		}
	}
	if err := t.createInstruments(meterProvider.Meter(instrumentationScope)); err != nil {
		return err
	}
	if t.senders[otlp.Logs] != nil {
		exporter, err := otlploghttp.New(ctx, otlploghttp.WithEndpointURL(placeholderURL+"/v1/logs"), otlploghttp.WithHTTPClient(t.httpClient(otlp.Logs)),
			otlploghttp.WithCompression(otlploghttp.NoCompression), otlploghttp.WithRetry(otlploghttp.RetryConfig{}))
		if err != nil {
			return err
		}
		t.loggerProvider = sdklog.NewLoggerProvider(sdklog.WithResource(res), sdklog.WithProcessor(sdklog.NewBatchProcessor(exporter, sdklog.WithMaxQueueSize(logQueueSize),
			sdklog.WithExportMaxBatchSize(logQueueSize/2), sdklog.WithExportInterval(flushInterval))))
	}
	return nil
}

// registerSelfMetrics registers metrics of the process and of the telemetry export itself.
func (t *Telemetry) registerSelfMetrics(meter metric.Meter) error {
	var errs []error
	gauge := func(name, unit, description string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
		errs = append(errs, err)
		return g
	}
	dropped, err := meter.Int64ObservableCounter("tinroute.telemetry.dropped", metric.WithDescription("traces, batches and records dropped, by signal and reason"))
	errs = append(errs, err)
	kept, err := meter.Int64ObservableCounter("tinroute.telemetry.kept", metric.WithDescription("traces kept, by reason"))
	errs = append(errs, err)
	used, waiting := gauge("tinroute.telemetry.used", "By", "memory that records hold"), gauge("tinroute.telemetry.waiting", "By", "batches that wait in memory")
	spooled := gauge("tinroute.telemetry.spooled", "{batch}", "batches that wait on disk")
	files, heap := gauge("process.open_file_descriptor.count", "{file_descriptor}", "open descriptors"), gauge("go.memory.used", "By", "memory that the Go runtime holds")
	goroutines, collections := gauge("go.goroutine.count", "{goroutine}", "goroutines"), gauge("go.gc.count", "{gc}", "collections since the start")
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		t.mu.Lock()
		counts, bytes := t.sampler.Counts(), t.sampler.UsedBytes()
		t.mu.Unlock()
		counts["queue"] = t.droppedRecords.Load()
		for reason, n := range counts {
			switch attributes := metric.WithAttributes(attribute.String("signal", "traces"), attribute.String("reason", string(reason))); reason {
			case tailsampling.OverRate, tailsampling.MemoryPressure, tailsampling.OutOfMemory, "queue":
				observer.ObserveInt64(dropped, n, attributes)
			default:
				observer.ObserveInt64(kept, n, attributes)
			}
		}
		observer.ObserveInt64(dropped, t.droppedTraces.Load(), metric.WithAttributes(attribute.String("signal", "traces"), attribute.String("reason", "behind")))
		observer.ObserveInt64(dropped, t.droppedMinimal.Load(), metric.WithAttributes(attribute.String("signal", "metrics"), attribute.String("reason", "queue")))
		observer.ObserveInt64(used, bytes)
		for signalID, sender := range t.senders {
			stats, signal := sender.Stats(), attribute.String("signal", signalID.String())
			for reason, n := range stats.Dropped {
				observer.ObserveInt64(dropped, n, metric.WithAttributes(signal, attribute.String("reason", "batch_"+reason)))
			}
			if stats.RejectedRecords > 0 {
				observer.ObserveInt64(dropped, stats.RejectedRecords, metric.WithAttributes(signal, attribute.String("reason", "rejected")))
			}
			observer.ObserveInt64(waiting, stats.QueuedBytes, metric.WithAttributes(signal))
			observer.ObserveInt64(spooled, stats.SpooledBatches, metric.WithAttributes(signal))
		}
		if descriptors, err := os.ReadDir("/proc/self/fd"); err == nil {
			observer.ObserveInt64(files, int64(len(descriptors)))
		}
		var memStats runtime.MemStats
		runtime.ReadMemStats(&memStats)
		observer.ObserveInt64(heap, int64(memStats.Sys-memStats.HeapReleased))
		observer.ObserveInt64(collections, int64(memStats.NumGC))
		observer.ObserveInt64(goroutines, int64(runtime.NumGoroutine()))
		return nil
	}, dropped, kept, used, waiting, spooled, files, heap, goroutines, collections)
	return errors.Join(append(errs, err)...)
}

// NewObserver returns an observer for the core of the named protocol server.
func (t *Telemetry) NewObserver(server string, settings *balance.Settings) *Observer {
	return &Observer{telemetry: t, server: server, settings: settings, openRequests: map[*dispatch.Request]*requestRecord{},
		serverAttribute: metric.WithAttributes(attribute.String("front", server))}
}

// processRecords runs the processing goroutine until closing is closed.
func (t *Telemetry) processRecords() {
	defer close(t.processingDone)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastFlush := time.Now()
	for {
		select {
		case now := <-ticker.C:
			t.processQueue(now)
			if now.Sub(lastFlush) >= flushInterval {
				t.flushSpans()
				lastFlush = now
			}
		case <-t.closing:
			t.processQueue(time.Now().Add(maxDeliveryWait)) // do not wait any longer for answers to be written
			t.flushSpans()
			return
		}
	}
}

// processQueue processes the records in the queue and those that waited for their answer to be written.
func (t *Telemetry) processQueue(now time.Time) {
	t.queueMu.Lock()
	t.queue, t.batch = t.batch[:0], t.queue
	t.queueMu.Unlock()
	awaiting := t.awaitingDelivery
	t.awaitingDelivery = nil
	for _, item := range awaiting {
		t.process(item, now, 0)
	}
	for i, item := range t.batch {
		switch item := item.(type) {
		case minimalRecord:
			t.recordMinimalMetrics(item)
		case endedRecord:
			t.process(item, now, len(t.batch)-i)
		}
		runtime.Gosched() // on a single processor, the core must not wait for the complete batch
		if len(t.endedSpans.spans) >= spanBatchSize {
			t.flushSpans()
		}
	}
	clear(t.batch)
}

// process records the metrics of a request and creates its spans if the trace is kept. A record whose
// answer is not yet written is set aside. backlog is the number of records that wait, including this one.
func (t *Telemetry) process(ended endedRecord, now time.Time, backlog int) {
	if !ended.record.deliverySettled(now) {
		t.awaitingDelivery = append(t.awaitingDelivery, ended)
		return
	}
	t.mu.Lock()
	keep, reason := t.sampler.Decide(time.Since(t.startedAt), ended.record.summary(&ended.observer.settings.Classes[ended.record.class]))
	t.mu.Unlock()
	if keep && backlog > maxQueuedRecords/2 { // under overload, creating spans must not cause the metrics of other requests to be lost
		keep = false
		t.droppedTraces.Add(1)
	}
	ctx := background
	if keep = keep && t.spanExporter != nil; keep {
		ctx = trace.ContextWithSpanContext(ctx, ended.record.spanContext)
	}
	t.recordMetrics(ctx, ended.observer, ended.record)
	if keep {
		t.emitSpans(ended.observer, ended.record, string(reason))
	}
	t.release(ended.record.bytes)
}

// flushSpans passes the ended spans to the SDK, which encodes them and queues them in a Sender. It does
// not block.
func (t *Telemetry) flushSpans() {
	if len(t.endedSpans.spans) > 0 && t.spanExporter != nil {
		if err := t.spanExporter.ExportSpans(background, t.endedSpans.spans); err != nil {
			t.log.Warn("exporting spans failed, dropping them", "err", err)
		}
	}
	clear(t.endedSpans.spans)
	t.endedSpans.spans = t.endedSpans.spans[:0]
}

// FlushMetrics collects and exports the metrics one last time. It must be called while the cores can still
// be queried, and returns within closeTimeout.
func (t *Telemetry) FlushMetrics() {
	if t.meterProvider == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := t.meterProvider.ForceFlush(ctx); err != nil {
		t.log.Warn("exporting the final metrics failed", "err", err)
	}
}

// Close exports the remaining data for a limited time. The cores must have stopped.
func (t *Telemetry) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	close(t.closing)
	<-t.processingDone
	var errs []error
	if t.meterProvider != nil {
		errs = append(errs, t.meterProvider.Shutdown(ctx))
	}
	if t.loggerProvider != nil {
		errs = append(errs, t.loggerProvider.Shutdown(ctx))
	}
	t.cancelSenders()
	t.sendersDone.Wait()
	return errors.Join(errs...)
}
