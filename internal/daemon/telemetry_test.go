package daemon

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/lab/collector"
)

// heard is a stand-in collector on both transports, and what it was sent.
type heard struct {
	*collector.Collector
	mu             sync.Mutex
	spans          []*collector.Span
	exemplars      map[string]bool // traces that histograms name
	metrics        map[string]int
	logs           map[string]string // body of a line to its trace
	overHTTP, gRPC string
}

func newHeard(t *testing.T) *heard {
	h := &heard{exemplars: map[string]bool{}, metrics: map[string]int{}, logs: map[string]string{}}
	h.Collector = collector.New(func(b collector.Batch) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.spans = append(h.spans, collector.Spans(b)...)
		for _, rm := range b.Metrics.GetResourceMetrics() {
			for _, sm := range rm.ScopeMetrics {
				for _, m := range sm.Metrics {
					for _, p := range m.GetExponentialHistogram().GetDataPoints() {
						for _, e := range p.Exemplars {
							h.exemplars[hex.EncodeToString(e.TraceId)] = true
						}
					}
					h.metrics[m.Name] = max(h.metrics[m.Name], len(m.GetExponentialHistogram().GetDataPoints())+
						len(m.GetSum().GetDataPoints())+len(m.GetGauge().GetDataPoints()))
				}
			}
		}
		for _, rl := range b.Logs.GetResourceLogs() {
			for _, sl := range rl.ScopeLogs {
				for _, l := range sl.LogRecords {
					h.logs[l.Body.GetStringValue()] = string(l.TraceId)
				}
			}
		}
	})
	s, err := collector.Serve(h.Collector)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	h.overHTTP, h.gRPC = s.HTTP, s.GRPC
	return h
}

// observed is a wire whose daemon exports telemetry as variables say.
type observed struct {
	wire
	env map[string]string
}

func (o *observed) prepare(t *testing.T, w *world, d *Daemon) {
	o.wire.prepare(t, w, d)
	var err error
	d.Telemetry, err = config.LoadTelemetry("", func(k string) string { return o.env[k] })
	require.NoError(t, err)
}

func (h *heard) env(grpc bool) map[string]string {
	if grpc {
		return map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": h.gRPC, "OTEL_EXPORTER_OTLP_PROTOCOL": "grpc", "OTEL_EXPORTER_OTLP_COMPRESSION": "gzip"}
	}
	return map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": h.overHTTP, "OTEL_EXPORTER_OTLP_COMPRESSION": "gzip", "OTEL_EXPORTER_OTLP_HEADERS": "x-key=a%20b"}
}

// Over both transports and on both fronts a collector is told of every request, of each of its
// attempts once, linked to the one that it repeats, and of phases that fill the whole.
func TestTelemetry(t *testing.T) {
	for name, want := range map[string]struct {
		verdicts map[string]int
		tasks    int
		links    int
	}{
		"served":    {nil, -1, -1},
		"drain":     {nil, -1, -1},
		"safe-lost": {map[string]int{"served": 1}, 2, 1},
		"silent":    {map[string]int{"served": 1}, 2, 1},
		"full":      {nil, -1, -1},
		"keyed":     {nil, -1, -1},
		"hook":      {nil, -1, -1},
	} {
		text, err := os.ReadFile("testdata/both/" + name + ".txt")
		require.NoError(t, err)
		for _, grpc := range []bool{false, true} {
			for front, wr := range map[string]wire{"http": &httpWire{}, "gearman": &gearmanWire{}} {
				t.Run(fmt.Sprintf("%s %s gRPC %t", name, front, grpc), func(t *testing.T) {
					t.Parallel()
					h := newHeard(t)
					play(t, string(text), &loopback{}, &observed{wr, h.env(grpc)}, false)
					h.mu.Lock()
					require.Empty(t, collector.Check(h.spans), "%s, gRPC %t, %T", name, grpc, wr)
					verdicts, tasks, links := map[string]int{}, 0, 0
					for _, s := range h.spans {
						if v := s.Attributes["tinroute.verdict"]; v != "" {
							verdicts[v]++
						}
						if s.IsTask() {
							tasks++
							links += len(s.Links)
						}
					}
					if want.verdicts != nil {
						require.Equal(t, want.verdicts, verdicts, name)
						require.Equal(t, []int{want.tasks, want.links}, []int{tasks, links}, name)
					}
					require.NotEmpty(t, h.spans)
					for _, m := range []string{"tinroute.request.duration", "tinroute.phase.duration", "tinroute.answers", "tinroute.queue", "tinroute.region.slots",
						"go.memory.used", "process.open_file_descriptor.count", "tinroute.telemetry.kept"} {
						require.Positive(t, h.metrics[m], "%s of %v", m, h.metrics)
					}
					require.Contains(t, h.logs, "serving")
					for _, r := range collector.Requests(h.spans) {
						require.True(t, h.exemplars[r.Trace], "a histogram names the request")
					}
					h.mu.Unlock()
				})
			}
		}
	}
}

