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

// collected is a collector and what it took.
type collected struct {
	*collector.Collector
	mu    sync.Mutex
	spans []*collector.Span
	logs  map[string]string
}

func start(t testing.TB, s collector.Script, change func(*config.Telemetry)) (*Telemetry, *collected) {
	c := &collected{logs: map[string]string{}}
	c.Collector = collector.New(func(b collector.Batch) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spans = append(c.spans, collector.Spans(b)...)
		for _, rl := range b.Logs.GetResourceLogs() {
			for _, sl := range rl.ScopeLogs {
				for _, l := range sl.LogRecords {
					c.logs[l.Body.GetStringValue()] = string(l.TraceId)
				}
			}
		}
	})
	c.Play(s)
	server, err := collector.Serve(c.Collector)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	o, err := config.LoadTelemetry("", func(k string) string {
		return map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": server.HTTP}[k]
	})
	require.NoError(t, err)
	o.Sampling.Rate = 1e6
	if change != nil {
		change(o)
	}
	tel, err := New(context.Background(), o, "n0", slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return tel, c
}

// follow is one transaction with a copy whose loser ends last.
func follow(o *Observer, wait time.Duration) {
	tx := &dispatch.Request{ID: "9b1f03aa5c7e2d41", Tenant: 0, TraceParent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
	a, b, c := &dispatch.Attempt{Request: tx}, &dispatch.Attempt{Request: tx, Index: 1}, &dispatch.Attempt{Request: tx, Index: 2}
	o.RequestStarted(tx)
	time.Sleep(wait)
	o.AttemptSent(a)
	a.RecordEvent(dispatch.Connected)
	a.RecordEvent(dispatch.Written)
	time.Sleep(wait)
	o.AttemptSent(b)
	b.RecordEvent(dispatch.Connected)
	b.RecordEvent(dispatch.Written)
	b.RecordEvent(dispatch.Accepted)
	time.Sleep(wait)
	o.AttemptStarted(b)
	o.AttemptEnded(b, balance.StatusReset, 0)
	o.AttemptSent(c)
	time.Sleep(wait)
	c.RecordEvent(dispatch.Reported)
	o.AttemptEnded(c, balance.StatusOK, 0)
	o.RequestAnswered(tx, dispatch.Answer{})
	o.AttemptCancelled(a)
	time.Sleep(wait)
	tx.Delivery.Record(true)
	o.AttemptEnded(a, balance.StatusCancelled, 0)
}

// Three attempts on three regions whose first ends last are one request: whole, linked, and without
// gaps.
func TestThreeAttempts(t *testing.T) {
	tel, c := start(t, collector.Script{}, nil)
	o := tel.Observe("http", settings)
	follow(o, 5*time.Millisecond)
	require.Empty(t, o.open)
	require.NoError(t, tel.Close())
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, collector.Check(c.spans))
	r := collector.Requests(c.spans)
	require.Len(t, r, 1)
	require.Equal(t, "b7ad6b7169203331", r[0].Parent)
	require.Equal(t, "argane-epargne", r[0].Attributes["tinroute.tenant"])
	phases := map[string]bool{}
	for _, k := range r[0].Children {
		if k.IsTask() && k.Attributes["tinroute.attempt"] == "0" {
			for _, p := range k.Children {
				phases[p.Name] = true
			}
		}
	}
	require.Equal(t, map[string]bool{"connect": true, "write": true, "accept": true, "cancel": true}, phases)
	require.Zero(t, tel.sampler.Used(), "no memory is held by what is over")
}

// A client that leaves, a front that never tells of its write, a trace open at the end: nothing is
// kept of any, and nothing is half told.
func TestEnds(t *testing.T) {
	tel, c := start(t, collector.Script{}, nil)
	o := tel.Observe("http", settings)
	left := &dispatch.Request{ID: "left", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
	k := &dispatch.Attempt{Request: left}
	o.RequestStarted(left)
	o.AttemptSent(k)
	o.RequestCancelled(left)
	require.Len(t, o.open, 1, "its task is still out")
	o.AttemptEnded(k, balance.StatusCancelled, 0)
	require.Empty(t, o.open)
	silent := &dispatch.Request{ID: "silent", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
	o.RequestStarted(silent)
	o.RequestAnswered(silent, dispatch.Answer{Verdict: dispatch.Refused, Reason: "no room"})
	require.Empty(t, o.open)
	o.RequestStarted(&dispatch.Request{ID: "open", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}})
	require.NoError(t, tel.Close())
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, collector.Check(c.spans))
	verdicts := map[string]string{}
	for _, r := range collector.Requests(c.spans) {
		verdicts[r.Attributes["tinroute.request.id"]] = r.Attributes["tinroute.verdict"]
	}
	require.Equal(t, map[string]string{"left": "left", "silent": "refused"}, verdicts)
}

