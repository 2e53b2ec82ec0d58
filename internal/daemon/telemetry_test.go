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

// fakeCollector is a collector for both transports that records what it receives.
type fakeCollector struct {
	*collector.Collector
	mu                 sync.Mutex
	spans              []*collector.Span
	exemplars          map[string]bool   // trace ids of the histograms' exemplars
	metrics            map[string]int    // maximum number of data points, by metric
	logs               map[string]string // trace id by log message
	httpAddr, grpcAddr string
}

func newFakeCollector(t *testing.T) *fakeCollector {
	c := &fakeCollector{exemplars: map[string]bool{}, metrics: map[string]int{}, logs: map[string]string{}}
	c.Collector = collector.New(func(b collector.Batch) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spans = append(c.spans, collector.BatchSpans(b)...)
		for _, rm := range b.Metrics.GetResourceMetrics() {
			for _, sm := range rm.ScopeMetrics {
				for _, m := range sm.Metrics {
					for _, p := range m.GetExponentialHistogram().GetDataPoints() {
						for _, e := range p.Exemplars {
							c.exemplars[hex.EncodeToString(e.TraceId)] = true
						}
					}
					c.metrics[m.Name] = max(c.metrics[m.Name], len(m.GetExponentialHistogram().GetDataPoints())+
						len(m.GetSum().GetDataPoints())+len(m.GetGauge().GetDataPoints()))
				}
			}
		}
		for _, rl := range b.Logs.GetResourceLogs() {
			for _, sl := range rl.ScopeLogs {
				for _, l := range sl.LogRecords {
					c.logs[l.Body.GetStringValue()] = string(l.TraceId)
				}
			}
		}
	})
	server, err := collector.Serve(c.Collector)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	c.httpAddr, c.grpcAddr = server.HTTPURL, server.GRPCURL
	return c
}

// observedProtocol wraps a protocol and has the daemon export telemetry as configured by env.
type observedProtocol struct {
	protocol
	env map[string]string
}

func (o *observedProtocol) configure(t *testing.T, s *scenario, d *Daemon) {
	o.protocol.configure(t, s, d)
	var err error
	d.Telemetry, err = config.LoadTelemetry("", func(k string) string { return o.env[k] })
	require.NoError(t, err)
}

func (c *fakeCollector) env(grpc bool) map[string]string {
	if grpc {
		return map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": c.grpcAddr, "OTEL_EXPORTER_OTLP_PROTOCOL": "grpc", "OTEL_EXPORTER_OTLP_COMPRESSION": "gzip"}
	}
	return map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": c.httpAddr, "OTEL_EXPORTER_OTLP_COMPRESSION": "gzip", "OTEL_EXPORTER_OTLP_HEADERS": "x-key=a%20b"}
}

// Over both transports and for both protocols, the exported spans contain every request, each of its
// attempts once with a link to the attempt that it repeats, and phases that together cover the
// request's full duration.
func TestTelemetry(t *testing.T) {
	for name, want := range map[string]struct {
		verdicts map[string]int
		attempts int
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
			for server, proto := range map[string]protocol{"http": &httpProtocol{}, "gearman": &gearmanProtocol{}} {
				t.Run(fmt.Sprintf("%s %s gRPC %t", name, server, grpc), func(t *testing.T) {
					t.Parallel()
					c := newFakeCollector(t)
					runScenario(t, string(text), &loopbackNetwork{}, &observedProtocol{proto, c.env(grpc)}, false)
					c.mu.Lock()
					require.Empty(t, collector.Check(c.spans), "%s, gRPC %t, %T", name, grpc, proto)
					verdicts, attempts, links := map[string]int{}, 0, 0
					for _, s := range c.spans {
						if v := s.Attributes["tinroute.verdict"]; v != "" {
							verdicts[v]++
						}
						if s.IsAttempt() {
							attempts++
							links += len(s.Links)
						}
					}
					if want.verdicts != nil {
						require.Equal(t, want.verdicts, verdicts, name)
						require.Equal(t, []int{want.attempts, want.links}, []int{attempts, links}, name)
					}
					require.NotEmpty(t, c.spans)
					for _, m := range []string{"tinroute.request.duration", "tinroute.phase.duration", "tinroute.answers", "tinroute.queue", "tinroute.region.slots",
						"go.memory.used", "process.open_file_descriptor.count", "tinroute.telemetry.kept"} {
						require.Positive(t, c.metrics[m], "%s of %v", m, c.metrics)
					}
					require.Contains(t, c.logs, "serving")
					for _, r := range collector.LinkSpans(c.spans) {
						require.True(t, c.exemplars[r.TraceID], "no histogram has an exemplar for the request")
					}
					c.mu.Unlock()
				})
			}
		}
	}
}

// A request continues the client's trace with the client's span as parent, and workers receive the
// attempt's span as theirs.
func TestTraceContext(t *testing.T) {
	c := newFakeCollector(t)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	s := newScenario(t, &loopbackNetwork{}, &observedProtocol{&httpProtocol{}, c.env(false)}, false)
	s.workers["a"], s.workers["b"] = newFakeWorker(s, "a", "0"), newFakeWorker(s, "b", "0")
	s.start(nil)
	s.runLine(`send 1 raw "POST /price-read HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nTraceparent: ` + parent + `\r\nTracestate: vendor=x\r\nContent-Length: 0\r\n\r\n"`)
	s.runLine("expect X task 7")
	s.runLine("send X lost 7")
	s.runLine("expect Y task 7")
	s.runLine("send Y done 7")
	s.runLine(`expect 1 raw "r7"`)
	s.finish()
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := collector.LinkSpans(c.spans)
	require.Len(t, requests, 1)
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c b7ad6b7169203331", requests[0].TraceID+" "+requests[0].Parent)
	traces := map[string]bool{}
	for _, s := range requests[0].Children {
		if s.IsAttempt() {
			traces["00-"+s.TraceID+"-"+s.ID+"-01"] = true
		}
	}
	require.Len(t, traces, 2)
	received := map[string]bool{}
	for _, w := range s.workers {
		w.mu.Lock()
		maps.Copy(received, w.traces)
		w.mu.Unlock()
	}
	require.Equal(t, traces, received)
}

// However a collector fails, it delays no answer, and the daemon stops in time.
func TestCollectorFailures(t *testing.T) {
	text, err := os.ReadFile("testdata/both/safe-lost.txt")
	require.NoError(t, err)
	for name, behavior := range map[string]collector.Behavior{"stall": {Mode: collector.Stall}, "trickle": {Mode: collector.Trickle}, "half": {Mode: collector.TruncateResponse},
		"reset": {Mode: collector.Reset}, "refuse": {Mode: collector.Refuse, Status: 503, RetryAfter: "3600"}, "cut": {Mode: collector.CloseMidRequest}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newFakeCollector(t)
			c.SetBehavior(behavior)
			began := time.Now()
			runScenario(t, string(text), &loopbackNetwork{}, &observedProtocol{&httpProtocol{}, c.env(false)}, false)
			require.Less(t, time.Since(began), 8*time.Second)
		})
	}
	for name, endpoint := range map[string]string{"refused": "http://127.0.0.1:1", "no such name": "http://collector.invalid:4318"} {
		for _, protocol := range []string{"grpc", "http/protobuf"} {
			t.Run(name+" "+strings.ReplaceAll(protocol, "/", " "), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				runScenario(t, string(text), &loopbackNetwork{}, &observedProtocol{&httpProtocol{}, map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": endpoint, "OTEL_EXPORTER_OTLP_PROTOCOL": protocol}}, false)
				require.Less(t, time.Since(began), 8*time.Second)
			})
		}
	}
}