// A client's trace is taken up, its own span is the parent, and workers are told of the task's span.
func TestTraceContext(t *testing.T) {
	h := newHeard(t)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	w := newWorld(t, &loopback{}, &observed{&httpWire{}, h.env(false)}, false)
	w.workers["a"], w.workers["b"] = newWorker(w, "a", "0"), newWorker(w, "b", "0")
	w.launch(nil)
	w.line(`send 1 raw "POST /price-read HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nTraceparent: ` + parent + `\r\nTracestate: vendor=x\r\nContent-Length: 0\r\n\r\n"`)
	w.line("expect X task 7")
	w.line("send X lost 7")
	w.line("expect Y task 7")
	w.line("send Y done 7")
	w.line(`expect 1 raw "r7"`)
	w.finish()
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := collector.Requests(h.spans)
	require.Len(t, requests, 1)
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c b7ad6b7169203331", requests[0].Trace+" "+requests[0].Parent)
	traces := map[string]bool{}
	for _, s := range requests[0].Children {
		if s.IsTask() {
			traces["00-"+s.Trace+"-"+s.ID+"-01"] = true
		}
	}
	require.Len(t, traces, 2)
	told := map[string]bool{}
	for _, r := range w.workers {
		r.mu.Lock()
		maps.Copy(told, r.traces)
		r.mu.Unlock()
	}
	require.Equal(t, traces, told)
}

// However a collector fails, no answer waits for it and the daemon ends in time.
func TestBadCollector(t *testing.T) {
	text, err := os.ReadFile("testdata/both/safe-lost.txt")
	require.NoError(t, err)
	for name, s := range map[string]collector.Script{"stall": {Mode: collector.Stall}, "trickle": {Mode: collector.Trickle}, "half": {Mode: collector.Half},
		"reset": {Mode: collector.Reset}, "refuse": {Mode: collector.Refuse, Status: 503, RetryAfter: "3600"}, "cut": {Mode: collector.Cut}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHeard(t)
			h.Play(s)
			began := time.Now()
			play(t, string(text), &loopback{}, &observed{&httpWire{}, h.env(false)}, false)
			require.Less(t, time.Since(began), 8*time.Second)
		})
	}
	for name, endpoint := range map[string]string{"refused": "http://127.0.0.1:1", "no such name": "http://collector.invalid:4318"} {
		for _, protocol := range []string{"grpc", "http/protobuf"} {
			t.Run(name+" "+strings.ReplaceAll(protocol, "/", " "), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				play(t, string(text), &loopback{}, &observed{&httpWire{}, map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": endpoint, "OTEL_EXPORTER_OTLP_PROTOCOL": protocol}}, false)
				require.Less(t, time.Since(began), 8*time.Second)
			})
		}
	}
}