// A log line that names an open request carries its trace; others carry none.
func TestLogs(t *testing.T) {
	tel, c := start(t, collector.Script{}, nil)
	log := slog.New(tel.Handler(slog.DiscardHandler)).With("front", "http")
	o := tel.Observe("http", settings)
	tx := &dispatch.Request{ID: "7", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}, TraceParent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
	o.RequestStarted(tx)
	log.Info("region reset", "region", "a", "id", "7")
	log.Info("service table", "version", 3)
	o.RequestCancelled(tx)
	log.Info("region answered", "id", "7")
	require.NoError(t, tel.Close())
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Equal(t, map[string]string{"region reset": "\x0a\xf7\x65\x19\x16\xcd\x43\xdd\x84\x48\xeb\x21\x1c\x80\x31\x9c", "service table": "", "region answered": ""}, c.logs)
}

// Memory stays at the budget, and the core's side never waits, while the collector is dead and
// requests flood in: every one counted, as kept or as dropped for a reason.
func TestFlood(t *testing.T) {
	tel, _ := start(t, collector.Script{Mode: collector.Stall}, nil)
	o := tel.Observe("http", settings)
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
	before, most := heap(), uint64(0)
	for i := range requests {
		follow(o, 0)
		if i%(requests/10) == 0 {
			most = max(most, heap())
		}
	}
	require.Less(t, most-min(most, before), uint64(16<<20))
	tel.mu.Lock()
	require.LessOrEqual(t, tel.sampler.Used(), tel.sampler.Bytes+taskBytes*3)
	tel.mu.Unlock()
	require.NoError(t, tel.Close())
	counts, sum := tel.sampler.Counts(), tel.lost.Load()
	for why, n := range counts {
		if why != tailsampling.Budget { // those were decided by a bare answer
			sum += n
		}
	}
	require.EqualValues(t, requests, sum+counts[tailsampling.Budget])
	st := tel.lanes[otlp.Traces].Stats()
	require.LessOrEqual(t, st.Waiting, int64(4<<20))
	t.Logf("%d requests: %v, %d with the worker behind, %d traces dropped for that; batches dropped %v; heap grew by %d KB at most", requests, counts, tel.lost.Load(), tel.behind.Load(), st.Dropped, (most-min(most, before))>>10)
}

// 10,000 regions make no more series than the bound, and one for the others.
func TestCardinality(t *testing.T) {
	n := names{100, map[string]bool{}}
	got := map[string]bool{}
	for i := range 10_000 {
		got[n.of(string(rune(i)))] = true
	}
	require.Len(t, got, 101)
	require.True(t, got["other"])
}

// BenchmarkRequest is what a request with three attempts costs, by how the collector is: on the core's
// goroutine and on the worker's together.
func BenchmarkRequest(b *testing.B) {
	for name, s := range map[string]collector.Script{"healthy": {}, "stalled": {Mode: collector.Stall}} {
		for _, rate := range []float64{20, 1e6} {
			b.Run(name+map[bool]string{true: "/all kept", false: "/as it comes"}[rate > 20], func(b *testing.B) {
				tel, _ := start(b, s, func(o *config.Telemetry) { o.Sampling.Rate = rate })
				o := tel.Observe("http", settings)
				b.ReportAllocs()
				for b.Loop() {
					tx := &dispatch.Request{ID: "9b1f03aa5c7e2d41", SubmittedAt: time.Now(), Delivery: &dispatch.Delivery{}}
					k := &dispatch.Attempt{Request: tx}
					o.RequestStarted(tx)
					o.AttemptSent(k)
					o.AttemptStarted(k)
					k.RecordEvent(dispatch.Reported)
					o.AttemptEnded(k, balance.StatusOK, 0)
					o.RequestAnswered(tx, dispatch.Answer{})
					tx.Delivery.Record(true)
				}
				b.StopTimer()
				_ = tel.Close()
			})
		}
	}
}
