package telemetry

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/lab/collector"
	"tinroute.example/tinroute/internal/otlp"
	"tinroute.example/tinroute/internal/tailsampling"
)

var settings = &balance.Settings{Classes: []balance.Class{{Name: "price-read", Target: time.Second}},
	Tenants: []balance.Tenant{{Name: "argane-epargne"}}}

// stubCollector is a collector that records the spans and log records it receives.
type stubCollector struct {
	*collector.Collector
	mu    sync.Mutex
	spans []*collector.Span
	logs  map[string]string // message to trace ID
}

// startWithCollector starts telemetry that exports to a collector with the given behavior.
func startWithCollector(t testing.TB, behavior collector.Behavior, change func(*config.Telemetry)) (*Telemetry, *stubCollector) {
	stub := &stubCollector{logs: map[string]string{}}
	stub.Collector = collector.New(func(b collector.Batch) {
		stub.mu.Lock()
		defer stub.mu.Unlock()
		stub.spans = append(stub.spans, collector.BatchSpans(b)...)
		for _, rl := range b.Logs.GetResourceLogs() {
			for _, sl := range rl.ScopeLogs {
				for _, l := range sl.LogRecords {
					stub.logs[l.Body.GetStringValue()] = string(l.TraceId)
				}
			}
		}
	})
	stub.SetBehavior(behavior)
	server, err := collector.Serve(stub.Collector)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	options, err := config.LoadTelemetry("", func(k string) string {
		return map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": server.HTTPURL}[k]
	})
	require.NoError(t, err)
	options.Sampling.TracesPerSecond = 1e6
	if change != nil {
		change(options)
	}
	tel, err := New(context.Background(), options, "n0", slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return tel, stub
}

// simulateRequest reports a request with three attempts to the observer. The second is a copy of the first
// and fails, the third serves the request, and the first is cancelled and ends last.
func simulateRequest(observer *Observer, wait time.Duration) {
	request := &dispatch.Request{ID: "9b1f03aa5c7e2d41", Tenant: 0, SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{},
		TraceParent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
	a, b, c := &dispatch.Attempt{Request: request}, &dispatch.Attempt{Request: request, Index: 1}, &dispatch.Attempt{Request: request, Index: 2}
	observer.RequestStarted(request)
	time.Sleep(wait)
	observer.AttemptSent(a)
	a.RecordEvent(dispatch.Connected)
	a.RecordEvent(dispatch.Written)
	time.Sleep(wait)
	observer.AttemptSent(b)
	b.RecordEvent(dispatch.Connected)
	b.RecordEvent(dispatch.Written)
	b.RecordEvent(dispatch.Accepted)
	time.Sleep(wait)
	observer.AttemptStarted(b)
	observer.AttemptEnded(b, balance.StatusReset, 0)
	observer.AttemptSent(c)
	time.Sleep(wait)
	c.RecordEvent(dispatch.Reported)
	observer.AttemptEnded(c, balance.StatusOK, 0)
	observer.RequestAnswered(request, dispatch.Answer{})
	observer.AttemptCancelled(a)
	time.Sleep(wait)
	request.Delivery.Record(true)
	observer.AttemptEnded(a, balance.StatusCancelled, 0)
}

// A request with three attempts, the first of which ends last, is exported as one complete trace, with
// linked attempts and phases without gaps.
func TestRequestWithThreeAttempts(t *testing.T) {
	tel, stub := startWithCollector(t, collector.Behavior{}, nil)
	observer := tel.NewObserver("http", settings)
	simulateRequest(observer, 5*time.Millisecond)
	require.Empty(t, observer.openRequests)
	require.NoError(t, tel.Close())
	stub.mu.Lock()
	defer stub.mu.Unlock()
	require.Empty(t, collector.Check(stub.spans))
	requests := collector.LinkSpans(stub.spans)
	require.Len(t, requests, 1)
	require.Equal(t, "b7ad6b7169203331", requests[0].Parent)
	require.Equal(t, "argane-epargne", requests[0].Attributes["tinroute.tenant"])
	phases := map[string]bool{}
	for _, child := range requests[0].Children {
		if child.IsAttempt() && child.Attributes["tinroute.attempt"] == "0" {
			for _, phase := range child.Children {
				phases[phase.Name] = true
			}
		}
	}
	require.Equal(t, map[string]bool{"connect": true, "write": true, "accept": true, "cancel": true}, phases)
	require.Zero(t, tel.sampler.UsedBytes(), "all memory is released after the request")
}

// A request whose client leaves and one whose server never reports that it wrote the answer are exported
// as complete traces, and the observer keeps no record of them. A request that is open when telemetry
// closes is not exported.
func TestIncompleteRequests(t *testing.T) {
	tel, stub := startWithCollector(t, collector.Behavior{}, nil)
	observer := tel.NewObserver("http", settings)
	left := &dispatch.Request{ID: "left", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
	attempt := &dispatch.Attempt{Request: left}
	observer.RequestStarted(left)
	observer.AttemptSent(attempt)
	observer.RequestCancelled(left)
	require.Len(t, observer.openRequests, 1, "its attempt is still in flight")
	observer.AttemptEnded(attempt, balance.StatusCancelled, 0)
	require.Empty(t, observer.openRequests)
	silent := &dispatch.Request{ID: "silent", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
	observer.RequestStarted(silent)
	observer.RequestAnswered(silent, dispatch.Answer{Verdict: dispatch.Refused, Reason: "no room"})
	require.Empty(t, observer.openRequests)
	observer.RequestStarted(&dispatch.Request{ID: "open", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}})
	require.NoError(t, tel.Close())
	stub.mu.Lock()
	defer stub.mu.Unlock()
	require.Empty(t, collector.Check(stub.spans))
	verdicts := map[string]string{}
	for _, r := range collector.LinkSpans(stub.spans) {
		verdicts[r.Attributes["tinroute.request.id"]] = r.Attributes["tinroute.verdict"]
	}
	require.Equal(t, map[string]string{"left": "left", "silent": "refused"}, verdicts)
}

// A log record with the ID of an open request is exported with its trace ID, others without one.
func TestLogLinesCarryTraceOfOpenRequest(t *testing.T) {
	tel, stub := startWithCollector(t, collector.Behavior{}, nil)
	log := slog.New(tel.LogHandler(slog.DiscardHandler)).With("front", "http")
	observer := tel.NewObserver("http", settings)
	request := &dispatch.Request{ID: "7", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}, TraceParent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
	observer.RequestStarted(request)
	log.Info("worker reset", "region", "a", "id", "7")
	log.Info("service table", "version", 3)
	observer.RequestCancelled(request)
	log.Info("worker answered", "id", "7")
	require.NoError(t, tel.Close())
	stub.mu.Lock()
	defer stub.mu.Unlock()
	require.Equal(t, map[string]string{"worker reset": "\x0a\xf7\x65\x19\x16\xcd\x43\xdd\x84\x48\xeb\x21\x1c\x80\x31\x9c", "service table": "", "worker answered": ""}, stub.logs)
}

// Under a flood of requests while the collector does not respond, memory stays within its limit, the
// observer does not block, and each request is counted as kept or as dropped for a reason.
func TestMemoryBoundedUnderFlood(t *testing.T) {
	tel, _ := startWithCollector(t, collector.Behavior{Mode: collector.Stall}, nil)
	observer := tel.NewObserver("http", settings)
	requests := 100_000
	if testing.Short() {
		requests = 10_000
	}
	if n, err := strconv.Atoi(os.Getenv("TINROUTE_REQUESTS")); err == nil {
		requests = n
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, peak := heap(), uint64(0)
	for i := range requests {
		simulateRequest(observer, 0)
		if i%(requests/10) == 0 {
			peak = max(peak, heap())
		}
	}
	require.Less(t, peak-min(peak, before), uint64(16<<20))
	tel.mu.Lock()
	require.LessOrEqual(t, tel.sampler.UsedBytes(), tel.sampler.MaxBytes+attemptRecordBytes*3)
	tel.mu.Unlock()
	require.NoError(t, tel.Close())
	counts, sum := tel.sampler.Counts(), tel.droppedRecords.Load()
	for reason, n := range counts {
		if reason != tailsampling.OutOfMemory { // counted without a sampling decision
			sum += n
		}
	}
	require.EqualValues(t, requests, sum+counts[tailsampling.OutOfMemory])
	stats := tel.senders[otlp.Traces].Stats()
	require.LessOrEqual(t, stats.QueuedBytes, int64(4<<20))
	t.Logf("%d requests: %v, %d dropped because the queue was full, %d traces dropped because of a backlog; batches dropped %v; heap grew by %d KB at most",
		requests, counts, tel.droppedRecords.Load(), tel.droppedTraces.Load(), stats.Dropped, (peak-min(peak, before))>>10)
}

// 10,000 worker names yield only as many series as the limit allows, and one for all others.
func TestSeriesNamesBounded(t *testing.T) {
	n := boundedNames{100, map[string]bool{}}
	got := map[string]bool{}
	for i := range 10_000 {
		got[n.bounded(string(rune(i)))] = true
	}
	require.Len(t, got, 101)
	require.True(t, got["other"])
}

// BenchmarkRequest measures the total cost of a request with one attempt, on the core's goroutine and on
// the processing goroutine, with a healthy and with a stalled collector.
func BenchmarkRequest(b *testing.B) {
	for name, behavior := range map[string]collector.Behavior{"healthy": {}, "stalled": {Mode: collector.Stall}} {
		for _, rate := range []float64{20, 1e6} {
			b.Run(name+map[bool]string{true: "/all kept", false: "/rate limited"}[rate > 20], func(b *testing.B) {
				tel, _ := startWithCollector(b, behavior, func(options *config.Telemetry) { options.Sampling.TracesPerSecond = rate })
				observer := tel.NewObserver("http", settings)
				b.ReportAllocs()
				for b.Loop() {
					request := &dispatch.Request{ID: "9b1f03aa5c7e2d41", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
					attempt := &dispatch.Attempt{Request: request}
					observer.RequestStarted(request)
					observer.AttemptSent(attempt)
					observer.AttemptStarted(attempt)
					attempt.RecordEvent(dispatch.Reported)
					observer.AttemptEnded(attempt, balance.StatusOK, 0)
					observer.RequestAnswered(request, dispatch.Answer{})
					request.Delivery.Record(true)
				}
				b.StopTimer()
				_ = tel.Close()
			})
		}
	}
}
